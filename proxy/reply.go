package proxy

import (
	"cmp"
	"net/http"

	"github.com/mallowbridge/mallowbridge/router"
)

func (e *Exchange) deadlinePassed(s DeadlinePassed) {
	if s.Unwritten && e.phase == written {
		e.phase = connected
	}
	e.notify(router.ClientDisconnected{Request: e.Request})
	if e.mayHaveRun() {
		e.finish(Expired, "out of time", 0)
	} else {
		e.finish(Rejected, "out of time", defaultRetryAfter)
	}
}

func (e *Exchange) unconnected(s ConnectFailed) {
	switch {
	case e.phase != connecting:
	case s.AtConnectionLimit:
		e.end(router.Refused)
	default:
		e.end(router.NotSent)
	}
}

func (e *Exchange) ended() {
	switch e.phase {
	case draining:
		e.end(router.Refused)
	case passing:
		e.end(router.Completed)
		e.finish(Completed, "", 0)
	}
}

// promises tells whether a status says that the request did not run and never will.
func promises(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout
}

func (e *Exchange) replied(s ResponseHeadRead) {
	if s.Mismatched {
		e.end(router.Failed)
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
		e.do(Action{Kind: DiscardResponse})
	case s.CloseDelimited, s.Unsealed && s.Status/100 == 2, e.began && (!s.Stream || s.VersionMismatch), promises(s.Status):
		e.end(router.Failed)
	default:
		e.phase, e.stream = passing, s.Stream
		e.notify(router.ResponseHead{Request: e.Request, AttemptID: e.Placement.AttemptID, InstanceID: cmp.Or(s.Instance, e.Placement.Instance), Failed: failure(s.Status)})
		e.do(Action{Kind: ForwardResponse})
	}
}

// failure tells whether a status says that the replica is ill; one that only ran out of time is not.
func failure(status int) bool {
	return status >= 500 && status != http.StatusGatewayTimeout
}
