package sim

import (
	"bytes"
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
)

// ackLoss is a time in which a share of the responses to operators is lost.
type ackLoss struct {
	window
	ratio float64
}

const (
	// maxInFlight is how many unsettled rapid changes there may be.
	maxInFlight = 8
	// One in probeEvery rapid changes is followed by configuration probes.
	probeEvery = 10
	// resendFor is how long an order is repeated after a response to it was lost.
	resendFor = 25 * time.Second
	// ackLossRatio is the share of responses that a LoseAcks fault loses.
	ackLossRatio = 0.7
)

// losesAck reports whether the response that arrives now is lost.
func (o *operators) losesAck() bool {
	for _, loss := range o.ackLosses {
		if o.s.w.Now >= loss.from && o.s.w.Now < loss.until {
			return o.rng.Float64() < loss.ratio
		}
	}
	return false
}

// extendDeadline extends the time for which an order is repeated, because a response to it was lost.
func (*operators) extendDeadline(d *order) {
	if !d.untilAcked {
		d.giveUpAt = max(d.giveUpAt, d.sentAt+resendFor)
	}
}

// opFor returns the operation that a call sends: every call of an order has the same id, except for evacuations, which have none on the wire.
func (o *operators) opFor(d *order) control.Op {
	if e, is := d.op.(control.Evacuate); is {
		e.ID = o.id()
		return e
	}
	return d.op
}

// rejectedByPauseGuard reports whether an order arrives at a frozen node. The PauseGuard of the daemon rejects operator requests that waited while
// the process was paused. The operator may not receive the rejection, so that the outcome is unclear to it.
func (o *operators) rejectedByPauseGuard(n *Node) bool { return n.frozen && !o.pauseGuardDisabled }

// base returns the newest version that operators know to be or have been in force.
func (o *operators) base() *version {
	var v *version
	for _, other := range o.s.rules.versions {
		if (other.ackedAt > 0 || other.wasInForce) && (v == nil || other.revision > v.revision) {
			v = other
		}
	}
	return v
}

// markInForce records that a version was in force. A version that was reported as rejected must never be in force.
func (o *operators) markInForce(v *version) {
	v.wasInForce = true
	if v.reportedRejected {
		o.s.rules.breach(RuleAcceptedRejected, fmt.Sprint(v.revision), "it was rejected, but is in force")
	}
}

// checkRejection checks the rejection of a valid change: the change must not have been accepted, and another one may have been accepted.
func (o *operators) checkRejection(d *order, n *Node) {
	v := d.version
	v.reportedRejected = true
	switch {
	case v.wasInForce || v.ackedAt > 0:
		o.s.rules.breach(RuleAcceptedRejected, fmt.Sprint(v.revision), "rejected by %s, though it was in force", n.Name)
	case !o.hasCompetingChange(d):
		o.s.rules.breach(RuleNeedlessRejection, fmt.Sprint(v.revision), "rejected by %s, on top of %d", n.Name, d.baseRevision)
	}
	o.readFromRejecting(n)
}

// hasCompetingChange reports whether another change may have been accepted on top of the order's base or of a later revision.
func (o *operators) hasCompetingChange(d *order) bool {
	for _, other := range o.s.rules.versions {
		if other != d.version && !other.invalid && other.revision > d.baseRevision && other.base >= d.baseRevision && (!other.reportedRejected || other.wasInForce) {
			return true
		}
	}
	return false
}

// overtaken reports whether another change on top of the same base was acknowledged, so that this one cannot be accepted any more.
func (o *operators) overtaken(d *order) bool {
	for _, other := range o.s.rules.versions {
		if other != d.version && other.ackedAt > 0 && other.base == d.baseRevision {
			return true
		}
	}
	return false
}

// readFromRejecting reads the configuration at the node that rejected a change, so that the next change starts from what is in force.
func (o *operators) readFromRejecting(n *Node) {
	if n.Alive {
		o.read(n)
	}
}

