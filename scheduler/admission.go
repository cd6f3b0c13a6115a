package scheduler

import (
	"math"
	"time"
)

// RefreshInterval is how often the platform's list of replicas is read. While no replica is known, or the control plane
// does not allow requests to be served, a request waits for one more reading.
const RefreshInterval = time.Second

// admit places a queued request, keeps it queued or rejects it, by the rule in docs/design.md: it waits as long as it can
// still be answered before its client leaves. First attempts and retries are treated alike.
func (s *Scheduler) admit(now time.Duration, id int, req *Request, queue *serviceQueue, kept int) bool {
	if now >= req.Deadline {
		s.reject(now, id, "deadline exceeded", 0)
		return false
	}
	if req.Resume && !s.anyCompatible(req) {
		s.reject(now, id, "no replica has the model weights that produced the start of the response", 0)
		return false
	}
	if s.placeNow(now, id, req, queue) {
		return false
	}
	if s.queueingStopped {
		s.reject(now, id, "node is shutting down", MinRetryAfter)
		return false
	}
	start := s.expectedStart(now, req, *queue)
	inTime := start.at+s.leastWork(now, req) <= req.clientLeavesAt()
	if start.anyEligible && inTime && kept < s.cfg.QueueLimit {
		return true
	}
	if s.placeDuringBackoff(now, id, req) {
		return false
	}
	if !start.anyEligible {
		return s.awaitRefresh(now, id, req, kept, "no replica is known", RefreshInterval)
	}
	reason := "no replica can answer before the client leaves"
	if inTime {
		reason = "queue is full"
	}
	s.reject(now, id, reason, start.at-now)
	return false
}

// placeNow places a request at a replica with a free slot, otherwise in the queue of a replica. It returns false if none
// takes the request in time for its client. It skips the search if another request of the service has found no room.
func (s *Scheduler) placeNow(now time.Duration, id int, req *Request, queue *serviceQueue) bool {
	if queue.full && !req.Resume {
		return false
	}
	c := s.chooseReplica(now, req)
	if c.replica < 0 {
		c = s.chooseOverflow(now, req, false)
	}
	if c.replica < 0 {
		queue.full = queue.full || !req.Resume
		return false
	}
	if now+c.estimate > req.clientLeavesAt() {
		return false
	}
	s.place(now, id, req, c)
	return true
}

// placeDuringBackoff places a request that cannot wait for the end of the replicas' backoffs. It does so once a request,
// because attempts that fail before they are sent are bounded by neither MaxAttempts nor the retry budget.
func (s *Scheduler) placeDuringBackoff(now time.Duration, id int, req *Request) bool {
	if req.OverrodeBackoff {
		return false
	}
	c := s.chooseOverflow(now, req, true)
	if c.replica < 0 || now+c.estimate > req.clientLeavesAt() {
		return false
	}
	s.place(now, id, req, c)
	return true
}

// awaitRefresh keeps a request, whose start cannot be predicted, queued for one RefreshInterval and then rejects it.
func (s *Scheduler) awaitRefresh(now time.Duration, id int, req *Request, kept int, reason string, retryAfter time.Duration) bool {
	mayWait := !s.queueingStopped && now < req.QueuedAt+RefreshInterval && kept < s.cfg.QueueLimit
	if mayWait && now+s.leastWork(now, req) <= req.clientLeavesAt() {
		return true
	}
	s.reject(now, id, reason, retryAfter)
	return false
}

// leastWork returns the time to the request's first token at the replica that has most of its prompt cached, once nothing
// else delays it there. It is computed once each time the request is queued.
func (s *Scheduler) leastWork(now time.Duration, req *Request) time.Duration {
	if req.leastWork > 0 {
		return req.leastWork
	}
	svc := &s.Services[req.Service]
	least := time.Duration(math.MaxInt64)
	for _, id := range svc.Replicas {
		if r := &s.Replicas[id]; r.eligible() && req.compatibleWith(r) {
			confirmed, predicted := s.Index.Lookup(now, id, req.PrefixBlocks)
			least = min(least, svc.BaseLatency+s.prefillTime(id, s.uncachedTokens(req, confirmed, predicted)))
		}
	}
	if least == math.MaxInt64 {
		return svc.BaseLatency
	}
	req.leastWork = least
	return least
}

// CanStillAnswer reports whether a placed request can be answered before its client leaves, if it is sent now.
func (s *Scheduler) CanStillAnswer(now time.Duration, id int) bool {
	req := s.Requests.get(id)
	return req != nil && now+req.Estimate <= req.clientLeavesAt()
}

// startTime is when a queued request is expected to be placed, and whether any replica is eligible.
type startTime struct {
	at          time.Duration
	anyEligible bool
}

// expectedStart returns when a request is expected to be placed, behind those that are queued here and at the replicas.
func (s *Scheduler) expectedStart(now time.Duration, req *Request, queue serviceQueue) startTime {
	svc := &s.Services[req.Service]
	first := startTime{at: math.MaxInt64}
	afterQueue := now + queue.waitOfNext(svc.holdTime)
	for _, id := range svc.Replicas {
		r := &s.Replicas[id]
		if !r.eligible() || !req.compatibleWith(r) {
			continue
		}
		first.anyEligible = true
		next := afterQueue + s.replicaQueueTime(now, id)
		switch {
		case s.warmupLimited(now, id):
			next = s.nextWarmupStart(now, id, queue.ahead)
		case s.freeSlots(now, id) > queue.ahead:
			next = now
		}
		first.at = min(first.at, max(next, r.BackoffUntil))
	}
	if !first.anyEligible {
		first.at = now
	}
	return first
}

// nextWarmupStart returns when a warming replica may be sent the request behind those ahead: at this router's share of the
// starts, or after the warm-up if it has none.
func (s *Scheduler) nextWarmupStart(now time.Duration, replica, ahead int) time.Duration {
	r := &s.Replicas[replica]
	if s.warmupShare(now, replica) == 0 {
		return r.WarmupUntil
	}
	return min(max(r.nextWarmupStart, now)+time.Duration(ahead)*s.warmupSpacing(now, replica), r.WarmupUntil)
}

// timeUntilRoom returns how long it takes until a new request like this one is expected to be placed. It is the RetryAfter of
// a request that is not placed again itself.
func (s *Scheduler) timeUntilRoom(now time.Duration, req *Request) time.Duration {
	queue := s.serviceQueues(now)[req.Service]
	for i := range s.Requests.rows {
		if other := &s.Requests.rows[i]; other.live && other.State == Queued && other.Service == req.Service && other != req {
			queue.ahead++
		}
	}
	start := s.expectedStart(now, req, queue)
	if !start.anyEligible {
		return RefreshInterval
	}
	return start.at - now
}

// replicaQueueTime returns the expected time until a replica has started the requests that it has queued itself.
func (s *Scheduler) replicaQueueTime(now time.Duration, replica int) time.Duration {
	r := &s.Replicas[replica]
	svc := &s.Services[r.Service]
	if !svc.Queues {
		return 0
	}
	excess := max(s.estimatedLoad(now, replica)-r.Capacity, 0)
	return time.Duration(float64(excess) * float64(svc.holdTime) / float64(max(r.Capacity, 1)))
}

// StopQueueing makes the scheduler reject requests that cannot be placed at once. A router that is shutting down keeps no
// queue, because the clients' next attempts reach other routers.
func (s *Scheduler) StopQueueing() { s.queueingStopped = true }
