package proxy

import (
	"cmp"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/router"
)

// phase is the progress of the current attempt.
type phase uint8

const (
	noAttempt phase = iota
	// connecting lasts while the transfer gets a connection.
	connecting
	// connected lasts until the router permits sending.
	connected
	// written lasts from the start of sending the request until the head of its response has been read.
	written
	// forwarding lasts while the response is sent to the client.
	forwarding
	// draining lasts while a response that is not forwarded is read to its end.
	draining
)

// Exchange is the state machine of one request: decisions of the router and signals are its input, actions its output.
type Exchange struct {
	// Request is the ID of the request, Placement the latest decision that chose a replica.
	Request   string
	Placement router.Decision
	// CannotResume is set while the part of the stream already forwarded can't be continued by another replica.
	CannotResume bool
	phase        phase
	// placed is set at the first placement. retryable is set if the route of that placement allows the request to be sent again after it may
	// have run. Later placements don't change it, even if they name another route, because the request's body may already have been released.
	placed, retryable bool
	// stream is set if the response being forwarded is a stream, nonStreamForwarded once bytes of a response that isn't one were forwarded.
	stream, nonStreamForwarded bool
	// responseStarted is set once any bytes of a response were forwarded.
	responseStarted bool
	// mayHaveRunBefore is set if an earlier attempt may have run.
	mayHaveRunBefore bool
	finished         bool
	actions          []Action
}

// Finished reports whether the exchange has ended and returns no more actions.
func (e *Exchange) Finished() bool { return e.finished }

// initialActions is the initial capacity of the list of actions.
const initialActions = 4

func (e *Exchange) emit(action Action) {
	if e.actions == nil {
		e.actions = make([]Action, 0, initialActions)
	}
	e.actions = append(e.actions, action)
}

func (e *Exchange) notify(ev router.Event) { e.emit(Action{Kind: NotifyRouter, Event: ev}) }

func (e *Exchange) takeActions() []Action {
	if len(e.actions) == 0 {
		return nil
	}
	var actions []Action
	actions, e.actions = e.actions, nil
	return actions
}

// recycle takes back actions that were carried out, to reuse their memory.
func (e *Exchange) recycle(actions []Action) {
	if e.actions == nil && actions != nil {
		clear(actions)
		e.actions = actions[:0]
	}
}

// mayHaveRun reports whether the request may have run. It certainly has not if none of its attempts was written, except attempts that their
// replicas refused.
func (e *Exchange) mayHaveRun() bool {
	return e.mayHaveRunBefore || e.phase == written || e.phase == forwarding
}

// abandonAttempt closes the connection of the current attempt, if any.
func (e *Exchange) abandonAttempt() {
	e.mayHaveRunBefore = e.mayHaveRun()
	if e.phase != noAttempt {
		e.emit(Action{Kind: CloseConnection})
	}
	e.phase = noAttempt
}

// finish ends the exchange. Once part of a response was forwarded, any outcome but Completed and AbandonedByClient becomes Aborted.
func (e *Exchange) finish(outcome Outcome, reason string, retryAfter time.Duration) {
	e.abandonAttempt()
	e.finished = true
	if e.responseStarted && outcome != Completed && outcome != AbandonedByClient {
		outcome = Aborted
	}
	e.emit(Action{Kind: Finish, Outcome: outcome, Reason: reason, RetryAfter: retryAfter})
}

// endAttempt reports the result of the current attempt to the router. It closes the connection of a failed attempt.
func (e *Exchange) endAttempt(result router.AttemptResult) {
	if result == router.Failed {
		e.abandonAttempt()
	}
	e.phase = noAttempt
	e.notify(router.AttemptEnded{Request: e.Request, AttemptID: e.Placement.AttemptID, Result: result})
}

// isRetryable reports whether a request of the route may be sent again after an attempt that may have run: the route is idempotent, or its
// streams can be resumed.
func isRetryable(route *config.Route) bool {
	return route != nil && (route.Idempotent || route.Resumable)
}

// canPlace reports whether the request may be sent to the replica that the router chose: a response that has started must be resumable, and
// a request that may have run must be retryable.
func (e *Exchange) canPlace(decision router.Decision) bool {
	if e.responseStarted && (e.CannotResume || e.nonStreamForwarded || !decision.Resumes) {
		return false
	}
	return e.retryable || !e.mayHaveRun()
}

