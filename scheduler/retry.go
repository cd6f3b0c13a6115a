package scheduler

import "time"

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

// retryDirect retries or ends a request without a route whose attempt failed.
func (s *Scheduler) retryDirect(now time.Duration, id int, req *Request, state State, result AttemptResult) {
	svc := &s.Services[req.Service]
	if state == Streaming {
		s.endPartial(id, req.Attempt, req.Replica)
		return
	}
	req.MayHaveRun = req.MayHaveRun || (state == Sent && result == Failed)
	if state == Placed || (req.Idempotent && svc.retryBudget.available() && now < req.Deadline) {
		req.Retry = req.Retry || state != Placed
		s.requeue(now, id, req)
		return
	}
	if req.Idempotent && result == Refused {
		s.Counters.RetriesRefused++
		s.reject(now, id, "replica is full", s.timeUntilRoom(now, req))
		return
	}
	s.endUnknown(now, id, req, "replica failed")
}
