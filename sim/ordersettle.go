package sim

import "fmt"

// finishOrder ends an order. One that was answered vaguely before may be in force though it was refused.
func (o *operators) finishOrder(d *order, n *Node, f fate) {
	w, v := o.s.w, d.v
	d.over = true
	if d.repeated {
		o.repeated(d, n, f)
		return
	}
	w.Tracef("order %d is settled: %v after %s", d.base, f, w.Now-d.from)
	if v != nil {
		o.judgeVersion(d, n, f)
	}
	if f != acked && o.owedAnswer(d) && w.Now-d.from >= o.s.spec.Bounds.Ack && o.s.rules.still("", d.from, w.Now) {
		o.s.rules.breach(RuleNotAcknowledged, fmt.Sprint(d.base), "not within %s", w.Now-d.from)
	}
	if f == acked && o.acked != nil {
		then := o.acked
		o.acked = nil
		then(n)
	}
	if d.end != nil {
		d.end(f == acked)
	}
}

// owedAnswer tells whether the order should have been acknowledged: a proper one that no other overtook, and whose answers came.
func (o *operators) owedAnswer(d *order) bool {
	if d.forced || d.answerLost {
		return false
	}
	return d.v == nil || !d.v.flawed && !o.overtaken(d)
}

// judgeVersion notes what became of a configuration, and judges whether it may have.
func (o *operators) judgeVersion(d *order, n *Node, f fate) {
	v := d.v
	switch {
	case f == acked && v.flawed:
		o.s.rules.breach(RuleInvalidAccepted, fmt.Sprint(v.revision), "flawed, and taken by %s", n.Name)
	case f == acked:
		v.acked = o.s.w.Now
		o.s.report.PutsAccepted++
		o.rival(v, d)
		o.taken = append(o.taken, d)
		o.inForce(v)
	case f == refused && !v.flawed:
		o.denied(d, n)
		if d.unclear {
			return
		}
		v.refused = true
		o.s.report.PutsRejected++
	}
}
