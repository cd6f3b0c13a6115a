package scheduler

import "time"

// ActionKind says what a router has to do for a request.
type ActionKind uint8

// The kinds of actions. Reject, Unknown, Partial and Done are final: the scheduler has forgotten the request.
const (
	// Place opens an attempt at a replica; nothing may be sent before Send.
	Place ActionKind = iota + 1
	// Send permits the request's bytes to leave.
	Send
	// CancelBeforeSend closes an attempt of which nothing was sent.
	CancelBeforeSend
	// Reject ends a request that was not run.
	Reject
	// Cancel closes an attempt that may be running.
	Cancel
	// Unknown ends a request that may or may not have run.
	Unknown
	// Partial ends a request whose answer broke off.
	Partial
	// Done ends a request that was answered whole.
	Done
	// PollWitnesses asks the witnesses of a waiting request early, so that their answer is there when it is placed.
	PollWitnesses
)

// Action is one decision of the scheduler on one request.
type Action struct {
	Kind ActionKind
	// Request is the id that Arrive gave, Attempt the number of the attempt, 0 where there is none.
	Request int
	Attempt uint64
	// Replica and PrefillReplica are indices into Replicas, -1 where there is none.
	Replica        int
	PrefillReplica int
	// Reason is for people; RetryAfter is when a rejected client should come back.
	Reason     string
	RetryAfter time.Duration
	// RejectedLate marks a rejection after a placement, or after a quarter of the bound on the first token.
	RejectedLate bool
	// ConfirmedTokens and PredictedTokens are how much of the prompt the replica is held to have cached.
	ConfirmedTokens int
	PredictedTokens int
	// NeedsWitnesses asks for a quorum of witnesses before the request is sent.
	NeedsWitnesses bool
	// Duplicate marks a rejection of a request that was run before.
	Duplicate bool
	// SpareTime is what is left to the bound on the first token beyond the estimate.
	SpareTime time.Duration
	// Deadline is when the request is given up.
	Deadline time.Duration
	// Resumes marks an attempt that goes on after the last event passed on.
	Resumes bool
	// Priority is that of the prompt among others at the replica, -1 where replicas do not batch.
	Priority int
	// UncachedTokens is how many tokens it has to read, where other routers should know.
	UncachedTokens int
}

// Counters count since the start; the HTTP interface publishes them as "bid.*".
type Counters struct {
	Arrived, Placed, FirstAttempts, Retries, RetriesRefused              uint64
	RejectedEarly, RejectedLate, Unknowns, Partials, Dones               uint64
	ConfirmedTokens, PredictedTokens, PrefixTokens                       uint64
	SendsWithdrawn, ResponseTimeouts, NotSent, Refused, FirstTokenInTime uint64
	// Ticks counts calls of Tick, RowsVisited the rows of tables that they looked at.
	Ticks, RowsVisited uint64
	Ejected            uint64
}
