package sim

import "time"

// fault is the time in which a node, or the core if node is empty, is disturbed. planned is set if the cause is a part of regular operation, such
// as a rolling restart.
type fault struct {
	node        string
	from, until time.Duration
	planned     bool
}

// recordFault records a fault of machines. If one of them has a disk, the core is also disturbed: at the fault's start and end, or all through
// if at least half of the core machines are affected or the fault slows the core.
func (r *rules) recordFault(nodes []*Node, duration time.Duration, planned, slowsCore bool) {
	now := r.s.w.Now
	until := now + duration
	if duration < 0 {
		until = never
	}
	affected, total := 0, 0
	for _, n := range r.s.w.Nodes {
		if n.Disk != nil && !n.removed {
			total++
		}
	}
	for _, n := range nodes {
		r.faults = append(r.faults, &fault{node: n.Name, from: now, until: until, planned: planned})
		if n.Disk != nil {
			affected++
		}
	}
	switch {
	case affected == 0:
	case 2*affected >= total || slowsCore:
		r.faults = append(r.faults, &fault{from: now, until: until, planned: planned})
	default:
		r.faults = append(r.faults, &fault{from: now, until: now, planned: planned}, &fault{from: until, until: until, planned: planned})
	}
}

// undisturbed reports whether nothing disturbed a node, or the core if node is empty, from Bounds.Settle before from to until.
func (r *rules) undisturbed(node string, from, until time.Duration) bool {
	for _, f := range r.faults {
		if f.node == node && f.from <= until && f.until >= from-r.s.spec.Bounds.Settle {
			return false
		}
	}
	return true
}

// inTouch reports whether neither the node nor the core is disturbed, so that the node must have current data.
func (r *rules) inTouch(n *Node, now time.Duration) bool {
	return r.undisturbed(n.Name, now, now) && r.undisturbed("", now, now)
}

// applyBoundFor returns how long after the acknowledgement of an order a node must have applied it, and false if the node need not apply it. The
// bound is longer by Bounds.UnsettledExtra for an undisturbed node that is not in touch because of the core, if the core is settled.
func (r *rules) applyBoundFor(n *Node, q *sentRequest, bound time.Duration) (time.Duration, bool) {
	switch {
	case q.inTouch:
		return bound, true
	case r.undisturbed(n.Name, q.sent, q.sent) && r.coreSettled(q.sent):
		return bound + r.s.spec.Bounds.UnsettledExtra, true
	}
	return 0, false
}

// coreSettled reports whether a majority of the core has been up and connected for the sum of Bounds.UnsettledExtra and Bounds.Settle.
func (r *rules) coreSettled(now time.Duration) bool {
	for _, f := range r.faults {
		if f.node == "" && f.until > f.from && f.from <= now && f.until >= now-r.s.spec.Bounds.UnsettledExtra-r.s.spec.Bounds.Settle {
			return false
		}
	}
	return true
}

// hadUnplannedFault reports whether there was any unplanned fault from Bounds.Settle before from to until.
func (r *rules) hadUnplannedFault(from, until time.Duration) bool {
	for _, f := range r.faults {
		if !f.planned && f.from <= until && f.until >= from-r.s.spec.Bounds.Settle {
			return true
		}
	}
	return false
}

// plannedStop reports whether the node was being stopped as planned within that time, and since when.
func (r *rules) plannedStop(node string, from, until time.Duration) (time.Duration, bool) {
	for _, f := range r.faults {
		if f.planned && f.node == node && f.from <= until && f.until >= from {
			return f.from, true
		}
	}
	return 0, false
}
