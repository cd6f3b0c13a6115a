package sim

import "fmt"

// settle ends an order and checks its outcome. An order with an unclear outcome at one node may be in force although another node rejected it.
func (o *operators) settle(d *order, n *Node, result outcome) {
	w, v := o.s.w, d.version
	d.settled = true
	if d.repeated {
		o.checkResend(d, n, result)
		return
	}
	w.Tracef("order on top of revision %d is settled with outcome %v after %s", d.baseRevision, result, w.Now-d.sentAt)
	if v != nil {
		o.versionSettled(d, n, result)
	}
	if result != acknowledged && o.ackOwed(d) && w.Now-d.sentAt >= o.s.spec.Bounds.Ack && o.s.rules.undisturbed("", d.sentAt, w.Now) {
		o.s.rules.breach(RuleNotAcknowledged, fmt.Sprint(d.baseRevision), "not acknowledged within %s", w.Now-d.sentAt)
	}
	if result == acknowledged && o.onNextAck != nil {
		callback := o.onNextAck
		o.onNextAck = nil
		callback(n)
	}
	if d.onSettled != nil {
		d.onSettled(result == acknowledged)
	}
}

// ackOwed reports whether the order must have been acknowledged, because it is valid, no other change overtook it, and no response to it was lost.
func (o *operators) ackOwed(d *order) bool {
	if d.untilAcked || d.responseLost {
		return false
	}
	return d.version == nil || !d.version.invalid && !o.overtaken(d)
}

// versionSettled records the outcome of a configuration change and checks it.
func (o *operators) versionSettled(d *order, n *Node, result outcome) {
	v := d.version
	switch {
	case result == acknowledged && v.invalid:
		o.s.rules.breach(RuleInvalidAccepted, fmt.Sprint(v.revision), "invalid, but accepted by %s", n.Name)
	case result == acknowledged:
		v.ackedAt = o.s.w.Now
		o.s.report.PutsAccepted++
		o.checkConflictingAck(v, d)
		o.accepted = append(o.accepted, d)
		o.markInForce(v)
	case result == rejected && !v.invalid:
		o.checkRejection(d, n)
		if d.unclear {
			return
		}
		v.rejected = true
		o.s.report.PutsRejected++
	}
}
