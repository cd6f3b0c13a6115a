package mallowbridge

import "github.com/mallowbridge/mallowbridge/router"

// Router owns a router in one goroutine: Submit hands in an arrival and gives the channel of its decisions, Notify hands in what happened.
type Router = router.Loop

// Event is what happened: one of the events below, or one that a daemon sends its followers.
type Event = router.Event

// The events that a program gives its router, in the order of a request. An attempt is named by its AttemptID.
type (
	// Arrival is a new request.
	Arrival = router.Arrival
	// ReadyToSend says that the connection to the replica is open; the answer is Send or CancelBeforeSend.
	ReadyToSend = router.ReadyToSend
	// ResponseHead says that the head of the replica's answer came.
	ResponseHead = router.ResponseHead
	// ResponseStarted says that the first part of the answer was passed on.
	ResponseStarted = router.ResponseStarted
	// AttemptEnded says how an attempt ended.
	AttemptEnded = router.AttemptEnded
	// ClientDisconnected says that the client is gone.
	ClientDisconnected = router.ClientDisconnected
)

// AttemptResult is how an attempt ended.
type AttemptResult = router.AttemptResult

// The results of attempts.
const (
	Completed = router.Completed
	Refused   = router.Refused
	Failed    = router.Failed
	NotSent   = router.NotSent
)

// Decision is what the router decided for one request.
type Decision = router.Decision

// Verdict says what a Decision wants done.
type Verdict = router.Verdict

// The verdicts. Reject, Unknown, Partial and Done are final.
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
