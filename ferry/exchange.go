package ferry

import (
	"cmp"
	"net/http"
	"time"

	"github.com/mallowbridge/mallowbridge"
)

// Exchange takes one request through: decisions and signals go in, moves come out.
type Exchange struct {
	Request string
	Place   mallowbridge.Decision
	// Stuck tells that what was passed on cannot be taken up at another replica.
	Stuck   bool
	open    bool
	sent    bool
	refused bool
	began   bool
	mayRun  bool
	over    bool
	moves   []Move
}

func (e *Exchange) Over() (yes bool) { return e.over }

func (e *Exchange) do(m Move) { e.moves = append(e.moves, m) }

func (e *Exchange) tell(ev mallowbridge.Event) { e.do(Move{Kind: Tell, Event: ev}) }

func (e *Exchange) take() (moves []Move) {
	moves, e.moves = e.moves, nil
	return moves
}

func (e *Exchange) finish(o Outcome, why string, after time.Duration) {
	if e.open {
		e.do(Move{Kind: Drop})
	}
	e.open, e.over = false, true
	if e.began && o != Done && o != Gone {
		o = Aborted
	}
	e.do(Move{Kind: Finish, Outcome: o, Why: why, After: after})
}

func (e *Exchange) end(how mallowbridge.How) {
	if e.open && how != mallowbridge.Whole && how != mallowbridge.Refused {
		e.do(Move{Kind: Drop})
	}
	e.mayRun = e.mayRun || (e.sent && how == mallowbridge.Broken)
	e.open, e.sent, e.refused = false, false, false
	e.tell(mallowbridge.End{Request: e.Request, Go: e.Place.Go, How: how})
}

func (e *Exchange) Decided(d mallowbridge.Decision) (moves []Move) {
	if e.over || (e.open && d.Go != "" && d.Go != e.Place.Go && d.Verdict != mallowbridge.Place) {
		return nil
	}
	switch d.Verdict {
	case mallowbridge.Place:
		if e.began && (e.Stuck || !d.Resumes) {
			e.tell(mallowbridge.Hangup{Request: e.Request})
			e.finish(Aborted, "", 0)
			break
		}
		if e.open {
			e.do(Move{Kind: Drop})
		}
		e.Place, e.open, e.sent, e.refused = d, true, false, false
		e.do(Move{Kind: Connect})
	case mallowbridge.Send:
		if e.open && !e.sent {
			e.sent = true
			e.do(Move{Kind: Write})
		}
	case mallowbridge.Recall:
		if e.open && !e.sent {
			e.open = false
			e.do(Move{Kind: Park})
		}
	case mallowbridge.Deny:
		e.denied(d)
	case mallowbridge.Unknown, mallowbridge.Partial:
		e.finish(Unknown, d.Why, 0)
	}
	return e.take()
}

// denied keeps the promise of a 503: a request that may have run, and may not run twice, is not called denied.
func (e *Exchange) denied(d mallowbridge.Decision) {
	again := e.Place.Route != nil && e.Place.Route.Repeatable
	switch {
	case (e.mayRun && !again) || d.Repeat:
		e.finish(Unknown, d.Why, 0)
	case d.Bad:
		e.finish(NotFound, d.Why, 0)
	default:
		e.finish(Denied, d.Why, d.After)
	}
}

// Closed is called when no more decisions will come.
func (e *Exchange) Closed() (moves []Move) {
	if !e.over {
		e.denied(mallowbridge.Decision{Why: "node is stopping"})
	}
	return e.take()
}

func (e *Exchange) Happened(s Signal) (moves []Move) {
	if e.over {
		return nil
	}
	switch s := s.(type) {
	case HungUp:
		e.tell(mallowbridge.Hangup{Request: e.Request})
		e.finish(Gone, "", 0)
	case Overdue:
		e.tell(mallowbridge.Hangup{Request: e.Request})
		if e.sent || e.mayRun {
			e.finish(Expired, "out of time", 0)
		} else {
			e.finish(Denied, "out of time", 0)
		}
	case Connected:
		e.tell(mallowbridge.Leave{Request: e.Request, Go: e.Place.Go})
	case Unconnected:
		if s.Capped {
			e.end(mallowbridge.Refused)
		} else {
			e.end(mallowbridge.Unreached)
		}
	case Replied:
		e.replied(s)
	case Begun:
		e.tell(mallowbridge.Piece{Request: e.Request, Go: e.Place.Go})
		e.began = true
	case Ended:
		e.ended()
	case Lost:
		if e.refused {
			e.end(mallowbridge.Refused)
		} else {
			e.end(mallowbridge.Broken)
		}
	}
	return e.take()
}

func (e *Exchange) ended() {
	if e.refused {
		e.end(mallowbridge.Refused)
		return
	}
	e.end(mallowbridge.Whole)
	e.finish(Done, "", 0)
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
		e.refused = true
		e.do(Move{Kind: Drain})
	case s.Open, s.Bare && s.Status/100 == 2, e.began && !s.Stream:
		e.end(mallowbridge.Broken)
	default:
		e.tell(mallowbridge.Head{Request: e.Request, Go: e.Place.Go, InstanceID: cmp.Or(s.Instance, e.Place.Instance), Failed: failure(s.Status)})
		e.do(Move{Kind: Pass})
	}
}

// failure tells whether a status says that the replica is ill; one that only ran out of time is not.
func failure(status int) (yes bool) {
	return status >= 500 && status != http.StatusGatewayTimeout
}
