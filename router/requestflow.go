package router

import "net/http"

// RequestFlow is the state machine of one request of the product's own interface: the router's decisions and what happens on the
// connections go in, actions come out. The HTTP interface and the simulator do the I/O around it.
type RequestFlow struct {
	Request string

	placement Decision
	connected bool
	answered  bool
	// answerBegan: a piece was passed on to the client.
	answerBegan     bool
	witnessesAgreed bool
	over            bool
	chunks          ChunkSequence
	actions         []Action
}

func (p *RequestFlow) emit(m Action) { p.actions = append(p.actions, m) }

func (p *RequestFlow) takeActions() []Action {
	var actions []Action
	actions, p.actions = p.actions, nil
	return actions
}

// disconnect closes the connection, if one is open.
func (p *RequestFlow) disconnect() {
	if p.connected {
		p.connected = false
		p.emit(Action{Kind: Disconnect, Placement: p.placement})
	}
}

func (p *RequestFlow) finish(d Decision, outcome string) {
	p.disconnect()
	p.over = true
	p.emit(Action{Kind: Finish, Placement: d, Outcome: outcome})
}

func (p *RequestFlow) endAttempt(how AttemptResult) {
	p.disconnect()
	p.emit(Action{Kind: NotifyRouter, Event: AttemptEnded{Request: p.Request, AttemptID: p.placement.AttemptID, Result: how}})
}

// OnDecision takes a decision of the router on this request.
func (p *RequestFlow) OnDecision(d Decision) []Action {
	if p.over || (p.connected && d.AttemptID != "" && d.AttemptID != p.placement.AttemptID && d.Verdict != Place) {
		return nil
	}
	switch d.Verdict {
	case Place:
		p.disconnect()
		p.begin(d)
		p.emit(Action{Kind: Connect, Placement: d})
	case Send:
		if p.connected && p.placement.OnceOnly && !p.witnessesAgreed {
			p.emit(Action{Kind: AskWitnesses, Placement: p.placement})
		} else if p.connected {
			p.emit(Action{Kind: Write, Placement: p.placement})
		}
	case CancelBeforeSend, Cancel:
		p.disconnect()
	case PollWitnesses:
		p.emit(Action{Kind: AskWitnessesEarly})
	case Done:
		p.finish(d, OutcomeDone)
	default:
		p.finish(d, p.outcome(d))
	}
	return p.takeActions()
}

// begin starts over with another placement.
func (p *RequestFlow) begin(d Decision) {
	p.placement, p.connected = d, true
	p.answered, p.witnessesAgreed = false, false
	p.chunks = ChunkSequence{AttemptID: d.AttemptID}
}

func (p *RequestFlow) outcome(d Decision) string {
	switch {
	case d.Verdict == Partial || p.answerBegan:
		return OutcomePartial
	case d.Verdict == Unknown:
		return OutcomeUnknown
	case d.Repeat:
		return OutcomeRepeat
	case d.Invalid:
		return OutcomeInvalid
	}
	return OutcomeRejected
}

// OnConnectionEvent takes what happened on a connection; what concerns an earlier attempt is dropped.
func (p *RequestFlow) OnConnectionEvent(w ConnectionEvent) []Action {
	if p.over {
		return nil
	}
	switch e := w.(type) {
	case ClientClosed:
		p.disconnect()
		p.over = true
		p.emit(Action{Kind: NotifyRouter, Event: ClientDisconnected{Request: p.Request}})
	case ConnectResult:
		p.connectionOpened(e)
	case WitnessesAnswered:
		p.witnessesAnswered(e)
	case ResponseHeadRead:
		p.answerHead(e)
	case ResponseLineRead:
		p.answerLine(e)
	case ConnectionLost:
		if p.isCurrent(e.AttemptID) {
			p.endAttempt(Failed)
		}
	}
	return p.takeActions()
}

func (p *RequestFlow) isCurrent(attempt string) bool {
	return p.connected && p.placement.AttemptID == attempt
}

func (p *RequestFlow) connectionOpened(e ConnectResult) {
	switch {
	case !p.isCurrent(e.AttemptID):
	case e.OK:
		p.emit(Action{Kind: NotifyRouter, Event: ReadyToSend{Request: p.Request, AttemptID: e.AttemptID}})
	default:
		p.endAttempt(NotSent)
	}
}

// witnessesAnswered asks for permission to send once more: the witnesses took their time, and the machine may have been frozen meanwhile.
func (p *RequestFlow) witnessesAnswered(e WitnessesAnswered) {
	switch {
	case e.AttemptID == "" && e.Result == Suppressed:
		p.emit(Action{Kind: NotifyRouter, Event: RanElsewhere{Request: p.Request}})
	case !p.isCurrent(e.AttemptID) || p.witnessesAgreed:
	case e.Result == "":
		p.witnessesAgreed = true
		p.emit(Action{Kind: NotifyRouter, Event: ReadyToSend{Request: p.Request, AttemptID: e.AttemptID}})
	default:
		p.endAttempt(e.Result)
	}
}

func (p *RequestFlow) answerHead(e ResponseHeadRead) {
	switch {
	case !p.isCurrent(e.AttemptID):
	case e.EchoedAttemptID != e.AttemptID:
		p.endAttempt(Failed)
	case e.Status == http.StatusTooManyRequests:
		p.endAttempt(Refused)
	case e.Status != http.StatusOK:
		p.endAttempt(Failed)
	}
}

func (p *RequestFlow) answerLine(e ResponseLineRead) {
	if !p.isCurrent(e.AttemptID) {
		return
	}
	if p.chunks.Check(e.Line) != nil {
		p.endAttempt(Failed)
		return
	}
	if !p.answered {
		p.answered = true
		p.emit(Action{Kind: NotifyRouter, Event: ResponseHead{Request: p.Request, AttemptID: e.AttemptID, InstanceID: e.Line.InstanceID}})
	}
	if e.Line.Chunk == nil && !e.Line.End {
		return
	}
	if !p.answerBegan {
		p.answerBegan = true
		p.emit(Action{Kind: NotifyRouter, Event: ResponseStarted{Request: p.Request, AttemptID: e.AttemptID}})
	}
	l := e.Line
	l.Request = p.Request
	p.emit(Action{Kind: ForwardLine, Placement: p.placement, Line: l})
	if p.chunks.Ended() {
		p.endAttempt(Completed)
	}
}
