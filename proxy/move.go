package proxy

import (
	"time"

	"github.com/mallowbridge/mallowbridge"
)

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
	Tell
	// Drain reads the rest of an answer that is not passed on.
	Drain
	// Pass passes the answer on, without its head where the place resumes.
	Pass
	// Finish ends the exchange with the outcome.
	Finish
)

type Outcome uint8

const (
	Done Outcome = iota + 1
	Denied
	NotFound
	Unknown
	Expired
	Aborted
	Gone
)

type Move struct {
	Kind    MoveKind
	Event   mallowbridge.Event
	Outcome Outcome
	Why     string
	After   time.Duration
}

// Signal is what a connection did.
type Signal interface{ signal() }

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

type Ended struct{}

type Lost struct{}

// Unwritten tells that no byte of the request that was to be written left this node.
type Unwritten struct{}

// Overdue tells that the time of the request is over, and whether that was so before any byte of it was written.
type Overdue struct{ Unwritten bool }

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
