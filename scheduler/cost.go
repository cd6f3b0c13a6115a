package scheduler

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// placementCost is what it costs callers to place a request at a replica: whether its first token misses its target, within
// which operators want it (PROTOCOL, Requests), and otherwise the time that it and other requests lose.
type placementCost struct {
	missesTarget bool
	time         time.Duration
}

func (c placementCost) less(other placementCost) bool {
	if c.missesTarget != other.missesTarget {
		return other.missesTarget
	}
	return c.time < other.time
}

// placementCost adds the time to the request's first token, the time by which its prompt delays the prompts that wait at
// the replica and those that will follow with the same prefix, and the time that operators would wait to keep its bytes
// within the zone. At the home replica of its prefix the shared blocks count as cached, because other routers send requests
// with that prefix there too.
func (s *Scheduler) placementCost(now time.Duration, req *Request, c choice, home bool) placementCost {
	svc, r := &s.Services[req.Service], &s.Replicas[c.replica]
	cost := placementCost{missesTarget: now+c.estimate > req.FirstTokenDue, time: c.estimate}
	uncached := s.uncachedTokens(req, c.confirmed, c.predicted)
	shared := float64(max(s.sharedTokens(req)-c.confirmed-c.predicted, 0))
	if home {
		uncached, shared = uncached-shared, 0
	}
	if svc.Batches {
		cost.time += time.Duration(len(r.prefillQueue.prompts)) * s.prefillTime(c.replica, uncached)
	}
	cost.time += time.Duration(s.cfg.FollowingRequests * float64(s.prefillTime(c.replica, shared)))
	if !r.SameZone {
		cost.time += s.crossZoneWait(req)
	}
	return cost
}

// sharedTokens returns the number of prefix tokens that other requests may share. Where replicas queue, the last of several
// blocks is specific to the request or its session.
func (s *Scheduler) sharedTokens(req *Request) int {
	blocks := req.PrefixBlocks
	if s.Services[req.Service].Queues && len(blocks) > 0 {
		blocks = blocks[:len(blocks)-1]
	}
	return prefixindex.Tokens(blocks)
}

// prefillTime returns the time in which an idle replica prefills a prompt.
func (s *Scheduler) prefillTime(replica int, tokens float64) time.Duration {
	svc := &s.Services[s.Replicas[replica].Service]
	if svc.Batches {
		return time.Duration(prefillWork(tokens) * s.nanosPerToken(replica))
	}
	return time.Duration(tokens * float64(svc.LatencyPerToken))
}

// crossZoneWait returns how much longer a request may wait to be placed in its own zone, as operators set it: in the
// configuration, in units of the first-token target, or for routes by flags.
func (s *Scheduler) crossZoneWait(req *Request) time.Duration {
	svc := &s.Services[req.Service]
	class := &svc.Classes[req.Class]
	wait := time.Duration(svc.CrossZoneCost * float64(class.FirstTokenTarget))
	if class.routed() {
		tokens := req.TailTokens + prefixindex.Tokens(req.PrefixBlocks)
		wait += s.cfg.CrossZoneWait + time.Duration(tokens)*s.cfg.CrossZoneWaitPerToken
	}
	return wait
}

// SetCrossZoneWait sets Config.CrossZoneWait and Config.CrossZoneWaitPerToken.
func (s *Scheduler) SetCrossZoneWait(wait, perToken time.Duration) {
	s.cfg.CrossZoneWait, s.cfg.CrossZoneWaitPerToken = wait, perToken
}
