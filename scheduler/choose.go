package scheduler

import "time"

// choice is the replica chosen for a request, -1 if there is none.
type choice struct {
	replica, confirmed, predicted int
	estimate                      time.Duration
	cost                          placementCost
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

// chooseReplica returns the cheapest replica with a free slot.
func (s *Scheduler) chooseReplica(now time.Duration, req *Request) choice {
	svc := &s.Services[req.Service]
	if s.cfg.RoundRobin {
		return s.chooseRoundRobin(now, req, svc)
	}
	c := choice{replica: -1}
	home := s.home(req, svc)
	s.Counters.RowsVisited += uint64(len(svc.Replicas))
	for _, id := range svc.Replicas {
		r := &s.Replicas[id]
		if !r.available(now) || !req.compatibleWith(r) || (svc.SplitRoles && r.Role == rolePrefill) || s.freeSlots(now, id) <= 0 {
			continue
		}
		candidate := choice{replica: id}
		candidate.confirmed, candidate.predicted = s.Index.Lookup(now, id, req.PrefixBlocks)
		candidate.estimate = s.estimate(now, req, id, candidate.confirmed, candidate.predicted)
		candidate.cost = s.placementCost(now, req, candidate, id == home)
		if c.replica < 0 || candidate.cost.less(c.cost) {
			c = candidate
		}
	}
	return c
}

// EnableRoundRobin places requests in turn from now on. It serves as a baseline in comparisons.
func (s *Scheduler) EnableRoundRobin() { s.cfg.RoundRobin = true }

func (s *Scheduler) chooseRoundRobin(now time.Duration, req *Request, svc *Service) choice {
	for i := range svc.Replicas {
		id := svc.Replicas[(s.nextRoundRobin+i)%len(svc.Replicas)]
		if r := &s.Replicas[id]; !r.available(now) || !req.compatibleWith(r) || s.freeSlots(now, id) <= 0 {
			continue
		}
		s.nextRoundRobin += i + 1
		confirmed, predicted := s.Index.Lookup(now, id, req.PrefixBlocks)
		return choice{replica: id, confirmed: confirmed, predicted: predicted, estimate: s.estimate(now, req, id, 0, 0)}
	}
	return choice{replica: -1}
}
