package scheduler

import "strconv"

// home returns the replica that all routers of the zone prefer for this prefix, which they compute without
// communication, or -1 if there is none. Where replicas queue, all routers of the fleet agree on one home, which then
// does not depend on the last of several blocks, because that block is specific to the request.
func (s *Scheduler) home(req *Request, svc *Service) int {
	replica := -1
	if s.cfg.FollowingRequests == 0 || s.Index.Disabled || len(req.PrefixBlocks) == 0 {
		return replica
	}
	last := len(req.PrefixBlocks) - 1
	if svc.Queues {
		last = max(last-1, 0)
	}
	key := "home/" + strconv.FormatUint(uint64(req.PrefixBlocks[last].Key), 36)
	var highest uint64
	for _, id := range svc.Replicas {
		r := &s.Replicas[id]
		if (!r.SameZone && !svc.Queues) || !r.eligible() {
			continue
		}
		if w := RendezvousWeight(key, r.Name); replica < 0 || w > highest {
			replica, highest = id, w
		}
	}
	return replica
}
