package router

// ActionKind says what the I/O around a RequestFlow has to do.
type ActionKind uint8

// The kinds of actions.
const (
	// Connect opens a connection to the placement's replica.
	Connect ActionKind = iota + 1
	// AskWitnesses asks the request's witnesses whether it may be sent.
	AskWitnesses
	// Write sends the request on the open connection.
	Write
	// Disconnect closes the connection.
	Disconnect
	// NotifyRouter gives an event to the router.
	NotifyRouter
	// ForwardLine sends a line to the client.
	ForwardLine
	// Finish ends the request with an outcome.
	Finish
	// AskWitnessesEarly asks the witnesses early, without a placement.
	AskWitnessesEarly
)

// Action is one thing to do; which fields count depends on its kind.
type Action struct {
	Kind      ActionKind
	Placement Decision
	Event     Event
	Line      ResponseLine
	Outcome   string
}

// The outcomes of a request, as the X-Outcome header publishes them.
const (
	OutcomeDone     = "done"
	OutcomePartial  = "partial"
	OutcomeRejected = "denied"
	OutcomeUnknown  = "unknown"
	OutcomeRepeat   = "repeat"
	OutcomeInvalid  = "bad"
)

// ConnectionEvent is what happened on a request's connections. AttemptID names the attempt.
type ConnectionEvent interface{ wire() }

// ConnectResult says whether the connection to the replica is open.
type ConnectResult struct {
	AttemptID string
	OK        bool
}

// WitnessesAnswered is the witnesses' answer: Result is empty where the request may be sent, else how the attempt ends. Without an attempt it
// answers AskWitnessesEarly.
type WitnessesAnswered struct {
	AttemptID string
	Result    AttemptResult
}

// ResponseHeadRead is the head of the replica's answer; Attempt is the id that it carries back.
type ResponseHeadRead struct {
	AttemptID, EchoedAttemptID string
	Status                     int
}

// ResponseLineRead is a line of the replica's answer.
type ResponseLineRead struct {
	AttemptID string
	Line      ResponseLine
}

// ConnectionLost says that the connection to the replica ended.
type ConnectionLost struct{ AttemptID string }

// ClientClosed says that the client is gone.
type ClientClosed struct{}

func (ConnectResult) wire()     {}
func (WitnessesAnswered) wire() {}
func (ResponseHeadRead) wire()    {}
func (ResponseLineRead) wire()    {}
func (ConnectionLost) wire()    {}
func (ClientClosed) wire()      {}
