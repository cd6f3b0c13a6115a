package scheduler

import "strconv"

// home names the replica that every router of the domain would try first for this prefix, without a word between them. Where
// replicas queue, all routers agree on one home, and the last of several parts, which is the request's own, has no say in it.
func (m *Market) home(a *Ask, o *Offer) (rep int) {
	rep = -1
	if m.cfg.Home == 0 || m.Index.Off || len(a.Parts) == 0 {
		return rep
	}
	last := len(a.Parts) - 1
	if o.Queues {
		last = max(last-1, 0)
	}
	key := "home/" + strconv.FormatUint(uint64(a.Parts[last].Key), 36)
	var top uint64
	for _, id := range o.Reps {
		r := &m.Reps[id]
		if (!r.Near && !o.Queues) || !r.open() {
			continue
		}
		if w := Rank(key, r.Name); rep < 0 || w > top {
			rep, top = id, w
		}
	}
	return rep
}
