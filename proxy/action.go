package proxy

import (
	"time"

	"github.com/mallowbridge/mallowbridge/router"
)

// ActionKind names a step that an exchange asks for.
type ActionKind uint8

const (
	// Connect gets a connection to the place.
	Connect ActionKind = iota + 1
	// WriteRequest sends the request and reads the answer.
	WriteRequest
	// ReleaseConnection gives an unused connection back.
	ReleaseConnection
	// CloseConnection closes the connection.
	CloseConnection
	// NotifyRouter hands the router an event.
	NotifyRouter
	// DiscardResponse reads the rest of an answer that is not passed on.
	DiscardResponse
	// ForwardResponse passes the answer on, without its head where the place resumes.
	ForwardResponse
	// Finish ends the exchange with the outcome.
	Finish
)

// Outcome is how an exchange ended for its client.
type Outcome uint8

const (
	// Completed is a whole answer of a replica.
	Completed Outcome = iota + 1
	// Rejected is a 503: the request has not run and will not run.
	Rejected
	// NotFound is a 404: no route matches.
	NotFound
	// Unknown is a 502: the request may have run.
	Unknown
	// Expired is a 504: the time is over and the request may have run.
	Expired
	// Aborted is an answer that was cut after its first bytes.
	Aborted
	// AbandonedByClient is a client that closed its connection.
	AbandonedByClient
	// OverQuota is a 429: the tenant has used up its quota, and the request has not run.
	OverQuota
	// Unauthorized is a 401: no tenant has the request's key.
	Unauthorized
)

// Action is one step for the transfer: Event belongs to NotifyRouter; Outcome, Reason and RetryAfter (when the client may come back) to Finish.
type Action struct {
	Kind       ActionKind
	Event      router.Event
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
}

// Signal is what a connection did.
type Signal interface{ signal() }

// Connected tells that a connection to the place is there, with nothing written on it yet.
type Connected struct{}

// ConnectFailed tells that there is no connection, and whether that is the replica's fault.
type ConnectFailed struct{ AtConnectionLimit bool }

// ResponseHeadRead is the head of an answer.
type ResponseHeadRead struct {
	Status int
	// Mismatched answers belong to another request, CloseDelimited ones end only with their connection, Unsealed ones lack the seal.
	Mismatched, NotExecuted, CloseDelimited, Unsealed bool
	Stream                                            bool
	// VersionRequested: the request named the weights to go on with, so a 421 says nothing about the instance. VersionMismatch: the answer is made
	// with others than what was passed on.
	VersionRequested, VersionMismatch bool
	Instance                          string
	Load                              *router.ReplicaLoad
}

// ResponseStarted tells that the head is passed on before the answer is whole.
type ResponseStarted struct{}

// ResponseEnded tells that the answer was read to its end.
type ResponseEnded struct{}

// ConnectionLost tells that the connection failed after bytes of the request may have left.
type ConnectionLost struct{}

// Unwritten tells that no byte of the request that was to be written left this node.
type Unwritten struct{}

// DeadlinePassed tells that the time of the request is over, and whether that was so before any byte of it was written.
type DeadlinePassed struct{ Unwritten bool }

// ClientDisconnected tells that the client closed its connection or takes no more bytes.
type ClientDisconnected struct{}

func (Connected) signal()          {}
func (ConnectFailed) signal()      {}
func (ResponseHeadRead) signal()     {}
func (ResponseStarted) signal()      {}
func (ResponseEnded) signal()        {}
func (ConnectionLost) signal()     {}
func (Unwritten) signal()          {}
func (DeadlinePassed) signal()     {}
func (ClientDisconnected) signal() {}
