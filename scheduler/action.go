package scheduler

import "time"

// ActionKind says what the router must do for a request.
type ActionKind uint8

// The kinds of actions. After Reject, Unknown, Partial or Done the scheduler has dropped the request from its tables.
const (
	// Place opens an attempt at a replica. The request's bytes must not be sent before the Send action.
	Place ActionKind = iota + 1
	// Send permits the request's bytes to leave.
	Send
	// CancelBeforeSend closes an attempt before any of the request was sent.
	CancelBeforeSend
	// Reject ends a request that no replica has run.
	Reject
	// Cancel closes an attempt that may be running.
	Cancel
	// Unknown ends a request that may or may not have run.
	Unknown
	// Partial ends a request whose response was cut off after part of it had reached the client.
	Partial
	// Done ends a request whose response is complete.
	Done
	// PollWitnesses asks the witnesses about a queued request early, so that their answers are there when it is placed.
	PollWitnesses
)

// Action is one decision of the scheduler about one request.
type Action struct {
	Kind ActionKind
	// Request is the id that Arrive returned. Attempt is the number of the attempt, 0 if the action concerns none.
	Request int
	Attempt uint64
	// Replica and PrefillReplica are indices into Scheduler.Replicas, or -1.
	Replica        int
	PrefillReplica int
	// Reason is a text for people. RetryAfter is how long a rejected client should wait before it retries.
	Reason     string
	RetryAfter time.Duration
	// RejectedLate marks a rejection after the request was placed once or had to wait, instead of at its arrival.
	RejectedLate bool
	// ConfirmedTokens and PredictedTokens are the prompt tokens that the replica is believed to have cached.
	ConfirmedTokens int
	PredictedTokens int
	// NeedsWitnesses says that a quorum of witnesses must agree before the request is sent.
	NeedsWitnesses bool
	// Duplicate marks a rejection because the request was already attempted, by this router or another.
	Duplicate bool
	// SpareTime is the time between the estimated first token and its target, at least 0.
	SpareTime time.Duration
	// Deadline is when the request is abandoned.
	Deadline time.Duration
	// Resumes marks an attempt that continues a stream after the last event that reached the client.
	Resumes bool
	// Priority is the prompt's priority in the replica's prefill queue: 0 is read first. It is -1 where replicas do not
	// batch.
	Priority int
	// UncachedTokens is the estimated number of prompt tokens that the replica must prefill. It is 0 unless the prompt
	// is long enough to be announced to other routers.
	UncachedTokens int
}

// Counters count events since the start. The HTTP interface publishes them under names that start with "bid.".
type Counters struct {
	// Arrived counts requests that entered the queue, Placed counts placements, and FirstAttempts and Retries count sends.
	// RetriesRefused counts retries that the retry budget did not permit.
	Arrived, Placed, FirstAttempts, Retries, RetriesRefused uint64
	// RejectedEarly and RejectedLate count Reject actions according to Action.RejectedLate. Unknowns, Partials and Dones
	// count the final actions of these kinds.
	RejectedEarly, RejectedLate, Unknowns, Partials, Dones uint64
	// PrefixTokens counts the prefix tokens of all placements, ConfirmedTokens and PredictedTokens those that the chosen
	// replica was believed to have cached.
	ConfirmedTokens, PredictedTokens, PrefixTokens uint64
	// SendsWithdrawn counts placements that were no longer permitted when they were about to be sent. ResponseTimeouts,
	// NotSent and Refused count attempts that ended that way. FirstTokenInTime counts responses that started by their
	// first-token target.
	SendsWithdrawn, ResponseTimeouts, NotSent, Refused, FirstTokenInTime uint64
	// Ticks counts the calls of Tick. RowsVisited counts the table rows that they examined.
	Ticks, RowsVisited uint64
	// Ejected counts ejections of replicas by this router, including those that extend an earlier ejection.
	Ejected uint64
}
