package httpapi

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/mallowbridge/mallowbridge/router"
)

// bytesPerToken reckons the tokens of a body.
const bytesPerToken = 4

// session drives one request: the router's decisions, the client and the attempt's connection feed its state machine, and it performs
// the actions that come out.
type session struct {
	frontend *Frontend
	exchange *Exchange
	request  router.RequestFlow
	conn     *replicaConn
	began    bool
	polled   chan router.AttemptResult
	enc      *json.Encoder
	ctl      *http.ResponseController
}

// route is the last filter: it runs the request to its end.
func (f *Frontend) route(x *Exchange) bool {
	s := &session{
		frontend: f, exchange: x, request: router.RequestFlow{Request: x.request}, enc: json.NewEncoder(x.w), ctl: http.NewResponseController(x.w),
		polled: make(chan router.AttemptResult, 1),
	}
	defer s.drop()
	defer func() { _ = s.ctl.SetWriteDeadline(time.Time{}) }()
	s.run(f.router.Submit(router.Arrival{
		Request: x.request, Service: x.r.Param("offer"), Class: x.r.Param("kind"), Prefix: x.prefix, TailTokens: len(x.body) / bytesPerToken,
	}))
	return true
}

func (s *session) run(decisions <-chan router.Decision) {
	for final := false; !final; {
		var events chan router.ConnectionEvent
		if s.conn != nil {
			events = s.conn.events
		}
		select {
		case <-s.exchange.r.Context().Done():
			s.frontend.Counters.ClientDisconnects.Add(1)
			s.perform(s.request.OnConnectionEvent(router.ClientClosed{}))
			return
		case d, ok := <-decisions:
			if !ok {
				d = router.Decision{Verdict: router.Unknown, Reason: "node is stopping"}
			}
			final = s.perform(s.request.OnDecision(d))
		case how := <-s.polled:
			final = s.perform(s.request.OnConnectionEvent(router.WitnessesAnswered{Result: how}))
		case event := <-events:
			final = s.perform(s.request.OnConnectionEvent(event))
		}
	}
}

func (s *session) drop() {
	if s.conn != nil {
		s.conn.stop()
		s.conn = nil
	}
}

// perform does the actions in order and tells whether the request has ended.
func (s *session) perform(actions []router.Action) bool {
	for _, m := range actions {
		switch m.Kind {
		case router.Connect:
			s.conn = s.frontend.connect(s.exchange, m.Placement)
		case router.AskWitnesses, router.Write:
			s.conn.orders <- m.Kind
		case router.AskWitnessesEarly:
			go func() { s.polled <- s.frontend.witness(s.exchange.request, 0, true) }()
		case router.Disconnect:
			s.drop()
		case router.NotifyRouter:
			if e, ok := m.Event.(router.AttemptEnded); ok && e.Result == router.Failed {
				s.frontend.Counters.FailedAttempts.Add(1)
			}
			s.frontend.router.Notify(m.Event)
		case router.ForwardLine:
			s.pass(m)
		case router.Finish:
			s.close(m.Placement, m.Outcome)
			return true
		}
	}
	return false
}

func (s *session) close(d router.Decision, outcome string) {
	f, x := s.frontend, s.exchange
	switch outcome {
	case router.OutcomeInvalid:
		f.bad(x, http.StatusNotFound, d.Reason)
	case router.OutcomeRepeat:
		f.rejectRepeated(x, d.Reason)
	case router.OutcomeRejected:
		f.reject(x, d.Reason, d.RetryAfter)
	case router.OutcomeUnknown:
		f.Counters.Unknown.Add(1)
		f.answer(x, http.StatusBadGateway, ErrorResponse{Outcome: outcome, Attempt: d.AttemptID, Reason: d.Reason}, d.RetryAfter)
	case router.OutcomePartial:
		f.Counters.Partial.Add(1)
		panic(http.ErrAbortHandler)
	case router.OutcomeDone:
		f.Counters.Done.Add(1)
	}
}

// pass sends a line to the client. A client that does not take it is gone.
func (s *session) pass(m router.Action) {
	if !s.began {
		s.began = true
		h := s.exchange.w.Header()
		h.Set("Content-Type", "application/x-ndjson")
		h.Set("X-Request-Id", s.exchange.request)
		h.Set("X-Request-Attempt-Id", m.Placement.AttemptID)
		s.exchange.w.WriteHeader(http.StatusOK)
	}
	_ = s.ctl.SetWriteDeadline(time.Now().Add(s.frontend.limits.WriteTimeout))
	if s.enc.Encode(m.Line) != nil || s.ctl.Flush() != nil {
		s.perform(s.request.OnConnectionEvent(router.ClientClosed{}))
		panic(http.ErrAbortHandler)
	}
}
