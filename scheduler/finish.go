package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// refusedBackoff is how long a replica that refused a request is left alone.
	refusedBackoff = 200 * time.Millisecond
	// failureBackoff times the square of a replica's failures in a row, of which maxFailuresInRow count.
	failureBackoff   = 150 * time.Millisecond
	maxFailuresInRow = 5
	// minRetryAfter is the least that a rejected routed request is told to wait.
	minRetryAfter = 50 * time.Millisecond
)

// EndAttempt says how an attempt ended; the answer is a final action, or another placement.
func (s *Scheduler) EndAttempt(now time.Duration, id int, attempt uint64, end AttemptResult) {
	req := s.currentAttempt(id, attempt)
	if req == nil {
		return
	}
	if end == Completed {
		s.ResponseStarted(now, id, attempt)
	}
	s.finishAttempt(now, id, req, end)
}

// RejectDuplicate ends a request that another router was asked for before, unless it was sent from here.
func (s *Scheduler) RejectDuplicate(now time.Duration, id int) {
	req := s.Requests.get(id)
	if req == nil || req.State > Placed {
		return
	}
	if req.State == Placed {
		s.emit(Action{Kind: CancelBeforeSend, Request: id, Attempt: req.Attempt, Replica: req.Replica})
		s.release(now, req)
	}
	s.dequeue(id)
	s.emit(Action{Kind: Reject, Request: id, Replica: -1, Reason: AlreadyRan, Duplicate: true})
	s.Requests.drop(id)
}

// ClientDisconnected ends a request whose client disconnected, with no other action than Cancel of what runs.
func (s *Scheduler) ClientDisconnected(now time.Duration, id int) {
	req := s.Requests.get(id)
	if req == nil {
		return
	}
	if req.State == Queued {
		s.dequeue(id)
		s.Requests.drop(id)
		return
	}
	s.recordTimeout(now, req, 1)
	s.emit(Action{Kind: Cancel, Request: id, Attempt: req.Attempt, Replica: req.Replica, Reason: "client hung up"})
	s.finishAttempt(now, id, req, ClientDisconnected)
}

func (s *Scheduler) dequeue(id int) {
	s.queued = slices.DeleteFunc(s.queued, func(other int) bool { return other == id })
}

func (s *Scheduler) finishAttempt(now time.Duration, id int, req *Request, end AttemptResult) {
	svc := &s.Services[req.Service]
	was := req.State
	s.release(now, req)
	switch end {
	case Completed:
		s.Counters.Dones++
		svc.holdTime += (now - req.SentAt - svc.holdTime) / 16
		s.emit(Action{Kind: Done, Request: id, Attempt: req.Attempt, Replica: req.Replica})
		s.Requests.drop(id)
		return
	case ClientDisconnected:
		s.Requests.drop(id)
		return
	case Suppressed:
		s.emit(Action{Kind: Reject, Request: id, Attempt: req.Attempt, Replica: req.Replica, Reason: AlreadyRan, Duplicate: true})
		s.Requests.drop(id)
		return
	case NoWitnessQuorum:
		s.reject(now, id, "its witnesses did not answer", time.Second)
		return
	}
	s.recordFailedAttempt(now, req, was, end)
	if svc.Classes[req.Class].routed() {
		s.retryRouted(now, id, req, was, end)
		return
	}
	s.retryDirect(now, id, req, was, end)
}

// recordFailedAttempt holds a failed attempt against its replica.
func (s *Scheduler) recordFailedAttempt(now time.Duration, req *Request, was State, end AttemptResult) {
	r := &s.Replicas[req.Replica]
	switch end {
	case Refused:
		s.Counters.Refused++
		r.BackoffUntil = max(r.BackoffUntil, now+refusedBackoff)
		if was != Placed && !r.overloaded() {
			s.recordFailure(now, r, 1)
		}
	case NotSent:
		s.Counters.NotSent++
		s.backOff(now, r)
		s.recordFailure(now, r, 1)
	case Failed:
		s.backOff(now, r)
		s.recordFailure(now, r, 1)
	}
}

