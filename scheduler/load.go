package scheduler

import "time"

// localLoadLag is how much older than its arrival a load is that a replica told in an answer.
const localLoadLag = 2 * time.Millisecond

// ReportLoadFromResponse takes in how many requests a replica had, running and queued, by what it said of itself in an answer.
func (s *Scheduler) ReportLoadFromResponse(now time.Duration, replica, load int) {
	s.recordContact(now, replica)
	s.Replicas[replica].report(now-localLoadLag, load)
}

// occupied estimates how many slots of a queueing replica are taken; what other routers have there counts less the older the report.
func (s *Scheduler) occupied(now time.Duration, replica int) int {
	r := &s.Replicas[replica]
	n := r.load()
	others, age, hold := n-r.LocalRunning, now-r.ReportedAt, max(s.Services[r.Service].holdTime, maxTickInterval)
	if others <= 0 || age <= hold {
		return n
	}
	return r.LocalRunning + int(float64(others)*float64(hold)/float64(age))
}

func (s *Scheduler) fullness(now time.Duration, replica int) float64 {
	r := &s.Replicas[replica]
	if !s.Services[r.Service].Queues {
		return r.fullness()
	}
	return float64(s.occupied(now, replica)) / float64(max(r.Capacity, 1))
}

func (r *Replica) overloaded() bool { return 2*r.load() > r.Capacity }

// freeSlots is how many more requests this router may have at the replica now; below 0 where its quota shrank.
func (s *Scheduler) freeSlots(now time.Duration, replica int) int {
	r := &s.Replicas[replica]
	svc := &s.Services[r.Service]
	if s.warmupBlocked(now, replica) {
		return 0
	}
	if svc.Queues {
		return r.Capacity - s.occupied(now, replica)
	}
	slots := r.slots(now, svc)
	if slots != r.effectiveSlots {
		r.effectiveSlots = slots
		r.quota = s.quotaOf(now, r, slots)
	}
	return r.quota - r.LocalRunning
}

// slots is how many requests the replica bears from all routers together while it warms up.
func (r *Replica) slots(now time.Duration, svc *Service) int {
	warmingUp := r.slowStartLeft(now, svc.SlowStart)
	if warmingUp <= 0 {
		return r.Capacity
	}
	low := min(svc.WarmupCapacity, r.Capacity)
	return low + int(float64(r.Capacity-low)*(1-warmingUp))
}

// serviceQueue is what a request that waits for a service has to reckon with: the slots that this router can fill, and how many
// requests go before it.
type serviceQueue struct{ slots, ahead int }

func (s *Scheduler) serviceQueues(now time.Duration) []serviceQueue {
	queues := make([]serviceQueue, len(s.Services))
	s.Counters.RowsVisited += uint64(len(s.Replicas))
	for i := range s.Replicas {
		r := &s.Replicas[i]
		switch {
		case !r.available(now):
		case s.Services[r.Service].Queues:
			queues[r.Service].slots += s.queueingSlots(now, i)
		default:
			s.freeSlots(now, i)
			queues[r.Service].slots += r.quota
		}
	}
	for i := range queues {
		if s.Services[i].Queues && queues[i].slots > 0 {
			queues[i].slots = max(queues[i].slots/max(len(s.routers), 1), 1)
		}
	}
	return queues
}

// queueingSlots is what a queueing replica adds to the slots of its service.
func (s *Scheduler) queueingSlots(now time.Duration, replica int) int {
	switch {
	case !s.warmupLimited(now, replica):
		return s.Replicas[replica].Capacity
	case s.warmupQuota(now, replica) > 0:
		return 1
	}
	return 0
}

// NoCapacityReason tells why no service can be served by this router now, or "".
func (s *Scheduler) NoCapacityReason(now time.Duration) string {
	for _, queue := range s.serviceQueues(now) {
		if queue.slots > 0 {
			return ""
		}
	}
	return "no replica has room for this node yet"
}

// RouterShare is this router's part of a number that all routers divide evenly, at least 1 where there is any.
func (s *Scheduler) RouterShare(total float64) int {
	if total <= 0 {
		return 0
	}
	return max(int(total)/max(len(s.routers), 1), 1)
}
