package proxy

import (
	"time"

	"github.com/mallowbridge/mallowbridge"
)

// MoveKind names a step that an exchange asks for.
type MoveKind uint8

const (
	// Connect gets a connection to the place.
	Connect MoveKind = iota + 1
	// Write sends the request and reads the answer.
	Write
	// Park gives an unused connection back.
	Park
	// Drop closes the connection.
	Drop
	// Tell hands the market an event.
	Tell
	// Drain reads the rest of an answer that is not passed on.
	Drain
	// Pass passes the answer on, without its head where the place resumes.
	Pass
	// Finish ends the exchange with the outcome.
	Finish
)

// Outcome is how an exchange ended for its client.
type Outcome uint8

const (
	// Done is a whole answer of a replica.
	Done Outcome = iota + 1
	// Denied is a 503: the request has not run and will not run.
	Denied
	// NotFound is a 404: no route matches.
	NotFound
	// Unknown is a 502: the request may have run.
	Unknown
	// Expired is a 504: the time is over and the request may have run.
	Expired
	// Aborted is an answer that was cut after its first bytes.
	Aborted
	// Gone is a client that closed its connection.
	Gone
)

// Move is one step for the transfer: Event belongs to Tell; Outcome, Why and After (when the client may come back) to Finish.
type Move struct {
	Kind    MoveKind
	Event   mallowbridge.Event
	Outcome Outcome
	Why     string
	After   time.Duration
}

// Signal is what a connection did.
type Signal interface{ signal() }

// Connected tells that a connection to the place is there, with nothing written on it yet.
type Connected struct{}

// Unconnected tells that there is no connection, and whether that is the replica's fault.
type Unconnected struct{ Capped bool }

// Replied is the head of an answer.
type Replied struct {
	Status int
	// Foreign answers belong to another request, Open ones end only with their connection, Bare ones lack the seal.
	Foreign, NotRun, Open, Bare bool
	Stream                      bool
	Instance                    string
	Load                        *mallowbridge.Load
}

// Begun tells that the head is passed on before the answer is whole.
type Begun struct{}

// Ended tells that the answer was read to its end.
type Ended struct{}

// Lost tells that the connection failed after bytes of the request may have left.
type Lost struct{}

// Unwritten tells that no byte of the request that was to be written left this node.
type Unwritten struct{}

// Overdue tells that the time of the request is over, and whether that was so before any byte of it was written.
type Overdue struct{ Unwritten bool }

// HungUp tells that the client closed its connection or takes no more bytes.
type HungUp struct{}

func (Connected) signal()   {}
func (Unconnected) signal() {}
func (Replied) signal()     {}
func (Begun) signal()       {}
func (Ended) signal()       {}
func (Lost) signal()        {}
func (Unwritten) signal()   {}
func (Overdue) signal()     {}
func (HungUp) signal()      {}
