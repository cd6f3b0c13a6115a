package scheduler

import (
	"math"
	"time"
)

// chooseOverflow returns a queueing replica that can take the request in its own queue; with duringBackoff set, also one
// whose backoff is in effect.
func (s *Scheduler) chooseOverflow(now time.Duration, req *Request, duringBackoff bool) choice {
	svc := &s.Services[req.Service]
	c := choice{replica: -1, estimate: time.Duration(math.MaxInt64)}
	if !svc.Queues {
		return c
	}
	for _, id := range svc.Replicas {
		r := &s.Replicas[id]
		backedOff := now < r.BackoffUntil
		if !r.eligible() || !req.compatibleWith(r) || s.warmupBlocked(now, id) || (backedOff && !duringBackoff) {
			continue
		}
		if s.estimatedLoad(now, id) >= r.Capacity+queueMargin(r.Capacity) {
			continue
		}
		confirmed, predicted := s.Index.Lookup(now, id, req.PrefixBlocks)
		estimate := s.estimate(now, req, id, confirmed, predicted)
		if estimate < c.estimate {
			c = choice{replica: id, confirmed: confirmed, predicted: predicted, estimate: estimate, backoffOverridden: backedOff}
		}
	}
	return c
}

// anyCompatible reports whether any eligible replica can continue the request's response.
func (s *Scheduler) anyCompatible(req *Request) bool {
	for _, id := range s.Services[req.Service].Replicas {
		if r := &s.Replicas[id]; r.eligible() && req.compatibleWith(r) {
			return true
		}
	}
	return false
}

// queueMargin returns how many requests beyond its capacity a queueing replica may be sent.
func queueMargin(capacity int) int { return max(2, capacity/4) }

// retryRouted retries or ends a routed request whose attempt failed.
func (s *Scheduler) retryRouted(now time.Duration, id int, req *Request, state State, result AttemptResult) {
	svc := &s.Services[req.Service]
	switch {
	case state == Placed:
		s.requeue(now, id, req)
		return
	case result == NotSent && state == Sent:
		req.Sends--
		if req.Retry {
			svc.retryBudget.refund()
		}
		s.requeue(now, id, req)
		return
	case state == Streaming:
		req.Resume, req.WeightsRevision = req.Resumable, s.Replicas[req.Replica].WeightsRevision
		req.SilentSince = now
	case result != Refused:
		req.MayHaveRun = true
	}
	if state == Streaming && !req.Resumable {
		s.endPartial(id, req.Attempt, req.Replica)
		return
	}
	mayRetry := req.Sends < req.MaxAttempts && now < req.Deadline
	if mayRetry && svc.retryBudget.available() && (result == Refused || req.Idempotent || req.Resume) {
		s.requeue(now, id, req)
		return
	}
	if mayRetry {
		s.countRefusedRetry(svc)
	}
	reason := "replica failed"
	if result == Refused {
		reason = "replica is full"
	}
	s.reject(now, id, reason, s.timeUntilRoom(now, req))
}

// checkDeadline abandons a routed request whose deadline has passed. Until then a silent replica may still answer.
func (s *Scheduler) checkDeadline(now time.Duration, id int, req *Request) {
	if now < req.Deadline {
		s.recordTimeout(now, req, 0.5)
		s.nextDeadline = min(s.nextDeadline, req.Deadline)
		return
	}
	s.recordTimeout(now, req, 1)
	s.emit(Action{Kind: Cancel, Request: id, Attempt: req.Attempt, Replica: req.Replica, Reason: "deadline exceeded"})
	s.release(now, req)
	req.Resume = req.Resume || req.State == Streaming
	req.MayHaveRun = req.MayHaveRun || req.State == Sent
	s.reject(now, id, "deadline exceeded", 0)
}
