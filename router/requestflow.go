package router

import "net/http"

// RequestFlow is the state machine of one request of the product's own interface. Its inputs are the router's decisions and the events on the
// request's connections; its outputs are actions, which the HTTP interface and the simulator carry out.
type RequestFlow struct {
	// Request is the ID of the request.
	Request string

	// placement is the decision that began the current attempt.
	placement Decision
	// connected is set while the current attempt has a connection, open or being opened.
	connected bool
	// headReported is set once the router was notified of the attempt's ResponseHead.
	headReported bool
	// responseStarted is set once a line was forwarded to the client.
	responseStarted bool
	// witnessesAgreed is set once the witnesses allowed the current attempt to be sent.
	witnessesAgreed bool
	// ended is set once the request has ended.
	ended   bool
	chunks  ChunkSequence
	actions []Action
}

func (f *RequestFlow) emit(a Action) { f.actions = append(f.actions, a) }

func (f *RequestFlow) takeActions() []Action {
	var actions []Action
	actions, f.actions = f.actions, nil
	return actions
}

// disconnect closes the current attempt's connection, if there is one.
func (f *RequestFlow) disconnect() {
	if f.connected {
		f.connected = false
		f.emit(Action{Kind: Disconnect, Placement: f.placement})
	}
}

// finish ends the request with an outcome.
func (f *RequestFlow) finish(d Decision, outcome string) {
	f.disconnect()
	f.ended = true
	f.emit(Action{Kind: Finish, Placement: d, Outcome: outcome})
}

// endAttempt closes the connection and notifies the router of the attempt's result.
func (f *RequestFlow) endAttempt(result AttemptResult) {
	f.disconnect()
	f.emit(Action{Kind: NotifyRouter, Event: AttemptEnded{Request: f.Request, AttemptID: f.placement.AttemptID, Result: result}})
}

// OnDecision applies a decision of the router about this request and returns the resulting actions.
func (f *RequestFlow) OnDecision(d Decision) []Action {
	if f.ended || (f.connected && d.AttemptID != "" && d.AttemptID != f.placement.AttemptID && d.Verdict != Place) {
		return nil
	}
	switch d.Verdict {
	case Place:
		f.disconnect()
		f.begin(d)
		f.emit(Action{Kind: Connect, Placement: d})
	case Send:
		if f.connected && f.placement.NeedsWitnesses && !f.witnessesAgreed {
			f.emit(Action{Kind: AskWitnesses, Placement: f.placement})
		} else if f.connected {
			f.emit(Action{Kind: Write, Placement: f.placement})
		}
	case CancelBeforeSend, Cancel:
		f.disconnect()
	case PollWitnesses:
		f.emit(Action{Kind: AskWitnessesEarly})
	case Done:
		f.finish(d, OutcomeDone)
	default:
		f.finish(d, f.outcome(d))
	}
	return f.takeActions()
}

// begin starts a new attempt.
func (f *RequestFlow) begin(d Decision) {
	f.placement, f.connected = d, true
	f.headReported, f.witnessesAgreed = false, false
	f.chunks = ChunkSequence{AttemptID: d.AttemptID}
}

// outcome returns the outcome of a request that has no complete response.
func (f *RequestFlow) outcome(d Decision) string {
	switch {
	case d.Verdict == Partial || f.responseStarted:
		return OutcomePartial
	case d.Verdict == Unknown:
		return OutcomeUnknown
	case d.Duplicate:
		return OutcomeRepeat
	case d.Invalid:
		return OutcomeInvalid
	}
	return OutcomeRejected
}

// OnConnectionEvent applies an event on a connection and returns the resulting actions. Events of earlier attempts are ignored.
func (f *RequestFlow) OnConnectionEvent(ev ConnectionEvent) []Action {
	if f.ended {
		return nil
	}
	switch e := ev.(type) {
	case ClientClosed:
		f.disconnect()
		f.ended = true
		f.emit(Action{Kind: NotifyRouter, Event: ClientDisconnected{Request: f.Request}})
	case ConnectResult:
		f.connectResult(e)
	case WitnessesAnswered:
		f.witnessesAnswered(e)
	case ResponseHeadRead:
		f.responseHead(e)
	case ResponseLineRead:
		f.responseLine(e)
	case ConnectionLost:
		if f.isCurrent(e.AttemptID) {
			f.endAttempt(Failed)
		}
	}
	return f.takeActions()
}

func (f *RequestFlow) isCurrent(attempt string) bool {
	return f.connected && f.placement.AttemptID == attempt
}

func (f *RequestFlow) connectResult(e ConnectResult) {
	switch {
	case !f.isCurrent(e.AttemptID):
	case e.OK:
		f.emit(Action{Kind: NotifyRouter, Event: ReadyToSend{Request: f.Request, AttemptID: e.AttemptID}})
	default:
		f.endAttempt(NotSent)
	}
}

// witnessesAnswered handles the answer of the witnesses. If they agree, it asks the router again whether the attempt may be sent, because time
// has passed and the machine may have been frozen meanwhile.
func (f *RequestFlow) witnessesAnswered(e WitnessesAnswered) {
	switch {
	case e.AttemptID == "" && e.Result == Suppressed:
		f.emit(Action{Kind: NotifyRouter, Event: RanElsewhere{Request: f.Request}})
	case !f.isCurrent(e.AttemptID) || f.witnessesAgreed:
	case e.Result == "":
		f.witnessesAgreed = true
		f.emit(Action{Kind: NotifyRouter, Event: ReadyToSend{Request: f.Request, AttemptID: e.AttemptID}})
	default:
		f.endAttempt(e.Result)
	}
}

func (f *RequestFlow) responseHead(e ResponseHeadRead) {
	switch {
	case !f.isCurrent(e.AttemptID):
	case e.EchoedAttemptID != e.AttemptID:
		f.endAttempt(Failed)
	case e.Status == http.StatusTooManyRequests:
		f.endAttempt(Refused)
	case e.Status != http.StatusOK:
		f.endAttempt(Failed)
	}
}

func (f *RequestFlow) responseLine(e ResponseLineRead) {
	if !f.isCurrent(e.AttemptID) {
		return
	}
	if f.chunks.Check(e.Line) != nil {
		f.endAttempt(Failed)
		return
	}
	if !f.headReported {
		f.headReported = true
		f.emit(Action{Kind: NotifyRouter, Event: ResponseHead{Request: f.Request, AttemptID: e.AttemptID, InstanceID: e.Line.InstanceID}})
	}
	if e.Line.Chunk == nil && !e.Line.End {
		return
	}
	if !f.responseStarted {
		f.responseStarted = true
		f.emit(Action{Kind: NotifyRouter, Event: ResponseStarted{Request: f.Request, AttemptID: e.AttemptID}})
	}
	line := e.Line
	line.Request = f.Request
	f.emit(Action{Kind: ForwardLine, Placement: f.placement, Line: line})
	if f.chunks.Ended() {
		f.endAttempt(Completed)
	}
}
