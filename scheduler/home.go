package scheduler

import "strconv"

// home names the replica that every router of the zone would try first for this prefix, without any communication. Where
// replicas queue, all routers agree on one home, and the last of several parts, which is the request's own, has no say in it.
func (s *Scheduler) home(req *Request, svc *Service) int {
	replica := -1
	if s.cfg.HomeBonus == 0 || s.Index.Disabled || len(req.PrefixBlocks) == 0 {
		return replica
	}
	last := len(req.PrefixBlocks) - 1
	if svc.Queues {
		last = max(last-1, 0)
	}
	key := "home/" + strconv.FormatUint(uint64(req.PrefixBlocks[last].Key), 36)
	var top uint64
	for _, id := range svc.Replicas {
		r := &s.Replicas[id]
		if (!r.SameZone && !svc.Queues) || !r.open() {
			continue
		}
		if w := RendezvousWeight(key, r.Name); replica < 0 || w > top {
			replica, top = id, w
		}
	}
	return replica
}