// retryDirect decides what becomes of a request of the product's own interface whose attempt failed.
func (s *Scheduler) retryDirect(now time.Duration, id int, req *Request, was State, end AttemptResult) {
	svc := &s.Services[req.Service]
	if was == Streaming {
		s.endPartial(id, req.Attempt, req.Replica)
		return
	}
	req.MayHaveRun = req.MayHaveRun || (was == Sent && end == Failed)
	if was == Placed || (req.Idempotent && svc.retryBudget.available() && now < req.Deadline) {
		req.Retry = true
		s.requeue(id, req)
		return
	}
	if req.Idempotent && end == Refused {
		s.Counters.RetriesRefused++
		s.reject(now, id, "replica is full", time.Second)
		return
	}
	s.endUnknown(id, req, "replica failed")
}

// reject ends a request that is given up: rejected where it surely did not run, else partial or unknown.
func (s *Scheduler) reject(now time.Duration, id int, why string, wait time.Duration) {
	req := s.Requests.get(id)
	if req.Resume {
		s.endPartial(id, req.Attempt, req.Replica)
		return
	}
	if req.MayHaveRun {
		s.endUnknown(id, req, why)
		return
	}
	class := &s.Services[req.Service].Classes[req.Class]
	afterDeadline := req.Placements > 0 || now-req.ArrivedAt > class.FirstTokenTarget/4
	if afterDeadline {
		s.Counters.RejectedLate++
	} else {
		s.Counters.RejectedEarly++
	}
	s.emit(Action{Kind: Reject, Request: id, Reason: why, RetryAfter: class.retryAfter(wait), RejectedLate: afterDeadline, Replica: -1})
	s.Requests.drop(id)
}

// retryAfter is in whole seconds where the answer carries it in a header.
func (c *RequestClass) retryAfter(wait time.Duration) time.Duration {
	if c.routed() {
		return max(wait, minRetryAfter)
	}
	return max((wait + time.Second - 1).Truncate(time.Second), time.Second)
}

func (s *Scheduler) endPartial(id int, attempt uint64, replica int) {
	s.Counters.Partials++
	s.emit(Action{Kind: Partial, Request: id, Attempt: attempt, Replica: replica})
	s.Requests.drop(id)
}

func (s *Scheduler) endUnknown(id int, req *Request, why string) {
	s.Counters.Unknowns++
	after := time.Duration(0)
	if req.Idempotent {
		after = 2 * time.Second
	}
	s.emit(Action{Kind: Unknown, Request: id, Attempt: req.Attempt, Replica: req.Replica, Reason: why, RetryAfter: after})
	s.Requests.drop(id)
}

// backOff leaves a replica alone that failed, longer each time in a row.
func (*Scheduler) backOff(now time.Duration, r *Replica) {
	r.consecutiveFailures = min(r.consecutiveFailures+1, maxFailuresInRow)
	r.RestartSuspectedAt = now
	r.BackoffUntil = max(r.BackoffUntil, now+time.Duration(r.consecutiveFailures*r.consecutiveFailures)*failureBackoff)
}

// checkTimeouts gives up attempts whose time is over and finds the next time at which one may be.
func (s *Scheduler) checkTimeouts(now time.Duration) {
	s.nextDeadline = math.MaxInt64
	for id := range s.Requests.rows {
		req := &s.Requests.rows[id]
		if !req.live || req.State == Queued {
			continue
		}
		class := &s.Services[req.Service].Classes[req.Class]
		if class.routed() {
			s.checkDeadline(now, id, req)
			continue
		}
		if req.Answered || now-req.SentAt < max(s.cfg.ResponseTimeout, 2*req.firstTokenBound()) {
			continue
		}
		s.Counters.ResponseTimeouts++
		s.emit(Action{Kind: Cancel, Request: id, Attempt: req.Attempt, Replica: req.Replica, Reason: "replica is silent"})
		s.finishAttempt(now, id, req, Failed)
	}
}

// ReplicaOf gives the replica at which a request is placed, or -1.
func (s *Scheduler) ReplicaOf(id int) int {
	req := s.Requests.get(id)
	if req == nil {
		return -1
	}
	return req.Replica
}
