package mallowbridge

import "net/http"

type MoveKind uint8

const (
	Dial MoveKind = iota + 1
	Vouch
	Write
	Drop
	Tell
	Pass
	Close
	Glance
)

type Move struct {
	Kind    MoveKind
	Place   Decision
	Event   Event
	Line    Line
	Outcome string
}

const (
	OutDone    = "done"
	OutPartial = "partial"
	OutDenied  = "denied"
	OutUnknown = "unknown"
	OutRepeat  = "repeat"
	OutBad     = "bad"
)

type Wire interface{ wire() }

type Dialed struct {
	Go string
	OK bool
}

type Vouched struct {
	Go  string
	How How
}

type Replied struct {
	Go, Attempt string
	Status      int
}

type Read struct {
	Go   string
	Line Line
}

type Lost struct{ Go string }

type HungUp struct{}

func (Dialed) wire()  {}
func (Vouched) wire() {}
func (Replied) wire() {}
func (Read) wire()    {}
func (Lost) wire()    {}
func (HungUp) wire()  {}

// Passage takes one request through a node: decisions and what the connections do go in, moves come out.
type Passage struct {
	Request string
	place   Decision
	open    bool
	headed  bool
	began   bool
	vouched bool
	over    bool
	strand  Strand
	moves   []Move
}

func (p *Passage) do(m Move) { p.moves = append(p.moves, m) }

func (p *Passage) take() (moves []Move) {
	moves, p.moves = p.moves, nil
	return moves
}

func (p *Passage) drop() {
	if p.open {
		p.open = false
		p.do(Move{Kind: Drop, Place: p.place})
	}
}

func (p *Passage) close(d Decision, outcome string) {
	p.drop()
	p.over = true
	p.do(Move{Kind: Close, Place: d, Outcome: outcome})
}

func (p *Passage) end(how How) {
	p.drop()
	p.do(Move{Kind: Tell, Event: End{Request: p.Request, Go: p.place.Go, How: how}})
}

func (p *Passage) Decided(d Decision) (moves []Move) {
	if p.over || (p.open && d.Go != "" && d.Go != p.place.Go && d.Verdict != Place) {
		return nil
	}
	switch d.Verdict {
	case Place:
		p.drop()
		p.place, p.open, p.headed, p.vouched, p.strand = d, true, false, false, Strand{Go: d.Go}
		p.do(Move{Kind: Dial, Place: d})
	case Send:
		if p.open && p.place.Once && !p.vouched {
			p.do(Move{Kind: Vouch, Place: p.place})
		} else if p.open {
			p.do(Move{Kind: Write, Place: p.place})
		}
	case Recall, Cancel:
		p.drop()
	case Peek:
		p.do(Move{Kind: Glance})
	case Done:
		p.close(d, OutDone)
	default:
		p.close(d, p.outcome(d))
	}
	return p.take()
}

func (p *Passage) outcome(d Decision) (name string) {
	switch {
	case d.Verdict == Partial || p.began:
		return OutPartial
	case d.Verdict == Unknown:
		return OutUnknown
	case d.Repeat:
		return OutRepeat
	case d.Bad:
		return OutBad
	}
	return OutDenied
}

func (p *Passage) Happened(w Wire) (moves []Move) {
	if p.over {
		return nil
	}
	switch e := w.(type) {
	case HungUp:
		p.drop()
		p.over = true
		p.do(Move{Kind: Tell, Event: Hangup{Request: p.Request}})
	case Dialed:
		p.dialed(e)
	case Vouched:
		p.witnessed(e)
	case Replied:
		p.replied(e)
	case Read:
		p.read(e)
	case Lost:
		if p.is(e.Go) {
			p.end(Broken)
		}
	}
	return p.take()
}

func (p *Passage) is(goID string) (current bool) { return p.open && p.place.Go == goID }

func (p *Passage) dialed(e Dialed) {
	switch {
	case !p.is(e.Go):
	case e.OK:
		p.do(Move{Kind: Tell, Event: Leave{Request: p.Request, Go: e.Go}})
	default:
		p.end(Unreached)
	}
}

// witnessed asks for leave once more: the witnesses took their time, and the machine may have been frozen meanwhile.
func (p *Passage) witnessed(e Vouched) {
	switch {
	case e.Go == "" && e.How == Withheld:
		p.do(Move{Kind: Tell, Event: Withhold{Request: p.Request}})
	case !p.is(e.Go) || p.vouched:
	case e.How == "":
		p.vouched = true
		p.do(Move{Kind: Tell, Event: Leave{Request: p.Request, Go: e.Go}})
	default:
		p.end(e.How)
	}
}

func (p *Passage) replied(e Replied) {
	switch {
	case !p.is(e.Go):
	case e.Attempt != e.Go:
		p.end(Broken)
	case e.Status == http.StatusTooManyRequests:
		p.end(Refused)
	case e.Status != http.StatusOK:
		p.end(Broken)
	}
}

func (p *Passage) read(e Read) {
	if !p.is(e.Go) {
		return
	}
	if p.strand.Take(e.Line) != nil {
		p.end(Broken)
		return
	}
	if !p.headed {
		p.headed = true
		p.do(Move{Kind: Tell, Event: Head{Request: p.Request, Go: e.Go, InstanceID: e.Line.InstanceID}})
	}
	if e.Line.Piece == nil && !e.Line.End {
		return
	}
	if !p.began {
		p.began = true
		p.do(Move{Kind: Tell, Event: Piece{Request: p.Request, Go: e.Go}})
	}
	l := e.Line
	l.Request = p.Request
	p.do(Move{Kind: Pass, Place: p.place, Line: l})
	if p.strand.Ended() {
		p.end(Whole)
	}
}