func (e *Exchange) handlePlacement(decision router.Decision) {
	if !e.placed {
		e.placed, e.retryable = true, isRetryable(decision.Route)
	}
	if !e.canPlace(decision) {
		e.notify(router.ClientDisconnected{Request: e.Request})
		e.finish(Unknown, "", 0)
		return
	}
	e.abandonAttempt()
	e.Placement, e.phase = decision, connecting
	e.emit(Action{Kind: Connect})
}

// HandleDecision processes a decision of the router and returns the actions to carry out, in order. During an attempt, decisions about an
// earlier attempt are ignored.
func (e *Exchange) HandleDecision(decision router.Decision) []Action {
	if e.finished || (e.phase != noAttempt && decision.AttemptID != "" && decision.AttemptID != e.Placement.AttemptID && decision.Verdict != router.Place) {
		return nil
	}
	switch decision.Verdict {
	case router.Place:
		e.handlePlacement(decision)
	case router.Send:
		if e.phase == connected {
			e.phase = written
			e.emit(Action{Kind: WriteRequest})
		}
	case router.CancelBeforeSend:
		if e.phase == connecting || e.phase == connected {
			e.phase = noAttempt
			e.emit(Action{Kind: ReleaseConnection})
		}
	case router.Reject:
		e.reject(decision)
	case router.Unknown, router.Partial:
		e.finish(Unknown, decision.Reason, decision.RetryAfter)
	}
	return e.takeActions()
}

// reject ends the exchange with the outcome for a rejection by the router. A 503 promises that the request did not run, so a request that
// may have run gets the outcome Unknown instead.
func (e *Exchange) reject(decision router.Decision) {
	switch {
	case e.mayHaveRun() || decision.Duplicate:
		e.finish(Unknown, decision.Reason, decision.RetryAfter)
	case decision.Invalid:
		e.finish(NotFound, decision.Reason, 0)
	case decision.OverQuota:
		e.finish(OverQuota, decision.Reason, decision.RetryAfter)
	case decision.Unauthorized:
		e.finish(Unauthorized, decision.Reason, 0)
	default:
		e.finish(Rejected, decision.Reason, cmp.Or(decision.RetryAfter, retryElsewhere))
	}
}

// HandleRouterClosed must be called when the router will make no more decisions about the request. It returns the actions to carry out, in
// order.
func (e *Exchange) HandleRouterClosed() []Action {
	if !e.finished {
		e.reject(router.Decision{Reason: "node is stopping"})
	}
	return e.takeActions()
}

// HandleSignal processes a signal and returns the actions to carry out, in order.
func (e *Exchange) HandleSignal(s Signal) []Action {
	if e.finished {
		return nil
	}
	switch s := s.(type) {
	case ClientDisconnected:
		e.notify(router.ClientDisconnected{Request: e.Request})
		e.finish(AbandonedByClient, "", 0)
	case DeadlinePassed:
		e.handleDeadlinePassed(s)
	case Connected:
		if e.phase == connecting {
			e.phase = connected
			e.notify(router.ReadyToSend{Request: e.Request, AttemptID: e.Placement.AttemptID})
		}
	case ConnectFailed:
		e.handleConnectFailed(s)
	case Unwritten:
		if e.phase == written {
			e.emit(Action{Kind: CloseConnection})
			e.endAttempt(router.NotSent)
		}
	case ResponseHeadRead:
		if e.phase == written {
			e.handleResponseHead(s)
		}
	case ResponseStarted:
		if e.phase == forwarding {
			e.notify(router.ResponseStarted{Request: e.Request, AttemptID: e.Placement.AttemptID})
			e.responseStarted, e.nonStreamForwarded = true, !e.stream
		}
	case ResponseEnded:
		e.handleResponseEnded()
	case ConnectionLost:
		switch e.phase {
		case written, forwarding:
			e.endAttempt(router.Failed)
		case draining:
			e.emit(Action{Kind: CloseConnection})
			e.endAttempt(router.Refused)
		}
	}
	return e.takeActions()
}
