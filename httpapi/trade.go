package httpapi

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/mallowbridge/mallowbridge"
)

const bytesPerToken = 4

type trade struct {
	g       *Gate
	x       *Exchange
	passage mallowbridge.Passage
	course  *course
	began   bool
	peeked  chan mallowbridge.How
	enc     *json.Encoder
	ctl     *http.ResponseController
}

func (g *Gate) trade(x *Exchange) (answered bool) {
	in := g.desk.Submit(mallowbridge.Arrive{
		Request: x.request, Offer: x.r.Param("offer"), Kind: x.r.Param("kind"), Prefix: x.prefix, Tail: len(x.body) / bytesPerToken,
	})
	t := &trade{
		g: g, x: x, passage: mallowbridge.Passage{Request: x.request}, enc: json.NewEncoder(x.w), ctl: http.NewResponseController(x.w),
		peeked: make(chan mallowbridge.How, 1),
	}
	defer t.drop()
	defer func() { _ = t.ctl.SetWriteDeadline(time.Time{}) }()
	for final := false; !final; {
		var steps chan mallowbridge.Wire
		if t.course != nil {
			steps = t.course.steps
		}
		select {
		case <-x.r.Context().Done():
			g.N.Hangups.Add(1)
			t.do(t.passage.Happened(mallowbridge.HungUp{}))
			return true
		case d, ok := <-in:
			if !ok {
				d = mallowbridge.Decision{Verdict: mallowbridge.Unknown, Why: "node is stopping"}
			}
			final = t.do(t.passage.Decided(d))
		case how := <-t.peeked:
			final = t.do(t.passage.Happened(mallowbridge.Vouched{How: how}))
		case s := <-steps:
			final = t.do(t.passage.Happened(s))
		}
	}
	return true
}

func (t *trade) drop() {
	if t.course != nil {
		t.course.stop()
		t.course = nil
	}
}

func (t *trade) do(moves []mallowbridge.Move) (final bool) {
	for _, m := range moves {
		switch m.Kind {
		case mallowbridge.Dial:
			t.course = t.g.start(t.x, m.Place)
		case mallowbridge.Vouch, mallowbridge.Write:
			t.course.orders <- m.Kind
		case mallowbridge.Glance:
			go func() { t.peeked <- t.g.witness(t.x.request, 0, true) }()
		case mallowbridge.Drop:
			t.drop()
		case mallowbridge.Tell:
			if e, ok := m.Event.(mallowbridge.End); ok && e.How == mallowbridge.Broken {
				t.g.N.Breaks.Add(1)
			}
			t.g.desk.Tell(m.Event)
		case mallowbridge.Pass:
			t.pass(m)
		case mallowbridge.Close:
			t.close(m.Place, m.Outcome)
			return true
		}
	}
	return false
}

func (t *trade) close(d mallowbridge.Decision, outcome string) {
	g, x := t.g, t.x
	switch outcome {
	case mallowbridge.OutBad:
		g.bad(x, http.StatusNotFound, d.Why)
	case mallowbridge.OutRepeat:
		g.repeat(x, d.Why)
	case mallowbridge.OutDenied:
		g.deny(x, d.Why, d.After)
	case mallowbridge.OutUnknown:
		g.N.Unknown.Add(1)
		g.say(x, http.StatusBadGateway, Outcome{Outcome: outcome, Go: d.Go, Why: d.Why}, d.After)
	case mallowbridge.OutPartial:
		g.N.Partial.Add(1)
		panic(http.ErrAbortHandler)
	case mallowbridge.OutDone:
		g.N.Done.Add(1)
	}
}

func (t *trade) pass(m mallowbridge.Move) {
	if !t.began {
		t.began = true
		h := t.x.w.Header()
		h.Set("Content-Type", "application/x-ndjson")
		h.Set("X-Request-Id", t.x.request)
		h.Set("X-Request-Attempt-Id", m.Place.Go)
		t.x.w.WriteHeader(http.StatusOK)
	}
	_ = t.ctl.SetWriteDeadline(time.Now().Add(t.g.limits.Write))
	if t.enc.Encode(m.Line) != nil || t.ctl.Flush() != nil {
		t.do(t.passage.Happened(mallowbridge.HungUp{}))
		panic(http.ErrAbortHandler)
	}
}
