package httpapi

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/mallowbridge/mallowbridge/router"
)

// bytesPerToken is used to estimate the number of tokens in a body.
const bytesPerToken = 4

// session drives one request. It passes the router's decisions and the events of the client and of the current attempt's connection to a
// router.RequestFlow, and performs the actions that the flow returns.
type session struct {
	frontend *Frontend
	exchange *Exchange
	flow     router.RequestFlow
	// conn is the connection of the current attempt, or nil.
	conn *replicaConn
	// headerSent is set once the header of the client's response was sent.
	headerSent bool
	// earlyWitnessResults contains the answer of the witnesses to router.AskWitnessesEarly.
	earlyWitnessResults chan router.AttemptResult
	enc                 *json.Encoder
	ctl                 *http.ResponseController
}

// route is the last filter. It returns when the request has ended.
func (f *Frontend) route(x *Exchange) bool {
	s := &session{
		frontend: f, exchange: x, flow: router.RequestFlow{Request: x.requestID}, enc: json.NewEncoder(x.w), ctl: http.NewResponseController(x.w),
		earlyWitnessResults: make(chan router.AttemptResult, 1),
	}
	defer s.disconnect()
	defer func() { _ = s.ctl.SetWriteDeadline(time.Time{}) }()
	s.run(f.router.Submit(router.Arrival{
		Request: x.requestID, Service: x.r.Param("offer"), Class: x.r.Param("kind"), Prefix: x.prefix, TailTokens: len(x.body) / bytesPerToken,
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
			s.perform(s.flow.OnConnectionEvent(router.ClientClosed{}))
			return
		case d, ok := <-decisions:
			if !ok {
				d = router.Decision{Verdict: router.Unknown, Reason: "node is stopping"}
			}
			final = s.perform(s.flow.OnDecision(d))
		case result := <-s.earlyWitnessResults:
			final = s.perform(s.flow.OnConnectionEvent(router.WitnessesAnswered{Result: result}))
		case event := <-events:
			final = s.perform(s.flow.OnConnectionEvent(event))
		}
	}
}

func (s *session) disconnect() {
	if s.conn != nil {
		s.conn.stop()
		s.conn = nil
	}
}

// perform performs actions in order and reports whether the request has ended.
func (s *session) perform(actions []router.Action) bool {
	for _, action := range actions {
		switch action.Kind {
		case router.Connect:
			s.conn = s.frontend.connect(s.exchange, action.Placement)
		case router.AskWitnesses, router.Write:
			s.conn.actions <- action.Kind
		case router.AskWitnessesEarly:
			go func() { s.earlyWitnessResults <- s.frontend.checkWitnesses(s.exchange.requestID, 0, true) }()
		case router.Disconnect:
			s.disconnect()
		case router.NotifyRouter:
			if e, ok := action.Event.(router.AttemptEnded); ok && e.Result == router.Failed {
				s.frontend.Counters.FailedAttempts.Add(1)
			}
			s.frontend.router.Notify(action.Event)
		case router.ForwardLine:
			s.forwardLine(action)
		case router.Finish:
			s.finish(action.Placement, action.Outcome)
			return true
		}
	}
	return false
}

// finish counts the outcome of a request. It sends an error response if no part of a replica's response was forwarded, and aborts the connection
// of a client that received only a part.
func (s *session) finish(d router.Decision, outcome string) {
	f, x := s.frontend, s.exchange
	switch outcome {
	case router.OutcomeInvalid:
		f.respondInvalid(x, http.StatusNotFound, d.Reason)
	case router.OutcomeRepeat:
		f.rejectRepeated(x, d.Reason)
	case router.OutcomeRejected:
		f.reject(x, d.Reason, d.RetryAfter)
	case router.OutcomeUnknown:
		f.Counters.Unknown.Add(1)
		f.respondError(x, http.StatusBadGateway, ErrorResponse{Outcome: outcome, Attempt: d.AttemptID, Reason: d.Reason}, d.RetryAfter)
	case router.OutcomePartial:
		f.Counters.Partial.Add(1)
		panic(http.ErrAbortHandler)
	case router.OutcomeDone:
		f.Counters.Done.Add(1)
	}
}

// forwardLine sends a line of the response to the client. A client to which it cannot be written counts as disconnected.
func (s *session) forwardLine(action router.Action) {
	if !s.headerSent {
		s.headerSent = true
		h := s.exchange.w.Header()
		h.Set("Content-Type", "application/x-ndjson")
		h.Set("X-Request-Id", s.exchange.requestID)
		h.Set("X-Request-Attempt-Id", action.Placement.AttemptID)
		s.exchange.w.WriteHeader(http.StatusOK)
	}
	_ = s.ctl.SetWriteDeadline(time.Now().Add(s.frontend.limits.WriteTimeout))
	if s.enc.Encode(action.Line) != nil || s.ctl.Flush() != nil {
		s.perform(s.flow.OnConnectionEvent(router.ClientClosed{}))
		panic(http.ErrAbortHandler)
	}
}
