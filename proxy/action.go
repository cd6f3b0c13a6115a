package proxy

import (
	"time"

	"github.com/mallowbridge/mallowbridge/router"
)

// ActionKind is a step that an exchange asks the transfer to carry out.
type ActionKind uint8

const (
	// Connect gets a connection to the replica.
	Connect ActionKind = iota + 1
	// WriteRequest sends the request and reads the head of the response.
	WriteRequest
	// ReleaseConnection returns an unused connection to the pool.
	ReleaseConnection
	// CloseConnection closes the connection to the replica.
	CloseConnection
	// NotifyRouter passes an event to the router.
	NotifyRouter
	// DiscardResponse reads the rest of a response that is not forwarded.
	DiscardResponse
	// ForwardResponse sends the response to the client, without its head if the attempt resumes a stream.
	ForwardResponse
	// Finish ends the exchange with an outcome.
	Finish
)

// Outcome is how an exchange ended for its client.
type Outcome uint8

const (
	// Completed means that the client received the complete response of a replica.
	Completed Outcome = iota + 1
	// Rejected is a 503: the request has not run and will not run.
	Rejected
	// NotFound is a 404: no route matches.
	NotFound
	// Unknown is a 502: the request may have run.
	Unknown
	// Expired is a 504: the deadline of the request has passed and it may have run.
	Expired
	// Aborted means that the response was cut off after its first bytes.
	Aborted
	// AbandonedByClient means that the client closed its connection.
	AbandonedByClient
	// OverQuota is a 429: the tenant has used up its quota, and the request has not run.
	OverQuota
	// Unauthorized is a 401: no tenant has the request's key.
	Unauthorized
)

// Action is one step for the transfer. Event is set for NotifyRouter; Outcome, Reason and RetryAfter are set for Finish. Reason is for the
// body of the error response, and RetryAfter is how long the client should wait before it sends the request again; 0 means no such header.
type Action struct {
	Kind       ActionKind
	Event      router.Event
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
}

// Signal is an event on a connection or a deadline, as input of an exchange.
type Signal interface{ signal() }

// Connected signals that a connection to the replica is ready, with no request written to it yet.
type Connected struct{}

// ConnectFailed signals that there is no connection to send the request on: dialing the replica failed, or this node already has the maximum
// number of connections to it.
type ConnectFailed struct{ AtConnectionLimit bool }

// ResponseHeadRead signals that the head of a response was read, and describes it.
type ResponseHeadRead struct {
	Status int
	// Mismatched is set if the response belongs to another request, NotExecuted if the replica states that it did not and will not run the
	// request, CloseDelimited if only the end of the connection ends the response, and Unsealed if it lacks the header Headers.Seal.
	Mismatched, NotExecuted, CloseDelimited, Unsealed bool
	// Stream is set if the response is a stream of events and the route permits streaming.
	Stream bool
	// VersionRequested is set if the request named the weights version to continue with, so that a 421 may reject the version and doesn't
	// mean that another instance responded.
	// VersionMismatch is set if the response was generated with other weights than the part already forwarded.
	VersionRequested, VersionMismatch bool
	// Instance is the replica instance that the response names, and Load its load; both may be missing.
	Instance string
	Load     *router.ReplicaLoad
}

// ResponseStarted signals that the head is forwarded before the response is complete.
type ResponseStarted struct{}

// ResponseEnded signals that the response was read completely.
type ResponseEnded struct{}

// ConnectionLost signals that the connection failed after bytes of the request may have been sent.
type ConnectionLost struct{}

// Unwritten signals that writing the request failed before any byte of it left this node.
type Unwritten struct{}

// DeadlinePassed signals that the deadline of the request has passed. Unwritten is set if no byte of the request had been written by then.
type DeadlinePassed struct{ Unwritten bool }

// ClientDisconnected signals that the client closed its connection or accepts no more bytes.
type ClientDisconnected struct{}

func (Connected) signal()          {}
func (ConnectFailed) signal()      {}
func (ResponseHeadRead) signal()   {}
func (ResponseStarted) signal()    {}
func (ResponseEnded) signal()      {}
func (ConnectionLost) signal()     {}
func (Unwritten) signal()          {}
func (DeadlinePassed) signal()     {}
func (ClientDisconnected) signal() {}
