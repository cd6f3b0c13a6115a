package mallowbridge

// MoveKind says what the I/O around a RequestFlow has to do.
type MoveKind uint8

// The kinds of moves.
const (
	// Dial opens a connection to the placement's replica.
	Dial MoveKind = iota + 1
	// AskWitnesses asks the request's witnesses whether it may be sent.
	AskWitnesses
	// Write sends the request on the open connection.
	Write
	// Drop closes the connection.
	Drop
	// Tell gives an event to the router.
	Tell
	// Pass sends a line to the client.
	Pass
	// Close ends the request with an outcome.
	Close
	// AskWitnessesEarly asks the witnesses early, without a placement.
	AskWitnessesEarly
)

// Move is one thing to do; which fields count depends on its kind.
type Move struct {
	Kind    MoveKind
	Place   Decision
	Event   Event
	Line    Line
	Outcome string
}

// The outcomes of a request, as the X-Outcome header publishes them.
const (
	OutDone    = "done"
	OutPartial = "partial"
	OutDenied  = "denied"
	OutUnknown = "unknown"
	OutRepeat  = "repeat"
	OutBad     = "bad"
)

// ConnectionEvent is what happened on a request's connections. Go names the attempt.
type ConnectionEvent interface{ wire() }

// Dialed says whether the connection to the replica is open.
type Dialed struct {
	Go string
	OK bool
}

// WitnessesAnswered is the witnesses' answer: How is empty where the request may be sent, else how the attempt ends. Without an attempt it
// answers AskWitnessesEarly.
type WitnessesAnswered struct {
	Go  string
	How How
}

// Replied is the head of the replica's answer; Attempt is the id that it carries back.
type Replied struct {
	Go, Attempt string
	Status      int
}

// Read is a line of the replica's answer.
type Read struct {
	Go   string
	Line Line
}

// Lost says that the connection to the replica ended.
type Lost struct{ Go string }

// ClientHungUp says that the client is gone.
type ClientHungUp struct{}

func (Dialed) wire()            {}
func (WitnessesAnswered) wire() {}
func (Replied) wire()           {}
func (Read) wire()              {}
func (Lost) wire()              {}
func (ClientHungUp) wire()      {}
