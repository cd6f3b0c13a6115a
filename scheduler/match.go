package scheduler

import (
	"sort"
	"time"
)

// matchQueued goes over the queue by priority: each request is placed, rejected or kept.
func (s *Scheduler) matchQueued(now time.Duration) {
	if len(s.queued) == 0 {
		return
	}
	if why := s.NotServingReason(now); why != "" {
		s.holdOrReject(now, why)
		return
	}
	s.prioritize(now)
	queues := s.serviceQueues(now)
	kept := s.queued[:0]
	for _, id := range s.queued {
		req := s.Requests.get(id)
		if s.matchOne(now, id, req, &queues[req.Service], len(kept)) {
			kept = append(kept, id)
		}
	}
	s.queued = kept
}

func (s *Scheduler) prioritize(now time.Duration) {
	for _, id := range s.queued {
		req := s.Requests.get(id)
		class := &s.Services[req.Service].Classes[req.Class]
		slack := max(float64(req.FirstTokenDue-now)/float64(class.FirstTokenTarget), 0.05)
		req.priority = class.Value * class.Urgency / slack
		if now-req.ArrivedAt > class.FirstTokenTarget/16 {
			req.priority *= s.cfg.QueuedPriorityFactor
		}
	}
	sort.SliceStable(s.queued, func(i, j int) bool {
		return s.Requests.rows[s.queued[i]].priority > s.Requests.rows[s.queued[j]].priority
	})
}

func (s *Scheduler) matchOne(now time.Duration, id int, req *Request, queue *serviceQueue, kept int) bool {
	class := &s.Services[req.Service].Classes[req.Class]
	if class.Removed {
		s.reject(now, id, "class is no longer offered", time.Second)
		return false
	}
	if !class.routed() {
		return s.admitDirect(now, id, req, queue, kept)
	}
	if !s.admitRouted(now, id, req, *queue, kept) {
		return false
	}
	queue.ahead++
	return true
}

// admitDirect decides about a request that came to the product's own interface: it waits only where the queue is expected to let it
// start in time.
func (s *Scheduler) admitDirect(now time.Duration, id int, req *Request, queue *serviceQueue, kept int) bool {
	svc := &s.Services[req.Service]
	c, open := s.chooseReplica(now, req)
	if c.replica >= 0 && now+c.estimate <= req.FirstTokenDue {
		s.place(now, id, req, c)
		return false
	}
	arrives := req.ArrivedAt == now
	if c.replica >= 0 && req.Placements == 0 && arrives {
		s.reject(now, id, "cannot start in time", time.Second)
		return false
	}
	queue.ahead++
	wait := time.Duration(0)
	if open {
		wait = queue.wait(svc.holdTime)
	}
	least := svc.BaseLatency + time.Duration(req.TailTokens)*svc.LatencyPerToken
	if arrives {
		wait = time.Duration(float64(wait) * s.cfg.NewRequestWaitFactor)
	}
	if arrives && open {
		least = max(least, c.leastEstimate)
	}
	switch {
	case now+least+wait > req.FirstTokenDue && open:
		s.reject(now, id, "queue is too long", wait)
		return false
	case now+least > req.FirstTokenDue:
		s.reject(now, id, "no replica in time", 2*time.Second)
		return false
	case kept >= s.cfg.QueueLimit:
		s.reject(now, id, "queue is full", wait)
		return false
	}
	s.pollWitnesses(id, req)
	return true
}

// wait is how long the last of those ahead is expected to wait where each holds a slot that long.
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

// holdOrReject is for the time in which nothing may be served: routed requests wait for it to end as long as they may.
func (s *Scheduler) holdOrReject(now time.Duration, why string) {
	kept := s.queued[:0]
	for _, id := range s.queued {
		req := s.Requests.get(id)
		class := &s.Services[req.Service].Classes[req.Class]
		if class.routed() && !class.Removed && now < s.waitUntil(req, class) {
			kept = append(kept, id)
			continue
		}
		s.reject(now, id, why, time.Second)
	}
	s.queued = kept
}
