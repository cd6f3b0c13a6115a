package proxy

import (
	"cmp"
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/config"
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

// Exchange takes one request through: decisions and signals go in, moves come out.
type Exchange struct {
	Request string
	Place   mallowbridge.Decision
	// Stuck tells that what was passed on cannot be taken up at another replica.
	Stuck bool
	phase phase
	// stream tells that the answer being passed on is a stream, flat that bytes of one that is none were passed on.
	stream, flat bool
	began        bool
	mayRun       bool
	over         bool
	moves        []Move
}

// Over tells that the exchange has ended: it makes no more moves.
func (e *Exchange) Over() bool { return e.over }

const usualMoves = 4

func (e *Exchange) do(m Move) {
	if e.moves == nil {
		e.moves = make([]Move, 0, usualMoves)
	}
	e.moves = append(e.moves, m)
}

func (e *Exchange) tell(ev mallowbridge.Event) { e.do(Move{Kind: Tell, Event: ev}) }

func (e *Exchange) take() []Move {
	if len(e.moves) == 0 {
		return nil
	}
	var moves []Move
	moves, e.moves = e.moves, nil
	return moves
}

// spent gives moves that were carried out back, so that their room serves the next ones.
func (e *Exchange) spent(moves []Move) {
	if e.moves == nil && moves != nil {
		clear(moves)
		e.moves = moves[:0]
	}
}

// ran tells whether the request may have run: only an attempt that was never written, or one that a replica refused, has not.
func (e *Exchange) ran() bool { return e.mayRun || e.phase == written || e.phase == passing }

func (e *Exchange) leave() {
	e.mayRun = e.ran()
	if e.phase != none {
		e.do(Move{Kind: Drop})
	}
	e.phase = none
}

func (e *Exchange) finish(o Outcome, why string, after time.Duration) {
	e.leave()
	e.over = true
	if e.began && o != Done && o != Gone {
		o = Aborted
	}
	e.do(Move{Kind: Finish, Outcome: o, Why: why, After: after})
}

func (e *Exchange) end(how mallowbridge.How) {
	if how == mallowbridge.Broken {
		e.leave()
	}
	e.phase = none
	e.tell(mallowbridge.End{Request: e.Request, Go: e.Place.Go, How: how})
}

// repeats tells whether a request that may have run may be written again.
func repeats(d mallowbridge.Decision) bool { return d.Resumes || mayRepeat(d.Route) }

func mayRepeat(r *config.Route) bool { return r != nil && (r.Repeatable || r.Resumable) }

// Decided takes a decision of the market and gives the moves to carry out, in order.
func (e *Exchange) Decided(d mallowbridge.Decision) []Move {
	if e.over || (e.phase != none && d.Go != "" && d.Go != e.Place.Go && d.Verdict != mallowbridge.Place) {
		return nil
	}
	switch d.Verdict {
	case mallowbridge.Place:
		if (e.began && (e.Stuck || e.flat || !d.Resumes)) || (e.ran() && !repeats(d)) {
			e.tell(mallowbridge.Hangup{Request: e.Request})
			e.finish(Unknown, "", 0)
			break
		}
		e.leave()
		e.Place, e.phase = d, connecting
		e.do(Move{Kind: Connect})
	case mallowbridge.Send:
		if e.phase == connected {
			e.phase = written
			e.do(Move{Kind: Write})
		}
	case mallowbridge.Recall:
		if e.phase == connecting || e.phase == connected {
			e.phase = none
			e.do(Move{Kind: Park})
		}
	case mallowbridge.Deny:
		e.denied(d)
	case mallowbridge.Unknown, mallowbridge.Partial:
		e.finish(Unknown, d.Why, d.After)
	}
	return e.take()
}

// denied keeps the promise of a 503: a request that may have run is not called denied.
func (e *Exchange) denied(d mallowbridge.Decision) {
	switch {
	case e.ran() || d.Repeat:
		e.finish(Unknown, d.Why, d.After)
	case d.Bad:
		e.finish(NotFound, d.Why, 0)
	default:
		e.finish(Denied, d.Why, cmp.Or(d.After, comeBack))
	}
}

// comeBack is when a client whose request did not run may ask again where the market does not say.
const comeBack = 250 * time.Millisecond

// Closed is called when no more decisions will come.
func (e *Exchange) Closed() []Move {
	if !e.over {
		e.denied(mallowbridge.Decision{Why: "node is stopping"})
	}
	return e.take()
}

// Happened takes what a connection or the clock did and gives the moves to carry out, in order.
func (e *Exchange) Happened(s Signal) []Move {
	if e.over {
		return nil
	}
	switch s := s.(type) {
	case HungUp:
		e.tell(mallowbridge.Hangup{Request: e.Request})
		e.finish(Gone, "", 0)
	case Overdue:
		e.overdue(s)
	case Connected:
		if e.phase == connecting {
			e.phase = connected
			e.tell(mallowbridge.Leave{Request: e.Request, Go: e.Place.Go})
		}
	case Unconnected:
		e.unconnected(s)
	case Unwritten:
		if e.phase == written {
			e.do(Move{Kind: Drop})
			e.end(mallowbridge.Unreached)
		}
	case Replied:
		if e.phase == written {
			e.replied(s)
		}
	case Begun:
		if e.phase == passing {
			e.tell(mallowbridge.Piece{Request: e.Request, Go: e.Place.Go})
			e.began, e.flat = true, !e.stream
		}
	case Ended:
		e.ended()
	case Lost:
		switch e.phase {
		case written, passing:
			e.end(mallowbridge.Broken)
		case draining:
			e.do(Move{Kind: Drop})
			e.end(mallowbridge.Refused)
		}
	}
	return e.take()
}
