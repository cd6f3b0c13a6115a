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
		s.reject(now, id, "request class was removed from the configuration", time.Second)
		return false
	}
	if !class.routed() {
		return s.admitDirect(now, id, req, queue, kept)
	}
	if !s.admitRouted(now, id, req, queue, kept) {
		return false
	}
	queue.ahead++
	return true
}

// admitDirect places, rejects or queues a request without a route. It is queued only if it is expected to start in time.
func (s *Scheduler) admitDirect(now time.Duration, id int, req *Request, queue *serviceQueue, kept int) bool {
	svc := &s.Services[req.Service]
	c, anyAvailable := s.chooseReplica(now, req)
	if c.replica >= 0 && now+c.estimate <= req.FirstTokenDue {
		s.place(now, id, req, c)
		return false
	}
	justArrived := req.ArrivedAt == now
	if c.replica >= 0 && req.Placements == 0 && justArrived {
		s.reject(now, id, "no replica can start the request in time", time.Second)
		return false
	}
	queue.ahead++
	wait := time.Duration(0)
	if anyAvailable {
		wait = queue.wait(svc.holdTime)
	}
	minEstimate := svc.BaseLatency + time.Duration(req.TailTokens)*svc.LatencyPerToken
	if justArrived {
		wait = time.Duration(float64(wait) * s.cfg.NewRequestWaitFactor)
	}
	if justArrived && anyAvailable {
		minEstimate = max(minEstimate, c.minEstimate)
	}
	switch {
	case now+minEstimate+wait > req.FirstTokenDue && anyAvailable:
		s.reject(now, id, "queue is too long", wait)
		return false
	case now+minEstimate > req.FirstTokenDue:
		s.reject(now, id, "no replica is expected to be available in time", 2*time.Second)
		return false
	case kept >= s.cfg.QueueLimit:
		s.reject(now, id, "queue is full", wait)
		return false
	}
	s.pollWitnesses(id, req)
	return true
}

// wait returns the expected time until the requests ahead have left the queue, if each occupies a slot for the time hold.
func (q serviceQueue) wait(hold time.Duration) time.Duration {
	return time.Duration(float64(q.ahead) * float64(hold) / float64(max(q.slots, 1)))
}

func (s *Scheduler) pollWitnesses(id int, req *Request) {
	if req.WitnessesPolled || req.Idempotent {
		return
	}
	req.WitnessesPolled = true
	s.emit(Action{Kind: PollWitnesses, Request: id, Replica: -1})
}

// holdOrReject handles the queue while nothing may be served. Routed requests wait until that has been checked again;
// others are rejected.
func (s *Scheduler) holdOrReject(now time.Duration, reason string) {
	kept := s.queued[:0]
	for _, id := range s.queued {
		req := s.Requests.get(id)
		class := &s.Services[req.Service].Classes[req.Class]
		if !class.routed() || class.Removed {
			s.reject(now, id, reason, time.Second)
			continue
		}
		if s.awaitRefresh(now, id, req, len(kept), reason) {
			kept = append(kept, id)
		}
	}
	s.queued = kept
}
