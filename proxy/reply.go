package proxy

import (
	"cmp"
	"net/http"

	"github.com/mallowbridge/mallowbridge/router"
)

func (e *Exchange) handleDeadlinePassed(s DeadlinePassed) {
	if s.Unwritten && e.phase == written {
		e.phase = connected
	}
	e.notify(router.ClientDisconnected{Request: e.Request})
	if e.mayHaveRun() {
		e.finish(Expired, "out of time", 0)
	} else {
		e.finish(Rejected, "out of time", retryElsewhere)
	}
}

func (e *Exchange) handleConnectFailed(s ConnectFailed) {
	switch {
	case e.phase != connecting:
	case s.AtConnectionLimit:
		e.endAttempt(router.Refused)
	default:
		e.endAttempt(router.NotSent)
	}
}

func (e *Exchange) handleResponseEnded() {
	switch e.phase {
	case draining:
		e.endAttempt(router.Refused)
	case forwarding:
		e.endAttempt(router.Completed)
		e.finish(Completed, "", 0)
	}
}

// claimsNotRun reports whether a status means that the request did not run and never will. Without the NotExecuted header that is not proven,
// so such a response is not forwarded and its attempt counts as failed.
func claimsNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout
}

func (e *Exchange) handleResponseHead(s ResponseHeadRead) {
	if s.Mismatched {
		e.endAttempt(router.Failed)
		return
	}
	if s.Load != nil {
		e.notify(*s.Load)
	}
	if s.Status == http.StatusMisdirectedRequest && !s.VersionRequested {
		e.notify(router.WrongInstance{Replica: e.Placement.Replica})
	}
	switch {
	case s.NotExecuted || s.Status == http.StatusMisdirectedRequest:
		e.phase = draining
		e.emit(Action{Kind: DiscardResponse})
	case s.CloseDelimited, s.Unsealed && s.Status/100 == 2, e.responseStarted && (!s.Stream || s.VersionMismatch), claimsNotRun(s.Status):
		e.endAttempt(router.Failed)
	default:
		e.phase, e.stream = forwarding, s.Stream
		e.notify(router.ResponseHead{Request: e.Request, AttemptID: e.Placement.AttemptID, InstanceID: cmp.Or(s.Instance, e.Placement.Instance), Failed: isReplicaFailure(s.Status)})
		e.emit(Action{Kind: ForwardResponse})
	}
}

// isReplicaFailure reports whether a status indicates a fault of the replica. A timeout does not.
func isReplicaFailure(status int) bool {
	return status >= 500 && status != http.StatusGatewayTimeout
}
