package scheduler

import (
	"math"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// missedTargetCost is added where the first token is expected after its bound.
const missedTargetCost = 1e3

// choice is a replica for a request, -1 for none. leastEstimate is the shortest estimate of all available replicas, full ones too.
type choice struct {
	replica, confirmed, predicted int
	estimate, leastEstimate       time.Duration
	cost                          float64
	forced                        bool
}

// estimate is how long the first token is expected to take at the replica.
func (s *Scheduler) estimate(now time.Duration, req *Request, replica, confirmed, predicted int) time.Duration {
	r := &s.Replicas[replica]
	svc := &s.Services[r.Service]
	if svc.Batches {
		return s.firstEvent(now, req, replica, confirmed, predicted)
	}
	t := svc.BaseLatency + time.Duration(s.unreadTokens(req, confirmed, predicted)*float64(svc.LatencyPerToken))
	t = time.Duration(float64(t) * r.factor * (1 + s.fullness(now, replica)) * (1 + r.slowStartLeft(now, svc.SlowStart)))
	if r.warmingUp(now) {
		t *= 2
	}
	return t
}

// chooseReplica gives the cheapest replica with a free slot, and whether any replica of the service is available at all.
func (s *Scheduler) chooseReplica(now time.Duration, req *Request) (choice, bool) {
	svc := &s.Services[req.Service]
	if s.cfg.RoundRobin {
		return s.chooseInTurn(now, req, svc)
	}
	c := choice{replica: -1, cost: math.Inf(1), estimate: time.Duration(math.MaxInt64)}
	home, least := s.home(req, svc), time.Duration(math.MaxInt64)
	s.Counters.RowsVisited += uint64(len(svc.Replicas))
	var known bool
	for _, id := range svc.Replicas {
		r := &s.Replicas[id]
		if !r.available(now) || !req.suits(r) || (svc.SplitRoles && r.Role == rolePrefill) {
			continue
		}
		known = true
		one := choice{replica: id}
		one.confirmed, one.predicted = s.Index.Lookup(now, id, req.PrefixBlocks)
		one.estimate = s.estimate(now, req, id, one.confirmed, one.predicted)
		least = min(least, one.estimate)
		if s.freeSlots(now, id) <= 0 {
			continue
		}
		if svc.Batches {
			one.cost = s.batchCost(now, req, one, id == home)
		} else {
			one.cost = s.slotCost(now, req, one, id == home)
		}
		if one.cost < c.cost {
			c = one
		}
	}
	c.leastEstimate = least
	return c, known
}

// slotCost weighs a replica that runs each request in a slot of its own; a unit is the bound on the first token.
func (s *Scheduler) slotCost(now time.Duration, req *Request, c choice, home bool) float64 {
	svc, r := &s.Services[req.Service], &s.Replicas[c.replica]
	class := &svc.Classes[req.Class]
	bound := float64(class.FirstTokenTarget)
	cost := float64(c.estimate)/bound + 0.5*s.fullness(now, c.replica)
	if !r.SameZone {
		cost += svc.CrossZoneCost
	}
	if !r.SameZone && class.routed() {
		cost += s.cfg.CrossZoneCost
	}
	if home {
		unheld := prefixindex.Tokens(req.PrefixBlocks) - c.confirmed - c.predicted
		cost -= s.cfg.HomeBonus * float64(unheld) * float64(svc.LatencyPerToken) / bound
	}
	if now+c.estimate > req.FirstTokenDue {
		cost += missedTargetCost
	}
	return cost
}

// EnableRoundRobin places requests in turn from now on, for comparisons.
func (s *Scheduler) EnableRoundRobin() { s.cfg.RoundRobin = true }

func (s *Scheduler) chooseInTurn(now time.Duration, req *Request, svc *Service) (choice, bool) {
	c := choice{replica: -1}
	var known bool
	for i := range svc.Replicas {
		id := svc.Replicas[(s.nextInTurn+i)%len(svc.Replicas)]
		if r := &s.Replicas[id]; !r.available(now) || !req.suits(r) {
			continue
		}
		known = true
		if s.freeSlots(now, id) > 0 {
			s.nextInTurn += i + 1
			confirmed, predicted := s.Index.Lookup(now, id, req.PrefixBlocks)
			return choice{replica: id, confirmed: confirmed, predicted: predicted, estimate: s.estimate(now, req, id, 0, 0)}, true
		}
	}
	return c, known
}
