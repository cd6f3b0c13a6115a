package sim

import "time"

// A fault disturbs one node, or the core (node is empty), from one moment until another. Planned ones are a part of the day's work.
type fault struct {
	node        string
	from, until time.Duration
	planned     bool
}

// recordFault notes fault on machines; that of a machine with a disk unsettles the core at its begin and end, that of most of them all through.
func (r *rules) recordFault(ns []*Node, d time.Duration, planned, slows bool) {
	now := r.s.w.Now
	until := now + d
	if d < 0 {
		until = never
	}
	core, total := 0, 0
	for _, n := range r.s.w.Nodes {
		if n.Disk != nil && !n.removed {
			total++
		}
	}
	for _, n := range ns {
		r.faults = append(r.faults, &fault{node: n.Name, from: now, until: until, planned: planned})
		if n.Disk != nil {
			core++
		}
	}
	switch {
	case core == 0:
	case 2*core >= total || slows:
		r.faults = append(r.faults, &fault{from: now, until: until, planned: planned})
	default:
		r.faults = append(r.faults, &fault{from: now, until: now, planned: planned}, &fault{from: until, until: until, planned: planned})
	}
}

// still tells that nothing disturbed a node, or the core, in that time and Bounds.Touch before.
func (r *rules) still(node string, from, until time.Duration) bool {
	for _, t := range r.faults {
		if t.node == node && t.from <= until && t.until >= from-r.s.spec.Bounds.Settle {
			return false
		}
	}
	return true
}

func (r *rules) inTouch(n *Node, now time.Duration) bool {
	return r.still(n.Name, now, now) && r.still("", now, now)
}

// within is how long after its acknowledgement a node must obey an order, and whether it must.
func (r *rules) within(n *Node, q *sentRequest, bound time.Duration) (time.Duration, bool) {
	switch {
	case q.calm:
		return bound, true
	case r.still(n.Name, q.sent, q.sent) && r.majority(q.sent):
		return bound + r.s.spec.Bounds.UnsettledExtra, true
	}
	return 0, false
}

// majority tells that most of the core ran and was joined for long before now.
func (r *rules) majority(now time.Duration) bool {
	for _, t := range r.faults {
		if t.node == "" && t.until > t.from && t.from <= now && t.until >= now-r.s.spec.Bounds.UnsettledExtra-r.s.spec.Bounds.Settle {
			return false
		}
	}
	return true
}

// unplanned tells that something nobody planned happened anywhere in that time or Bounds.Touch before.
func (r *rules) unplanned(from, until time.Duration) bool {
	for _, t := range r.faults {
		if !t.planned && t.from <= until && t.until >= from-r.s.spec.Bounds.Settle {
			return true
		}
	}
	return false
}

// leaving tells that the node was being stopped on purpose at some time of the span, and since when.
func (r *rules) leaving(node string, from, until time.Duration) (time.Duration, bool) {
	for _, t := range r.faults {
		if t.planned && t.node == node && t.from <= until && t.until >= from {
			return t.from, true
		}
	}
	return 0, false
}
