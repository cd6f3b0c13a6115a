package router

// ActionKind says what the caller of a RequestFlow has to do.
type ActionKind uint8

// The kinds of actions.
const (
	// Connect opens a connection to the placement's replica.
	Connect ActionKind = iota + 1
	// AskWitnesses asks the request's witnesses whether it may be sent. Witnesses remember which router first asked about a non-idempotent
	// request.
	AskWitnesses
	// Write sends the request on the open connection.
	Write
	// Disconnect closes the connection.
	Disconnect
	// NotifyRouter passes an event to the router.
	NotifyRouter
	// ForwardLine sends a line of the response to the client.
	ForwardLine
	// Finish ends the request with an outcome.
	Finish
	// AskWitnessesEarly asks the witnesses while the request is still waiting for a placement.
	AskWitnessesEarly
)

// Action is one action for the caller of a RequestFlow. Its kind determines which of the other fields are set.
type Action struct {
	Kind      ActionKind
	Placement Decision
	Event     Event
	Line      ResponseLine
	Outcome   string
}

// The outcomes of a request, as reported in the X-Outcome header.
const (
	OutcomeDone     = "done"
	OutcomePartial  = "partial"
	OutcomeRejected = "denied"
	OutcomeUnknown  = "unknown"
	OutcomeRepeat   = "repeat"
	OutcomeInvalid  = "bad"
)

// ConnectionEvent is an event on the connections of a request. AttemptID is the ID of the attempt that it belongs to.
type ConnectionEvent interface{ connectionEvent() }

// ConnectResult reports whether the connection to the replica could be opened.
type ConnectResult struct {
	AttemptID string
	OK        bool
}

// WitnessesAnswered is the answer of the witnesses. Result is empty if the request may be sent, otherwise it is the result of the attempt. An
// empty AttemptID means that it answers AskWitnessesEarly.
type WitnessesAnswered struct {
	AttemptID string
	Result    AttemptResult
}

// ResponseHeadRead is the head of the replica's response. EchoedAttemptID is the attempt ID that the replica returned.
type ResponseHeadRead struct {
	AttemptID, EchoedAttemptID string
	Status                     int
}

// ResponseLineRead is one line of the replica's response.
type ResponseLineRead struct {
	AttemptID string
	Line      ResponseLine
}

// ConnectionLost reports that the connection to the replica ended.
type ConnectionLost struct{ AttemptID string }

// ClientClosed reports that the client disconnected.
type ClientClosed struct{}

func (ConnectResult) connectionEvent()     {}
func (WitnessesAnswered) connectionEvent() {}
func (ResponseHeadRead) connectionEvent()  {}
func (ResponseLineRead) connectionEvent()  {}
func (ConnectionLost) connectionEvent()    {}
func (ClientClosed) connectionEvent()      {}
