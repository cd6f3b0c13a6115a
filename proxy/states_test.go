package proxy

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/router"
)

var (
	statesDepth    = flag.Int("states-depth", 60, "most events of an order that TestExchangeStates looks at")
	statesAttempts = flag.Int("states-attempts", 8, "most attempts in such an order")
)

// replicaTruth is what became of one attempt at its replica.
type replicaTruth uint8

const (
	truthUntouched replicaTruth = iota
	truthMayRun
	truthRefused
)

// world is the exchange with all that is known of replicas, client and clock. It is compared whole, so that equal worlds are visited once.
type world struct {
	exchange      exchangeKey
	attempts      uint8
	open          bool
	mayRun        bool
	current       replicaTruth
	passingStream bool
	clientHas     content
	finishes      uint8
	late          bool
	sends         uint8
}

// content is what the client holds of the answer.
type content uint8

const (
	contentNone content = iota
	contentStream
	contentFlat
)

// exchangeKey is the state of an Exchange without its buffers.
type exchangeKey struct {
	place                                    placeKey
	stuck, stream, flat, began, mayRun, over bool
	phase                                    phase
}

type placeKey struct {
	attempt string
	resumes bool
}

// node is a world, and how it was reached.
type node struct {
	w      world
	parent int
	event  string
}

// event is one thing that may happen in a world; apply gives the moves, or false where it cannot happen there.
type event struct {
	name  string
	apply func(e *Exchange, w *world) ([]Action, bool)
}

func (w *world) restore(route *config.Route) Exchange {
	k := w.exchange
	e := Exchange{Request: "q", CannotResume: k.stuck, stream: k.stream, flat: k.flat, began: k.began, mayHaveRunBefore: k.mayRun, over: k.over, phase: k.phase, placed: true, repeatable: mayRepeat(route)}
	e.Placement = router.Decision{AttemptID: k.place.attempt, Resumes: k.place.resumes, Route: route}
	return e
}

func (w *world) keep(e *Exchange) {
	w.exchange = exchangeKey{
		place: placeKey{attempt: e.Placement.AttemptID, resumes: e.Placement.Resumes}, stuck: e.CannotResume, stream: e.stream, flat: e.flat, began: e.began,
		mayRun: e.mayHaveRunBefore, over: e.over, phase: e.phase,
	}
}

func signal(name string, s Signal) event {
	return event{name, func(e *Exchange, w *world) ([]Action, bool) {
		if !possible(w, s) {
			return nil, false
		}
		return e.HandleSignal(s), true
	}}
}

// possible keeps deadlines to the clock. Everything else may come at any moment, also where the transfer would not let it.
func possible(w *world, s Signal) bool {
	_, overdue := s.(DeadlinePassed)
	return w.late || !overdue
}

// decided are decisions: placed, placed again, from the start or after the last event, let go, called back, refused, given up.
// decided is the event that the router decides d.
func decided(name string, d router.Decision) event {
	return event{name, func(e *Exchange, w *world) ([]Action, bool) {
		d := d
		switch d.Verdict {
		case router.Place:
			if int(w.attempts) == *statesAttempts {
				return nil, false
			}
			w.attempts++
			d.AttemptID, d.Route = fmt.Sprint("go", w.attempts), e.Placement.Route
		case router.Send:
			if d.AttemptID == "" {
				d.AttemptID = e.Placement.AttemptID
			}
			if d.AttemptID == e.Placement.AttemptID {
				w.sends = 1
			}
		case router.CancelBeforeSend:
			d.AttemptID = e.Placement.AttemptID
		}
		return e.HandleDecision(d), true
	}}
}

func routerEvents() []event {
	return []event{
		decided("placed", router.Decision{Verdict: router.Place}),
		decided("placed to go on", router.Decision{Verdict: router.Place, Resumes: true}),
		decided("let go", router.Decision{Verdict: router.Send}),
		decided("another let go", router.Decision{Verdict: router.Send, AttemptID: "go0"}),
		decided("called back", router.Decision{Verdict: router.CancelBeforeSend}),
		decided("denied", router.Decision{Verdict: router.Reject}),
		decided("no route", router.Decision{Verdict: router.Reject, Invalid: true}),
		decided("denied as a repeat", router.Decision{Verdict: router.Reject, Repeat: true}),
		decided("given up", router.Decision{Verdict: router.Unknown}),
		{"router ends", func(e *Exchange, _ *world) ([]Action, bool) { return e.HandleRouterClosed(), true }},
	}
}

func connectionEvents() []event {
	var all []event
	for _, v := range []struct {
		name string
		s    Signal
	}{
		{"connected", Connected{}}, {"unreached", ConnectFailed{}}, {"no connection free", ConnectFailed{AtConnectionLimit: true}}, {"reset before the write", Unwritten{}},
		{"answer", ResponseHeadRead{Status: 200}}, {"stream", ResponseHeadRead{Status: 200, Stream: true}}, {"failure", ResponseHeadRead{Status: 500}},
		{"503 with proof", ResponseHeadRead{Status: 503, NotExecuted: true}}, {"503 without proof", ResponseHeadRead{Status: 503}}, {"421", ResponseHeadRead{Status: 421}},
		{"408 without proof", ResponseHeadRead{Status: 408}}, {"429 without proof", ResponseHeadRead{Status: 429}}, {"another's answer", ResponseHeadRead{Status: 200, Mismatched: true}},
		{"another's refusal", ResponseHeadRead{Status: 503, Mismatched: true, NotExecuted: true}}, {"another's 421", ResponseHeadRead{Status: 421, Mismatched: true}},
		{"answer without length", ResponseHeadRead{Status: 200, CloseDelimited: true}}, {"answer without seal", ResponseHeadRead{Status: 200, Unsealed: true}},
		{"first bytes", ResponseStarted{}}, {"end", ResponseEnded{}}, {"reset", ConnectionLost{}}, {"client closes", ClientDisconnected{}},
		{"time over", DeadlinePassed{}}, {"time over before the write", DeadlinePassed{Unwritten: true}},
	} {
		all = append(all, signal(v.name, v.s))
	}
	return append(all,
		event{"clock passes the deadline", func(_ *Exchange, w *world) ([]Action, bool) {
			if w.late {
				return nil, false
			}
			w.late = true
			return nil, true
		}},
		event{"event without an id is passed on", func(e *Exchange, _ *world) ([]Action, bool) {
			if e.phase != passing || !e.began || e.CannotResume {
				return nil, false
			}
			e.CannotResume = true
			return nil, true
		}},
	)
}

// wayTo tells how a world was reached.
func wayTo(nodes []node, at int) string {
	var steps []string
	for ; at > 0; at = nodes[at].parent {
		steps = append([]string{nodes[at].event}, steps...)
	}
	return strings.Join(steps, " > ")
}

var statesRoutes = map[string]*config.Route{
	"once": {}, "repeatable": {Repeatable: true}, "stream": {Streaming: true}, "stream to be taken up": {Streaming: true, Resumable: true},
	"repeatable stream": {Streaming: true, Repeatable: true},
}

// TestExchangeStates looks at every order of events to a depth, for each kind of route.
func TestExchangeStates(t *testing.T) {
	for name, route := range statesRoutes {
		t.Run(name, func(t *testing.T) {
			x := explore(route, *statesDepth)
			if x.breach != "" {
				t.Fatal(x.breach)
			}
			t.Logf("%d states, %d steps, none new after %d events", x.states, x.steps, x.depth)
			if x.depth == *statesDepth {
				t.Errorf("not all: %d events were not enough", x.depth)
			}
		})
	}
}
