package mallowbridge

import "net/http"

// RequestFlow is the state machine of one request of the product's own interface: the router's decisions and what happens on the
// connections go in, moves come out. The HTTP interface and the simulator do the I/O around it.
type RequestFlow struct {
	Request string

	placement Decision
	connected bool
	answered  bool
	// answerBegan: a piece was passed on to the client.
	answerBegan     bool
	witnessesAgreed bool
	over            bool
	pieces          PieceSequence
	moves           []Move
}

func (p *RequestFlow) emit(m Move) { p.moves = append(p.moves, m) }

func (p *RequestFlow) takeMoves() []Move {
	var moves []Move
	moves, p.moves = p.moves, nil
	return moves
}

// disconnect closes the connection, if one is open.
func (p *RequestFlow) disconnect() {
	if p.connected {
		p.connected = false
		p.emit(Move{Kind: Drop, Place: p.placement})
	}
}

func (p *RequestFlow) finish(d Decision, outcome string) {
	p.disconnect()
	p.over = true
	p.emit(Move{Kind: Close, Place: d, Outcome: outcome})
}

func (p *RequestFlow) endAttempt(how How) {
	p.disconnect()
	p.emit(Move{Kind: Tell, Event: End{Request: p.Request, Go: p.placement.Go, How: how}})
}

// Decided takes a decision of the router on this request.
func (p *RequestFlow) Decided(d Decision) []Move {
	if p.over || (p.connected && d.Go != "" && d.Go != p.placement.Go && d.Verdict != Place) {
		return nil
	}
	switch d.Verdict {
	case Place:
		p.disconnect()
		p.begin(d)
		p.emit(Move{Kind: Dial, Place: d})
	case Send:
		if p.connected && p.placement.Once && !p.witnessesAgreed {
			p.emit(Move{Kind: AskWitnesses, Place: p.placement})
		} else if p.connected {
			p.emit(Move{Kind: Write, Place: p.placement})
		}
	case Recall, Cancel:
		p.disconnect()
	case PollWitnesses:
		p.emit(Move{Kind: AskWitnessesEarly})
	case Done:
		p.finish(d, OutDone)
	default:
		p.finish(d, p.outcome(d))
	}
	return p.takeMoves()
}

// begin starts over with another placement.
func (p *RequestFlow) begin(d Decision) {
	p.placement, p.connected = d, true
	p.answered, p.witnessesAgreed = false, false
	p.pieces = PieceSequence{Go: d.Go}
}

func (p *RequestFlow) outcome(d Decision) string {
	switch {
	case d.Verdict == Partial || p.answerBegan:
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

// Happened takes what happened on a connection; what concerns an earlier attempt is dropped.
func (p *RequestFlow) Happened(w ConnectionEvent) []Move {
	if p.over {
		return nil
	}
	switch e := w.(type) {
	case ClientHungUp:
		p.disconnect()
		p.over = true
		p.emit(Move{Kind: Tell, Event: Hangup{Request: p.Request}})
	case Dialed:
		p.connectionOpened(e)
	case WitnessesAnswered:
		p.witnessesAnswered(e)
	case Replied:
		p.answerHead(e)
	case Read:
		p.answerLine(e)
	case Lost:
		if p.isCurrent(e.Go) {
			p.endAttempt(Broken)
		}
	}
	return p.takeMoves()
}

func (p *RequestFlow) isCurrent(attempt string) bool {
	return p.connected && p.placement.Go == attempt
}

func (p *RequestFlow) connectionOpened(e Dialed) {
	switch {
	case !p.isCurrent(e.Go):
	case e.OK:
		p.emit(Move{Kind: Tell, Event: Leave{Request: p.Request, Go: e.Go}})
	default:
		p.endAttempt(Unreached)
	}
}

// witnessesAnswered asks for permission to send once more: the witnesses took their time, and the machine may have been frozen meanwhile.
func (p *RequestFlow) witnessesAnswered(e WitnessesAnswered) {
	switch {
	case e.Go == "" && e.How == Withheld:
		p.emit(Move{Kind: Tell, Event: Withhold{Request: p.Request}})
	case !p.isCurrent(e.Go) || p.witnessesAgreed:
	case e.How == "":
		p.witnessesAgreed = true
		p.emit(Move{Kind: Tell, Event: Leave{Request: p.Request, Go: e.Go}})
	default:
		p.endAttempt(e.How)
	}
}

func (p *RequestFlow) answerHead(e Replied) {
	switch {
	case !p.isCurrent(e.Go):
	case e.Attempt != e.Go:
		p.endAttempt(Broken)
	case e.Status == http.StatusTooManyRequests:
		p.endAttempt(Refused)
	case e.Status != http.StatusOK:
		p.endAttempt(Broken)
	}
}

func (p *RequestFlow) answerLine(e Read) {
	if !p.isCurrent(e.Go) {
		return
	}
	if p.pieces.Check(e.Line) != nil {
		p.endAttempt(Broken)
		return
	}
	if !p.answered {
		p.answered = true
		p.emit(Move{Kind: Tell, Event: Head{Request: p.Request, Go: e.Go, InstanceID: e.Line.InstanceID}})
	}
	if e.Line.Piece == nil && !e.Line.End {
		return
	}
	if !p.answerBegan {
		p.answerBegan = true
		p.emit(Move{Kind: Tell, Event: Piece{Request: p.Request, Go: e.Go}})
	}
	l := e.Line
	l.Request = p.Request
	p.emit(Move{Kind: Pass, Place: p.placement, Line: l})
	if p.pieces.Ended() {
		p.endAttempt(Whole)
	}
}
