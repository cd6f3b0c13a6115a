package scheduler

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// State is the state of a request.
type State uint8

// The states of a request.
const (
	// Queued: the request waits in the queue.
	Queued State = iota + 1
	// Placed: a replica was chosen, but nothing has been sent.
	Placed
	// Sent: the request may be sent, or its witnesses are being asked.
	Sent
	// Streaming: part of the response has reached the client.
	Streaming
)

// Request is a row of the request table. The caller of Arrive fills in Service, Class, PrefixBlocks, TailTokens and
// ClientTimeout.
type Request struct {
	// Service and Class are indices into Scheduler.Services and Service.Classes.
	Service, Class int
	// PrefixBlocks is the prompt's prefix. TailTokens is the number of tokens after it.
	PrefixBlocks []prefixindex.Block
	TailTokens   int
	ArrivedAt    time.Duration
	// FirstTokenDue is the target time of the first token. Deadline is when the request is abandoned.
	FirstTokenDue, Deadline time.Duration
	// ClientTimeout is how long the client waits, counted from the arrival; 0 if unknown. SilenceTimeout is copied from
	// the class; the silence began at SilentSince.
	ClientTimeout, SilenceTimeout, SilentSince time.Duration
	// QueuedAt is when the request last entered the queue. Waited: it has stayed there, not placed at once.
	QueuedAt time.Duration
	Waited   bool

	// Idempotent, Resumable and MaxAttempts are copied from the class at the arrival, so that later configurations do
	// not change them.
	Idempotent, Resumable bool
	MaxAttempts           int

	State State
	// Attempt is the number of the current attempt, at Replica. PrefillReplica prefills the prompt where roles are
	// split, otherwise it is -1.
	Attempt        uint64
	Replica        int
	PrefillReplica int
	// Placements counts placements, Sends the attempts that were allowed to send.
	Placements, Sends int
	// Retry: the current attempt follows one that failed. Resume: it continues a response that the client has in part.
	Retry, Resume bool
	// WeightsRevision is the listed revision of the weights that produced the response so far, empty if unknown.
	WeightsRevision string
	// BackoffOverridden: the replica was chosen although its backoff was in effect.
	BackoffOverridden bool
	// OverrodeBackoff: an attempt of the request has overridden a backoff.
	OverrodeBackoff bool
	// MayHaveRun: an earlier attempt may have run, so the request must not end as rejected.
	MayHaveRun bool
	// WitnessesAgreed: a quorum of witnesses agreed to the sending. WitnessesPolled: they were asked while the request
	// was queued.
	WitnessesAgreed, WitnessesPolled bool
	// FirstCounted: the request was counted as a first attempt, which added to the retry budget. TimeoutCounted: the
	// replica's silence after the last send was recorded as a failure, in full or by half.
	FirstCounted, TimeoutCounted bool
	PlacedAt, SentAt             time.Duration
	// Answered: the replica has started to respond to the current attempt.
	Answered bool
	// ConfirmedTokens, PredictedTokens and Estimate are the values on which the placement was based.
	ConfirmedTokens, PredictedTokens int
	Estimate                         time.Duration
	// PrefillQueueEmpty: the replica's prefill queue was empty when the request was placed, to this router's knowledge.
	PrefillQueueEmpty bool

	live bool
	// urgency is the class's value times its urgency at the arrival.
	urgency float64
	// leastWork is the result of Scheduler.leastWork, 0 if it has not been computed.
	leastWork time.Duration
}

// clientLeavesAt returns when the client stops waiting for the next part of the response: at the deadline, or earlier if
// it ends streams that stay silent (PROTOCOL, Requests).
func (req *Request) clientLeavesAt() time.Duration {
	if req.SilenceTimeout == 0 {
		return req.Deadline
	}
	return min(req.Deadline, req.SilentSince+req.SilenceTimeout)
}

// firstTokenTarget returns the first-token target that the class had when the request arrived.
func (req *Request) firstTokenTarget() time.Duration { return req.FirstTokenDue - req.ArrivedAt }

// needsNoWitnesses reports whether an attempt may be sent without asking witnesses: the request is idempotent, it is
// routed, or the witnesses have agreed.
func (req *Request) needsNoWitnesses(s *Scheduler) bool {
	class := &s.Services[req.Service].Classes[req.Class]
	return req.WitnessesAgreed || req.Idempotent || class.routed()
}

// unsent reports whether a live request has not been sent.
func (req *Request) unsent(s *Scheduler) bool {
	if !req.live || req.State == Streaming || req.Answered {
		return false
	}
	return req.State != Sent || !req.needsNoWitnesses(s)
}

// compatibleWith reports whether the replica may run the request. A response must be resumed with the weights that
// produced its start.
func (req *Request) compatibleWith(r *Replica) bool {
	return !req.Resume || req.WeightsRevision == "" || r.WeightsRevision == "" || req.WeightsRevision == r.WeightsRevision
}

// RequestTable holds the live requests. The ids of finished requests are reused.
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
