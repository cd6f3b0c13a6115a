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
	statesDepth    = flag.Int("states-depth", 60, "maximum number of inputs in a sequence that TestExchangeStates checks")
	statesAttempts = flag.Int("states-attempts", 8, "maximum number of attempts in a sequence that TestExchangeStates checks")
)

// actualAttemptState is what actually happened to an attempt at its replica, as opposed to what the exchange has recorded.
type actualAttemptState uint8

const (
	attemptUnwritten actualAttemptState = iota
	attemptMayRun
	attemptRefused
)

// world is the state of the exchange together with the actual state of replicas, client and clock. Worlds are compared as a whole, so that
// equal ones are visited once.
type world struct {
	exchange exchangeState
	// attempts counts placements. connected is set while the exchange has a connection.
	attempts  uint8
	connected bool
	// mayRun is set if an earlier attempt may have run; current is what happened to the current attempt.
	mayRun           bool
	current          actualAttemptState
	forwardingStream bool
	clientHas        clientContent
	// finalActions counts Finish actions. sendPermitted is 1 if the router has permitted the current attempt to be sent.
	finalActions   uint8
	deadlinePassed bool
	sendPermitted  uint8
}

// clientContent is the kind of response that the client has received a part of.
type clientContent uint8

const (
	contentNone clientContent = iota
	contentStream
	contentNonStream
)

// exchangeState is the state of an Exchange without its buffers.
type exchangeState struct {
	placement                                                                             placementState
	cannotResume, stream, nonStreamForwarded, responseStarted, mayHaveRunBefore, finished bool
	phase                                                                                 phase
}

type placementState struct {
	attemptID string
	resumes   bool
}

// visitedWorld is a world with the input that led to it and the index of the world before.
type visitedWorld struct {
	world  world
	parent int
	input  string
}

// input is something that may happen to the exchange. The apply function returns the actions of the exchange, or false if the input can't
// occur in this world.
type input struct {
	name  string
	apply func(e *Exchange, w *world) ([]Action, bool)
}

// restore returns an Exchange in the state that save recorded.
func (w *world) restore(route *config.Route) Exchange {
	state := w.exchange
	e := Exchange{Request: "q", CannotResume: state.cannotResume, stream: state.stream, nonStreamForwarded: state.nonStreamForwarded, responseStarted: state.responseStarted, mayHaveRunBefore: state.mayHaveRunBefore, finished: state.finished, phase: state.phase, placed: true, retryable: isRetryable(route)}
	e.Placement = router.Decision{AttemptID: state.placement.attemptID, Resumes: state.placement.resumes, Route: route}
	return e
}

func (w *world) save(e *Exchange) {
	w.exchange = exchangeState{
		placement: placementState{attemptID: e.Placement.AttemptID, resumes: e.Placement.Resumes}, cannotResume: e.CannotResume, stream: e.stream, nonStreamForwarded: e.nonStreamForwarded, responseStarted: e.responseStarted,
		mayHaveRunBefore: e.mayHaveRunBefore, finished: e.finished, phase: e.phase,
	}
}

// signalInput returns the input that delivers the signal s.
func signalInput(name string, s Signal) input {
	return input{name, func(e *Exchange, w *world) ([]Action, bool) {
		if !mayHappen(w, s) {
			return nil, false
		}
		return e.HandleSignal(s), true
	}}
}

// mayHappen restricts DeadlinePassed to worlds whose clock has passed the deadline. All other signals may come at any time, even those that
// the transfer would never send then.
func mayHappen(w *world, s Signal) bool {
	_, isDeadline := s.(DeadlinePassed)
	return w.deadlinePassed || !isDeadline
}

// decisionInput returns the input that delivers the decision d with the attempt ID that fits. Each placement starts a new attempt.
func decisionInput(name string, d router.Decision) input {
	return input{name, func(e *Exchange, w *world) ([]Action, bool) {
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
				w.sendPermitted = 1
			}
		case router.CancelBeforeSend:
			d.AttemptID = e.Placement.AttemptID
		}
		return e.HandleDecision(d), true
	}}
}

