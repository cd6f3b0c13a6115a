package scheduler

import (
	"math"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// missedTargetCost is added to a replica's cost if the first token is expected after its target.
const missedTargetCost = 1e3

// choice is the replica chosen for a request, -1 if there is none. minEstimate is the shortest estimate over all
// available replicas, including those without a free slot.
type choice struct {
	replica, confirmed, predicted int
	estimate, minEstimate         time.Duration
	cost                          float64
	backoffOverridden             bool
}

// estimate returns the expected time to the first token at the replica.
func (s *Scheduler) estimate(now time.Duration, req *Request, replica, confirmed, predicted int) time.Duration {
	r := &s.Replicas[replica]
	svc := &s.Services[r.Service]
	if svc.Batches {
		return s.firstEventEstimate(now, req, replica, confirmed, predicted)
	}
	t := svc.BaseLatency + time.Duration(s.uncachedTokens(req, confirmed, predicted)*float64(svc.LatencyPerToken))
	t = time.Duration(float64(t) * r.latencyFactor * (1 + s.utilization(now, replica)) * (1 + r.slowStartLeft(now, svc.SlowStart)))
	if r.warmingUp(now) {
		t *= 2
	}
	return t
}

// chooseReplica returns the cheapest replica with a free slot. Its second result reports whether any replica of the
// service is available at all.
func (s *Scheduler) chooseReplica(now time.Duration, req *Request) (choice, bool) {
	svc := &s.Services[req.Service]
	if s.cfg.RoundRobin {
		return s.chooseRoundRobin(now, req, svc)
	}
	c := choice{replica: -1, cost: math.Inf(1), estimate: time.Duration(math.MaxInt64)}
	home, minEstimate := s.home(req, svc), time.Duration(math.MaxInt64)
	s.Counters.RowsVisited += uint64(len(svc.Replicas))
	var anyAvailable bool
	for _, id := range svc.Replicas {
		r := &s.Replicas[id]
		if !r.available(now) || !req.compatibleWith(r) || (svc.SplitRoles && r.Role == rolePrefill) {
			continue
		}
		anyAvailable = true
		candidate := choice{replica: id}
		candidate.confirmed, candidate.predicted = s.Index.Lookup(now, id, req.PrefixBlocks)
		candidate.estimate = s.estimate(now, req, id, candidate.confirmed, candidate.predicted)
		minEstimate = min(minEstimate, candidate.estimate)
		if s.freeSlots(now, id) <= 0 {
			continue
		}
		if svc.Batches {
			candidate.cost = s.batchCost(now, req, candidate, id == home)
		} else {
			candidate.cost = s.slotCost(now, req, candidate, id == home)
		}
		if candidate.cost < c.cost {
			c = candidate
		}
	}
	c.minEstimate = minEstimate
	return c, anyAvailable
}

// slotCost returns the cost of a replica that runs each request in its own slot. A cost of 1 corresponds to an estimate
// as long as the first-token target.
func (s *Scheduler) slotCost(now time.Duration, req *Request, c choice, home bool) float64 {
	svc, r := &s.Services[req.Service], &s.Replicas[c.replica]
	class := &svc.Classes[req.Class]
	target := float64(class.FirstTokenTarget)
	cost := float64(c.estimate)/target + 0.5*s.utilization(now, c.replica)
	if !r.SameZone {
		cost += svc.CrossZoneCost
	}
	if !r.SameZone && class.routed() {
		cost += s.cfg.CrossZoneCost
	}
	if home {
		uncached := prefixindex.Tokens(req.PrefixBlocks) - c.confirmed - c.predicted
		cost -= s.cfg.HomeBonus * float64(uncached) * float64(svc.LatencyPerToken) / target
	}
	if now+c.estimate > req.FirstTokenDue {
		cost += missedTargetCost
	}
	return cost
}

// EnableRoundRobin places requests in turn from now on. It serves as a baseline in comparisons.
func (s *Scheduler) EnableRoundRobin() { s.cfg.RoundRobin = true }

func (s *Scheduler) chooseRoundRobin(now time.Duration, req *Request, svc *Service) (choice, bool) {
	c := choice{replica: -1}
	var anyAvailable bool
	for i := range svc.Replicas {
		id := svc.Replicas[(s.nextRoundRobin+i)%len(svc.Replicas)]
		if r := &s.Replicas[id]; !r.available(now) || !req.compatibleWith(r) {
			continue
		}
		anyAvailable = true
		if s.freeSlots(now, id) > 0 {
			s.nextRoundRobin += i + 1
			confirmed, predicted := s.Index.Lookup(now, id, req.PrefixBlocks)
			return choice{replica: id, confirmed: confirmed, predicted: predicted, estimate: s.estimate(now, req, id, 0, 0)}, true
		}
	}
	return c, anyAvailable
}
