package scheduler

import "time"

// responseLoadAge is the assumed age of a load that a replica reports in a response, at the time the response arrives.
const responseLoadAge = 2 * time.Millisecond

// ReportLoadFromResponse records how many requests a replica had, running and queued, according to its own response.
func (s *Scheduler) ReportLoadFromResponse(now time.Duration, replica, load int) {
	s.recordContact(now, replica)
	s.Replicas[replica].report(now-responseLoadAge, load)
}

// estimatedLoad returns the estimated number of requests at a queueing replica. The requests of other routers count less
// the older the load report is.
func (s *Scheduler) estimatedLoad(now time.Duration, replica int) int {
	r := &s.Replicas[replica]
	n := r.load()
	others, age, hold := n-r.LocalRunning, now-r.ReportedAt, max(s.Services[r.Service].holdTime, maxTickInterval)
	if others <= 0 || age <= hold {
		return n
	}
	return r.LocalRunning + int(float64(others)*float64(hold)/float64(age))
}

func (s *Scheduler) utilization(now time.Duration, replica int) float64 {
	r := &s.Replicas[replica]
	if !s.Services[r.Service].Queues {
		return r.utilization()
	}
	return float64(s.estimatedLoad(now, replica)) / float64(max(r.Capacity, 1))
}

func (r *Replica) overHalfFull() bool { return 2*r.load() > r.Capacity }

// freeSlots returns how many more requests this router may send to the replica now. It is negative after its share
// shrank.
func (s *Scheduler) freeSlots(now time.Duration, replica int) int {
	r := &s.Replicas[replica]
	svc := &s.Services[r.Service]
	if s.warmupBlocked(now, replica) {
		return 0
	}
	if svc.Queues {
		return r.Capacity - s.estimatedLoad(now, replica)
	}
	slots := r.slowStartCapacity(now, svc)
	if slots != r.effectiveCapacity {
		r.effectiveCapacity = slots
		r.share = s.shareOf(now, r, slots)
	}
	return r.share - r.LocalRunning
}

// slowStartCapacity returns how many requests the replica may have from all routers together, which is less during slow
// start.
func (r *Replica) slowStartCapacity(now time.Duration, svc *Service) int {
	left := r.slowStartLeft(now, svc.SlowStart)
	if left <= 0 {
		return r.Capacity
	}
	initial := min(svc.WarmupCapacity, r.Capacity)
	return initial + int(float64(r.Capacity-initial)*(1-left))
}

// serviceQueue describes a service's queue at this router: the slots that this router can fill, the number of requests
// that come before the next one, and whether one of these found no room.
type serviceQueue struct {
	slots, ahead int
	full         bool
}

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
			queues[r.Service].slots += r.share
		}
	}
	for i := range queues {
		if s.Services[i].Queues && queues[i].slots > 0 {
			queues[i].slots = max(queues[i].slots/max(len(s.routers), 1), 1)
		}
	}
	return queues
}

// queueingSlots returns how many slots a queueing replica adds to its service.
func (s *Scheduler) queueingSlots(now time.Duration, replica int) int {
	switch {
	case !s.warmupLimited(now, replica):
		return s.Replicas[replica].Capacity
	case s.warmupShare(now, replica) > 0:
		return 1
	}
	return 0
}

// NoCapacityReason returns why this router can serve no service now, or "".
func (s *Scheduler) NoCapacityReason(now time.Duration) string {
	for _, queue := range s.serviceQueues(now) {
		if queue.slots > 0 {
			return ""
		}
	}
	return "no replica has room for this node yet"
}

// RouterShare returns this router's share of a total that is divided evenly among all routers: at least 1 if the
// total is positive, otherwise 0.
func (s *Scheduler) RouterShare(total float64) int {
	if total <= 0 {
		return 0
	}
	return max(int(total)/max(len(s.routers), 1), 1)
}
