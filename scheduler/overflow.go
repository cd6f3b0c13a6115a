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

// queueMargin returns how many requests beyond its capacity a queueing replica may be sent: it queues a few (PROTOCOL,
// Replicas).
func queueMargin(capacity int) int { return max(2, capacity/4) }
