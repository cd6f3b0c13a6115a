package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// refusedBackoff is how long no request is sent to a replica that refused one.
	refusedBackoff = 200 * time.Millisecond
	// failureBackoff is multiplied by the square of the number of consecutive failures, which is capped at
	// maxConsecutiveFailures.
	failureBackoff         = 150 * time.Millisecond
	maxConsecutiveFailures = 5
	// MinRetryAfter is the RetryAfter of requests that can be placed at once, by this router or another. A client that
	// comes back sooner meets the same decision.
	MinRetryAfter = queuePollInterval
)

// EndAttempt reports how an attempt ended. The resulting action is a final one or another placement.
func (s *Scheduler) EndAttempt(now time.Duration, id int, attempt uint64, result AttemptResult) {
	req := s.currentAttempt(id, attempt)
	if req == nil {
		return
	}
	if result == Completed {
		s.ResponseStarted(now, id, attempt)
	}
	s.finishAttempt(now, id, req, result)
}

// RejectDuplicate rejects a request that was already attempted elsewhere, unless this router has sent it.
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

// ClientDisconnected ends a request whose client disconnected. The only action is a Cancel of its attempt, if there is
// one.
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
	s.emit(Action{Kind: Cancel, Request: id, Attempt: req.Attempt, Replica: req.Replica, Reason: "client disconnected"})
	s.finishAttempt(now, id, req, ClientDisconnected)
}

func (s *Scheduler) dequeue(id int) {
	s.queued = slices.DeleteFunc(s.queued, func(other int) bool { return other == id })
}

func (s *Scheduler) finishAttempt(now time.Duration, id int, req *Request, result AttemptResult) {
	svc := &s.Services[req.Service]
	state := req.State
	s.release(now, req)
	switch result {
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
		s.reject(now, id, "its witnesses did not answer", MinRetryAfter)
		return
	}
	s.recordFailedAttempt(now, req, state, result)
	if svc.Classes[req.Class].routed() {
		s.retryRouted(now, id, req, state, result)
		return
	}
	s.retryDirect(now, id, req, state, result)
}

// recordFailedAttempt counts a failed attempt against its replica.
func (s *Scheduler) recordFailedAttempt(now time.Duration, req *Request, state State, result AttemptResult) {
	r := &s.Replicas[req.Replica]
	switch result {
	case Refused:
		s.Counters.Refused++
		r.BackoffUntil = max(r.BackoffUntil, now+refusedBackoff)
		if state != Placed && !r.overHalfFull() {
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

// reject ends a request that is abandoned. The final action is Reject if the request certainly did not run, otherwise
// Partial or Unknown.
func (s *Scheduler) reject(now time.Duration, id int, reason string, wait time.Duration) {
	req := s.Requests.get(id)
	if req.Resume {
		s.endPartial(id, req.Attempt, req.Replica)
		return
	}
	if req.MayHaveRun {
		s.endUnknown(now, id, req, reason)
		return
	}
	class := &s.Services[req.Service].Classes[req.Class]
	// This only counts: a client that was let wait has lost that time, one that is rejected at its arrival has not.
	late := req.Waited || req.Placements > 0
	if late {
		s.Counters.RejectedLate++
	} else {
		s.Counters.RejectedEarly++
	}
	s.emit(Action{Kind: Reject, Request: id, Reason: reason, RetryAfter: class.retryAfter(wait), RejectedLate: late, Replica: -1})
	s.Requests.drop(id)
}

// retryAfter raises a wait to its minimum. Without a route it rounds up to whole seconds, because the response carries
// it in a header.
func (c *RequestClass) retryAfter(wait time.Duration) time.Duration {
	if c.routed() {
		return max(wait, MinRetryAfter)
	}
	return max((wait + time.Second - 1).Truncate(time.Second), time.Second)
}

func (s *Scheduler) endPartial(id int, attempt uint64, replica int) {
	s.Counters.Partials++
	s.emit(Action{Kind: Partial, Request: id, Attempt: attempt, Replica: replica})
	s.Requests.drop(id)
}

func (s *Scheduler) endUnknown(now time.Duration, id int, req *Request, reason string) {
	s.Counters.Unknowns++
	retryAfter := time.Duration(0)
	if req.Idempotent {
		retryAfter = max(s.timeUntilRoom(now, req), MinRetryAfter)
	}
	s.emit(Action{Kind: Unknown, Request: id, Attempt: req.Attempt, Replica: req.Replica, Reason: reason, RetryAfter: retryAfter})
	s.Requests.drop(id)
}

// backOff keeps requests away from a replica that failed, longer with each consecutive failure.
func (*Scheduler) backOff(now time.Duration, r *Replica) {
	r.consecutiveFailures = min(r.consecutiveFailures+1, maxConsecutiveFailures)
	r.RestartSuspectedAt = now
	r.BackoffUntil = max(r.BackoffUntil, now+time.Duration(r.consecutiveFailures*r.consecutiveFailures)*failureBackoff)
}

// checkTimeouts abandons attempts that have timed out and computes the next deadline.
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
		if req.Answered || now-req.SentAt < max(s.cfg.ResponseTimeout, 2*req.firstTokenTarget()) {
			continue
		}
		s.Counters.ResponseTimeouts++
		s.emit(Action{Kind: Cancel, Request: id, Attempt: req.Attempt, Replica: req.Replica, Reason: "replica did not respond in time"})
		s.finishAttempt(now, id, req, Failed)
	}
}

// ReplicaOf returns the replica at which a request is placed, or -1.
func (s *Scheduler) ReplicaOf(id int) int {
	req := s.Requests.get(id)
	if req == nil {
		return -1
	}
	return req.Replica
}