// read gets the configuration from a node and compares it with the newest one that was acknowledged before the call.
func (o *operators) read(n *Node) {
	sent := o.s.w.Now
	due := o.s.rules.newestAcked()
	o.s.w.After(clientDelay, func() {
		o.s.w.Call(n, control.Get{}, func(a control.Answer) {
			if a.Err != nil || a.Value == nil || o.s.w.Now-sent > callTimeout {
				return
			}
			o.checkRead(n, a.Value.Document, due)
		})
	})
}

func (o *operators) checkRead(n *Node, body []byte, due *version) {
	revision, err := revisionIn(body)
	if err != nil || revision == 0 {
		return
	}
	o.s.report.ConfigReads++
	if due != nil && revision < due.revision {
		o.s.rules.breach(RuleStaleRead, n.Name, "returned revision %d, revision %d was acknowledged", revision, due.revision)
	}
	for _, v := range o.s.rules.versions {
		if v.revision == revision && !v.invalid && bytes.Equal(v.raw, body) {
			o.markInForce(v)
		}
	}
}

// readRepeatedly gets the configuration from a random node each gap.
func (o *operators) readRepeatedly(until, gap time.Duration) {
	w := o.s.w
	if w.Now >= until {
		return
	}
	if n := w.Nodes[o.rng.IntN(len(w.Nodes))]; n.Alive {
		o.read(n)
	}
	w.After(gap, func() { o.readRepeatedly(until, gap) })
}

// changeRapidly sends a change each gap while fewer than maxInFlight are unsettled.
func (o *operators) changeRapidly(until, gap time.Duration, count int) {
	if o.s.w.Now >= until {
		return
	}
	base := o.base()
	if base != nil && o.inFlight < maxInFlight {
		o.inFlight++
		o.put(o.varyRoutes, func(v *version, ok bool) {
			o.inFlight--
			if ok && count%probeEvery == 0 {
				o.probeChange(base, v)
			}
		})
	}
	o.s.w.After(gap, func() { o.changeRapidly(until, gap, count+1) })
}

// sendSameRevision makes two operators send different changes of the same version under one revision number, every gap.
func (o *operators) sendSameRevision(times int, gap time.Duration) {
	if times == 0 {
		return
	}
	if base := o.base(); base != nil {
		revision := o.revision()
		for i := range 2 {
			extra := time.Duration(i+1) * time.Millisecond
			o.putOn(base, revision, func(c *config.Config) {
				o.varyRoutes(c)
				c.Routes[0].Timeout += extra
			}, nil)
		}
	}
	o.s.w.After(gap, func() { o.sendSameRevision(times-1, gap) })
}

// resendRepeatedly sends a random acknowledged change again each gap.
func (o *operators) resendRepeatedly(until, gap time.Duration) {
	if o.s.w.Now >= until {
		return
	}
	if len(o.accepted) > 0 {
		old := o.accepted[o.rng.IntN(len(o.accepted))]
		o.send(&order{op: old.op, version: old.version, baseRevision: old.baseRevision, repeated: true})
	}
	o.s.w.After(gap, func() { o.resendRepeatedly(until, gap) })
}

// checkResend checks the response to a change that was accepted before, which must not be a rejection.
func (o *operators) checkResend(d *order, n *Node, result outcome) {
	o.s.report.ResentChanges++
	if result == rejected {
		o.s.rules.breach(RuleAcceptedRejected, fmt.Sprint(d.version.revision), "rejected by %s, %s after it was acknowledged", n.Name, o.s.w.Now-d.version.ackedAt)
	}
}

// matchesSent reports whether a document is one that was sent under its revision, and the acknowledged one if any was.
func (r *rules) matchesSent(revision uint64, body []byte) bool {
	known, matches := false, false
	for _, v := range r.versions {
		if v.revision != revision || v.invalid {
			continue
		}
		same := bytes.Equal(v.raw, body)
		if v.ackedAt > 0 {
			return same
		}
		known, matches = true, matches || same
	}
	return matches || !known
}
