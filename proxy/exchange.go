package proxy

import (
	"cmp"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/router"
)

// phase is how far the attempt under way has come.
type phase uint8

const (
	none phase = iota
	connecting
	connected
	written
	passing
	draining
)

// Exchange takes one request through: decisions and signals go in, actions come out.
type Exchange struct {
	Request   string
	Placement router.Decision
	// CannotResume tells that what was passed on cannot be resumed at another replica.
	CannotResume bool
	phase        phase
	// placed tells that there was a placement; repeatable is what its route says. Placements that follow don't change it, whatever route
	// they name: the body may be gone.
	placed, repeatable bool
	// stream tells that the answer being passed on is a stream, flat that bytes of one that is none were passed on.
	stream, flat     bool
	began            bool
	mayHaveRunBefore bool
	over             bool
	actions          []Action
}

// Finished tells that the exchange has ended: it gives no more actions.
func (e *Exchange) Finished() bool { return e.over }

const usualActions = 4

func (e *Exchange) do(m Action) {
	if e.actions == nil {
		e.actions = make([]Action, 0, usualActions)
	}
	e.actions = append(e.actions, m)
}

func (e *Exchange) notify(ev router.Event) { e.do(Action{Kind: NotifyRouter, Event: ev}) }

func (e *Exchange) takeActions() []Action {
	if len(e.actions) == 0 {
		return nil
	}
	var actions []Action
	actions, e.actions = e.actions, nil
	return actions
}

// recycle gives actions that were carried out back, so that their memory serves the next ones.
func (e *Exchange) recycle(actions []Action) {
	if e.actions == nil && actions != nil {
		clear(actions)
		e.actions = actions[:0]
	}
}

// mayHaveRun tells whether the request may have run: only an attempt that was never written, or one that a replica refused, has not.
func (e *Exchange) mayHaveRun() bool {
	return e.mayHaveRunBefore || e.phase == written || e.phase == passing
}

func (e *Exchange) abandonAttempt() {
	e.mayHaveRunBefore = e.mayHaveRun()
	if e.phase != none {
		e.do(Action{Kind: CloseConnection})
	}
	e.phase = none
}

func (e *Exchange) finish(o Outcome, why string, after time.Duration) {
	e.abandonAttempt()
	e.over = true
	if e.began && o != Completed && o != AbandonedByClient {
		o = Aborted
	}
	e.do(Action{Kind: Finish, Outcome: o, Reason: why, RetryAfter: after})
}

func (e *Exchange) end(how router.AttemptResult) {
	if how == router.Failed {
		e.abandonAttempt()
	}
	e.phase = none
	e.notify(router.AttemptEnded{Request: e.Request, AttemptID: e.Placement.AttemptID, Result: how})
}

func mayRepeat(r *config.Route) bool { return r != nil && (r.Repeatable || r.Resumable) }

// mayPlace tells whether the request may go to the replica that the router chose, after what became of it so far.
func (e *Exchange) mayPlace(d router.Decision) bool {
	if e.began && (e.CannotResume || e.flat || !d.Resumes) {
		return false
	}
	return e.repeatable || !e.mayHaveRun()
}

func (e *Exchange) place(d router.Decision) {
	if !e.placed {
		e.placed, e.repeatable = true, mayRepeat(d.Route)
	}
	if !e.mayPlace(d) {
		e.notify(router.ClientDisconnected{Request: e.Request})
		e.finish(Unknown, "", 0)
		return
	}
	e.abandonAttempt()
	e.Placement, e.phase = d, connecting
	e.do(Action{Kind: Connect})
}

// HandleDecision takes a decision of the router and gives the actions to carry out, in order.
func (e *Exchange) HandleDecision(d router.Decision) []Action {
	if e.over || (e.phase != none && d.AttemptID != "" && d.AttemptID != e.Placement.AttemptID && d.Verdict != router.Place) {
		return nil
	}
	switch d.Verdict {
	case router.Place:
		e.place(d)
	case router.Send:
		if e.phase == connected {
			e.phase = written
			e.do(Action{Kind: WriteRequest})
		}
	case router.CancelBeforeSend:
		if e.phase == connecting || e.phase == connected {
			e.phase = none
			e.do(Action{Kind: ReleaseConnection})
		}
	case router.Reject:
		e.reject(d)
	case router.Unknown, router.Partial:
		e.finish(Unknown, d.Reason, d.RetryAfter)
	}
	return e.takeActions()
}

// reject keeps the promise of a 503: a request that may have run is not called rejected.
func (e *Exchange) reject(d router.Decision) {
	switch {
	case e.mayHaveRun() || d.Repeat:
		e.finish(Unknown, d.Reason, d.RetryAfter)
	case d.Invalid:
		e.finish(NotFound, d.Reason, 0)
	case d.OverQuota:
		e.finish(OverQuota, d.Reason, d.RetryAfter)
	case d.Unauthorized:
		e.finish(Unauthorized, d.Reason, 0)
	default:
		e.finish(Rejected, d.Reason, cmp.Or(d.RetryAfter, defaultRetryAfter))
	}
}

// defaultRetryAfter is when a client whose request did not run may ask again where the router does not say.
const defaultRetryAfter = 250 * time.Millisecond

// HandleRouterClosed is called when no more decisions will come.
func (e *Exchange) HandleRouterClosed() []Action {
	if !e.over {
		e.reject(router.Decision{Reason: "node is stopping"})
	}
	return e.takeActions()
}

// HandleSignal takes what a connection or the clock did and gives the actions to carry out, in order.
func (e *Exchange) HandleSignal(s Signal) []Action {
	if e.over {
		return nil
	}
	switch s := s.(type) {
	case ClientDisconnected:
		e.notify(router.ClientDisconnected{Request: e.Request})
		e.finish(AbandonedByClient, "", 0)
	case DeadlinePassed:
		e.deadlinePassed(s)
	case Connected:
		if e.phase == connecting {
			e.phase = connected
			e.notify(router.ReadyToSend{Request: e.Request, AttemptID: e.Placement.AttemptID})
		}
	case ConnectFailed:
		e.unconnected(s)
	case Unwritten:
		if e.phase == written {
			e.do(Action{Kind: CloseConnection})
			e.end(router.NotSent)
		}
	case ResponseHeadRead:
		if e.phase == written {
			e.replied(s)
		}
	case ResponseStarted:
		if e.phase == passing {
			e.notify(router.ResponseStarted{Request: e.Request, AttemptID: e.Placement.AttemptID})
			e.began, e.flat = true, !e.stream
		}
	case ResponseEnded:
		e.ended()
	case ConnectionLost:
		switch e.phase {
		case written, passing:
			e.end(router.Failed)
		case draining:
			e.do(Action{Kind: CloseConnection})
			e.end(router.Refused)
		}
	}
	return e.takeActions()
}
