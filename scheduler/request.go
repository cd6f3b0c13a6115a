package scheduler

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// State says how far a request is.
type State uint8

// The states of a request.
const (
	// Queued: it is in the queue.
	Queued State = iota + 1
	// Placed: a replica was chosen, nothing was sent.
	Placed
	// Sent: its bytes may leave, or its witnesses are asked.
	Sent
	// Streaming: a part of the answer was passed on.
	Streaming
)

// Request is a row of the table of requests. The caller of Arrive fills in Service, Class, Parts, Tail and ClientTimeout.
type Request struct {
	Service, Class int
	// PrefixBlocks are the prompt's prefix, Tail how many tokens follow it.
	PrefixBlocks []prefixindex.Block
	TailTokens   int
	ArrivedAt    time.Duration
	// FirstTokenDue is the aim for the first token, Deadline when the request is given up.
	FirstTokenDue, Deadline time.Duration
	// ClientTimeout is how long the client waits from its arrival on; 0 where it doesn't say.
	ClientTimeout time.Duration

	// Idempotent, Resumable and MaxAttempts are its class's at its arrival; a later configuration doesn't change them.
	Idempotent, Resumable bool
	MaxAttempts           int

	State State
	// Attempt numbers the current attempt at Replica; PrefillReplica reads the prompt where roles are split, else -1.
	Attempt        uint64
	Replica        int
	PrefillReplica int
	// Placements counts attempts, Sends those that were permitted to leave.
	Placements, Sends int
	// Retry: the current attempt follows one that failed. Resume: it goes on with an answer that was begun.
	Retry, Resume bool
	// WeightsRevision is the revision of the weights that the begun answer is made with, as listed; empty where it is not known.
	WeightsRevision string
	// BackoffOverridden: the replica was chosen although it is backed off from.
	BackoffOverridden bool
	// MayHaveRun: an earlier attempt may have run, so the request must not be called rejected.
	MayHaveRun bool
	// WitnessesAgreed: a quorum of witnesses let the request be sent. WitnessesPolled: they were asked early.
	WitnessesAgreed, WitnessesPolled bool
	// FirstCounted: it has earned its share of the retry budget. TimeoutCounted: its replica's silence was held against it.
	FirstCounted, TimeoutCounted bool
	PlacedAt, SentAt             time.Duration
	// Answered: the replica answered the current attempt.
	Answered bool
	// ConfirmedTokens, PredictedTokens and Estimate are what the placement counted on.
	ConfirmedTokens, PredictedTokens int
	Estimate                         time.Duration
	// PrefillQueueEmpty: nothing unread was known at the replica when the request was placed.
	PrefillQueueEmpty bool

	live     bool
	priority float64
}

// firstTokenBound is the aim for the first token that its class had at its arrival.
func (req *Request) firstTokenBound() time.Duration { return req.FirstTokenDue - req.ArrivedAt }

// needsNoWitnesses tells whether an attempt may be sent without asking witnesses: the request may be repeated, is routed, or they agreed.
func (req *Request) needsNoWitnesses(s *Scheduler) bool {
	class := &s.Services[req.Service].Classes[req.Class]
	return req.WitnessesAgreed || req.Idempotent || class.routed()
}

// unsent tells whether a live request has not left this node.
func (req *Request) unsent(s *Scheduler) bool {
	if !req.live || req.State == Streaming || req.Answered {
		return false
	}
	return req.State != Sent || !req.needsNoWitnesses(s)
}

// suits tells whether the replica may run the request: an answer that was begun goes on with the same weights only.
func (req *Request) suits(r *Replica) bool {
	return !req.Resume || req.WeightsRevision == "" || r.WeightsRevision == "" || req.WeightsRevision == r.WeightsRevision
}

// RequestTable holds the live requests; ids of finished ones are used again.
type RequestTable struct {
	rows  []Request
	free  []int
	count int
}

func (t *RequestTable) add(req Request) int {
	req.live = true
	t.count++
	var id int
	if n := len(t.free); n > 0 {
		id = t.free[n-1]
		t.free = t.free[:n-1]
		t.rows[id] = req
		return id
	}
	t.rows = append(t.rows, req)
	return len(t.rows) - 1
}

func (t *RequestTable) drop(id int) {
	t.rows[id] = Request{}
	t.free = append(t.free, id)
	t.count--
}

func (t *RequestTable) get(id int) *Request {
	if id < 0 || id >= len(t.rows) || !t.rows[id].live {
		return nil
	}
	return &t.rows[id]
}
