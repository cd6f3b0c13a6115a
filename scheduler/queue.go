package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// processQueue places, rejects or keeps each queued request, the most urgent first.
func (s *Scheduler) processQueue(now time.Duration) {
	if len(s.queued) == 0 {
		return
	}
	if reason := s.NotServingReason(now); reason != "" {
		s.holdOrReject(now, reason)
		return
	}
	s.sortQueue()
	queues := s.serviceQueues(now)
	kept := s.queued[:0]
	for _, id := range s.queued {
		req := s.Requests.get(id)
		if s.processQueued(now, id, req, &queues[req.Service], len(kept)) {
			kept = append(kept, id)
		}
	}
	s.queued = kept
}

// sortQueue puts more urgent requests first, and among equally urgent ones those whose first token is due sooner.
func (s *Scheduler) sortQueue() {
	slices.SortStableFunc(s.queued, func(i, j int) int {
		a, b := &s.Requests.rows[i], &s.Requests.rows[j]
		return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(a.FirstTokenDue, b.FirstTokenDue))
	})
}

// processQueued places or rejects a queued request, or reports that it stays queued. kept is the number of requests that
// stay queued ahead of it.
func (s *Scheduler) processQueued(now time.Duration, id int, req *Request, queue *serviceQueue, kept int) bool {
	class := &s.Services[req.Service].Classes[req.Class]
	if class.Removed {
		s.reject(now, id, "request class was removed from the configuration", MinRetryAfter)
		return false
	}
	if !s.admit(now, id, req, queue, kept) {
		return false
	}
	req.Waited = true
	s.pollWitnesses(id, req)
	queue.ahead++
	return true
}

// waitOfNext returns the expected time until the next request leaves the queue, if each occupies a slot for the time hold.
func (q serviceQueue) waitOfNext(hold time.Duration) time.Duration {
	return time.Duration(float64(q.ahead+1) * float64(hold) / float64(max(q.slots, 1)))
}

// pollWitnesses asks a waiting request's witnesses early, once.
func (s *Scheduler) pollWitnesses(id int, req *Request) {
	if req.WitnessesPolled || req.needsNoWitnesses(s) {
		return
	}
	req.WitnessesPolled = true
	s.emit(Action{Kind: PollWitnesses, Request: id, Replica: -1})
}

// holdOrReject handles the queue while nothing may be served. Requests wait until that has been checked again; clients that
// are rejected then find another router with their next attempt.
func (s *Scheduler) holdOrReject(now time.Duration, reason string) {
	kept := s.queued[:0]
	for _, id := range s.queued {
		req := s.Requests.get(id)
		if s.awaitRefresh(now, id, req, len(kept), reason, MinRetryAfter) {
			req.Waited = true
			kept = append(kept, id)
		}
	}
	s.queued = kept
}
