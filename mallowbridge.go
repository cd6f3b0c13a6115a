package mallowbridge

import "github.com/mallowbridge/mallowbridge/router"

// Router runs a router in its own goroutine. Submit passes it a new request and returns the channel of the request's decisions. Notify passes
// it any other event.
type Router = router.Loop

// Event is an input of the router: one of the events below, or one that a daemon sends to its followers.
type Event = router.Event

// The events that a program passes to its router, in the order in which they occur during a request. They identify an attempt by its
// AttemptID.
type (
	// Arrival is a new request.
	Arrival = router.Arrival
	// ReadyToSend reports that the connection to the replica is open. The router decides Send or CancelBeforeSend.
	ReadyToSend = router.ReadyToSend
	// ResponseHead reports that the head of the replica's response was received.
	ResponseHead = router.ResponseHead
	// ResponseStarted reports that the first part of the response was passed to the client.
	ResponseStarted = router.ResponseStarted
	// AttemptEnded reports that an attempt ended, with its result.
	AttemptEnded = router.AttemptEnded
	// ClientDisconnected reports that the client disconnected.
	ClientDisconnected = router.ClientDisconnected
)

// AttemptResult is the result of an attempt.
type AttemptResult = router.AttemptResult

// The results of attempts. NotSent means that the request did not reach the replica.
const (
	Completed = router.Completed
	Refused   = router.Refused
	Failed    = router.Failed
	NotSent   = router.NotSent
)

// Decision is a decision of the router about a request.
type Decision = router.Decision

// Verdict is the action that a Decision asks for.
type Verdict = router.Verdict

// The verdicts. Reject, Unknown, Partial and Done end the request.
const (
	Place            = router.Place
	Send             = router.Send
	CancelBeforeSend = router.CancelBeforeSend
	Cancel           = router.Cancel
	Reject           = router.Reject
	Unknown          = router.Unknown
	Partial          = router.Partial
	Done             = router.Done
)
