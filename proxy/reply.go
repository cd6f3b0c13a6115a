package proxy

import (
	"cmp"
	"net/http"

	"github.com/mallowbridge/mallowbridge"
)

func (e *Exchange) overdue(s Overdue) {
	if s.Unwritten && e.phase == written {
		e.phase = connected
	}
	e.tell(mallowbridge.Hangup{Request: e.Request})
	if e.ran() {
		e.finish(Expired, "out of time", 0)
	} else {
		e.finish(Denied, "out of time", comeBack)
	}
}

func (e *Exchange) unconnected(s Unconnected) {
	switch {
	case e.phase != connecting:
	case s.Capped:
		e.end(mallowbridge.Refused)
	default:
		e.end(mallowbridge.Unreached)
	}
}

func (e *Exchange) ended() {
	switch e.phase {
	case draining:
		e.end(mallowbridge.Refused)
	case passing:
		e.end(mallowbridge.Whole)
		e.finish(Done, "", 0)
	}
}

// promises tells whether a status says that the request did not run and never will.
func promises(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout
}

func (e *Exchange) replied(s Replied) {
	if s.Foreign {
		e.end(mallowbridge.Broken)
		return
	}
	if s.Load != nil {
		e.tell(*s.Load)
	}
	if s.Status == http.StatusMisdirectedRequest {
		e.tell(mallowbridge.Misplaced{Replica: e.Place.Replica})
	}
	switch {
	case s.NotRun || s.Status == http.StatusMisdirectedRequest:
		e.phase = draining
		e.do(Move{Kind: Drain})
	case s.Open, s.Bare && s.Status/100 == 2, e.began && !s.Stream, promises(s.Status):
		e.end(mallowbridge.Broken)
	default:
		e.phase, e.stream = passing, s.Stream
		e.tell(mallowbridge.Head{Request: e.Request, Go: e.Place.Go, InstanceID: cmp.Or(s.Instance, e.Place.Instance), Failed: failure(s.Status)})
		e.do(Move{Kind: Pass})
	}
}

// failure tells whether a status says that the replica is ill; one that only ran out of time is not.
func failure(status int) bool {
	return status >= 500 && status != http.StatusGatewayTimeout
}