func routerInputs() []input {
	return []input{
		decisionInput("placed", router.Decision{Verdict: router.Place}),
		decisionInput("placed to resume", router.Decision{Verdict: router.Place, Resumes: true}),
		decisionInput("send", router.Decision{Verdict: router.Send}),
		decisionInput("send for another attempt", router.Decision{Verdict: router.Send, AttemptID: "go0"}),
		decisionInput("canceled before send", router.Decision{Verdict: router.CancelBeforeSend}),
		decisionInput("rejected", router.Decision{Verdict: router.Reject}),
		decisionInput("no route", router.Decision{Verdict: router.Reject, Invalid: true}),
		decisionInput("rejected as a repeat", router.Decision{Verdict: router.Reject, Duplicate: true}),
		decisionInput("given up", router.Decision{Verdict: router.Unknown}),
		{"no more decisions", func(e *Exchange, _ *world) ([]Action, bool) { return e.HandleRouterClosed(), true }},
	}
}

func connectionInputs() []input {
	var all []input
	for _, v := range []struct {
		name string
		s    Signal
	}{
		{"connected", Connected{}}, {"unreached", ConnectFailed{}}, {"no connection free", ConnectFailed{AtConnectionLimit: true}}, {"reset before the write", Unwritten{}},
		{"response", ResponseHeadRead{Status: 200}}, {"stream", ResponseHeadRead{Status: 200, Stream: true}}, {"failure", ResponseHeadRead{Status: 500}},
		{"503 with proof", ResponseHeadRead{Status: 503, NotExecuted: true}}, {"503 without proof", ResponseHeadRead{Status: 503}}, {"421", ResponseHeadRead{Status: 421}},
		{"408 without proof", ResponseHeadRead{Status: 408}}, {"429 without proof", ResponseHeadRead{Status: 429}}, {"another's response", ResponseHeadRead{Status: 200, Mismatched: true}},
		{"another's refusal", ResponseHeadRead{Status: 503, Mismatched: true, NotExecuted: true}}, {"another's 421", ResponseHeadRead{Status: 421, Mismatched: true}},
		{"response without length", ResponseHeadRead{Status: 200, CloseDelimited: true}}, {"response without seal", ResponseHeadRead{Status: 200, Unsealed: true}},
		{"first bytes", ResponseStarted{}}, {"end", ResponseEnded{}}, {"reset", ConnectionLost{}}, {"client closes", ClientDisconnected{}},
		{"time over", DeadlinePassed{}}, {"time over before the write", DeadlinePassed{Unwritten: true}},
	} {
		all = append(all, signalInput(v.name, v.s))
	}
	return append(all,
		input{"clock passes the deadline", func(_ *Exchange, w *world) ([]Action, bool) {
			if w.deadlinePassed {
				return nil, false
			}
			w.deadlinePassed = true
			return nil, true
		}},
		input{"event without an id is forwarded", func(e *Exchange, _ *world) ([]Action, bool) {
			if e.phase != forwarding || !e.responseStarted || e.CannotResume {
				return nil, false
			}
			e.CannotResume = true
			return nil, true
		}},
	)
}

// inputsTo returns the names of the inputs that lead to a world.
func inputsTo(worlds []visitedWorld, at int) string {
	var steps []string
	for ; at > 0; at = worlds[at].parent {
		steps = append([]string{worlds[at].input}, steps...)
	}
	return strings.Join(steps, " > ")
}

var statesRoutes = map[string]*config.Route{
	"once": {}, "idempotent": {Idempotent: true}, "stream": {Streaming: true}, "resumable stream": {Streaming: true, Resumable: true},
	"idempotent stream": {Streaming: true, Idempotent: true},
}

// TestExchangeStates checks the rules in checkStep for every sequence of inputs up to a depth, for each kind of route.
func TestExchangeStates(t *testing.T) {
	for name, route := range statesRoutes {
		t.Run(name, func(t *testing.T) {
			x := explore(route, *statesDepth)
			if x.violation != "" {
				t.Fatal(x.violation)
			}
			t.Logf("%d states, %d steps, none new after %d inputs", x.states, x.steps, x.depth)
			if x.depth == *statesDepth {
				t.Errorf("not all states were visited: %d inputs were not enough", x.depth)
			}
		})
	}
}
