package sim

import (
	"bytes"
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
)

// ackLoss is a time in which a share of the answers to operators is lost on the way.
type ackLoss struct {
	window
	ratio float64
}

const (
	// mostUnderWay is how many changes operators have under way at once.
	mostUnderWay = 8
	// lookEvery is how many changes of a rapid run pass between those that are looked at from outside.
	lookEvery = 10
	// resendFor is how long an order is sent again whose answers were lost.
	resendFor = 25 * time.Second
	lostRatio = 0.7
)

func (o *operators) loses() bool {
	for _, l := range o.losses {
		if o.s.w.Now >= l.from && o.s.w.Now < l.until {
			return o.rng.Float64() < l.ratio
		}
	}
	return false
}

// extend has an order whose answer was lost sent for long.
func (*operators) extend(d *order) {
	if !d.forced {
		d.until = max(d.until, d.from+resendFor)
	}
}

// callOf is what a call carries: an order keeps its id, but for evacuations, which have none on the wire.
func (o *operators) callOf(d *order) control.Op {
	if e, is := d.op.(control.Evacuate); is {
		e.ID = o.id()
		return e
	}
	return d.op
}

// gated tells that an order comes to a node that stands still. The daemon's gate takes none that lay there when it goes on; whether
// the caller hears that is unknown to it by then.
func (o *operators) gated(n *Node) bool { return n.frozen && !o.ungated }

// base is the newest version that operators know to be or have been in force.
func (o *operators) base() *version {
	var v *version
	for _, x := range o.s.rules.versions {
		if (x.acked > 0 || x.seen) && (v == nil || x.revision > v.revision) {
			v = x
		}
	}
	return v
}

// inForce notes that a version was in force; one that was refused must never be.
func (o *operators) inForce(v *version) {
	v.seen = true
	if v.denied {
		o.s.rules.breach(RuleAcceptedRejected, fmt.Sprint(v.revision), "it was refused, and is in force")
	}
}

// denied judges the refusal of a proper change: it must not have been taken, and another must be or may be.
func (o *operators) denied(d *order, n *Node) {
	v := d.v
	v.denied = true
	switch {
	case v.seen || v.acked > 0:
		o.s.rules.breach(RuleAcceptedRejected, fmt.Sprint(v.revision), "by %s", n.Name)
	case !o.rivalled(d):
		o.s.rules.breach(RuleNeedlessRejection, fmt.Sprint(v.revision), "by %s, on top of %d", n.Name, d.base)
	}
	o.learn(n)
}

// rivalled tells whether another change may have been taken on top of the order's base or later.
func (o *operators) rivalled(d *order) bool {
	for _, x := range o.s.rules.versions {
		if x != d.v && !x.flawed && x.revision > d.base && x.base >= d.base && (!x.denied || x.seen) {
			return true
		}
	}
	return false
}

// overtaken tells that another change on top of the same version was acknowledged, so that the order's own can't be any more.
func (o *operators) overtaken(d *order) bool {
	for _, x := range o.s.rules.versions {
		if x != d.v && x.acked > 0 && x.base == d.base {
			return true
		}
	}
	return false
}

// learn reads the configuration at the node that refused a change, so that the next builds on what is in force.
func (o *operators) learn(n *Node) {
	if n.Alive {
		o.read(n)
	}
}

// read asks a node for the configuration and judges it by what was acknowledged before the call.
func (o *operators) read(n *Node) {
	sent := o.s.w.Now
	due := o.s.rules.newest()
	o.s.w.After(clientDelay, func() {
		o.s.w.Call(n, control.Get{}, func(a control.Answer) {
			if a.Err != nil || a.Value == nil || o.s.w.Now-sent > callAnew {
				return
			}
			o.found(n, a.Value.Document, due)
		})
	})
}

func (o *operators) found(n *Node, body []byte, due *version) {
	at, err := revisionIn(body)
	if err != nil || at == 0 {
		return
	}
	o.s.report.ConfigReads++
	if due != nil && at < due.revision {
		o.s.rules.breach(RuleStaleRead, n.Name, "revision %d, %d was acknowledged", at, due.revision)
	}
	for _, v := range o.s.rules.versions {
		if v.revision == at && !v.flawed && bytes.Equal(v.raw, body) {
			o.inForce(v)
		}
	}
}

// reads asks one node after the other for the configuration.
func (o *operators) reads(until, gap time.Duration) {
	w := o.s.w
	if w.Now >= until {
		return
	}
	if n := w.Nodes[o.rng.IntN(len(w.Nodes))]; n.Alive {
		o.read(n)
	}
	w.After(gap, func() { o.reads(until, gap) })
}

// rapid sends a change each gap, with up to mostUnderWay of them not settled.
func (o *operators) rapid(until, gap time.Duration, count int) {
	if o.s.w.Now >= until {
		return
	}
	base := o.base()
	if base != nil && o.underWay < mostUnderWay {
		o.underWay++
		o.put(o.vary, func(v *version, ok bool) {
			o.underWay--
			if ok && count%lookEvery == 0 {
				o.looks(base, v)
			}
		})
	}
	o.s.w.After(gap, func() { o.rapid(until, gap, count+1) })
}

// sameNumber has two operators pick one number for different changes of the same version.
func (o *operators) sameNumber(times int, gap time.Duration) {
	if times == 0 {
		return
	}
	if base := o.base(); base != nil {
		number := o.revision()
		for i := range 2 {
			version := time.Duration(i+1) * time.Millisecond
			o.put2(base, number, func(c *config.Config) {
				o.vary(c)
				c.Routes[0].Timeout += version
			}, nil)
		}
	}
	o.s.w.After(gap, func() { o.sameNumber(times-1, gap) })
}

// repeats sends changes anew that were acknowledged at any time before.
func (o *operators) repeats(until, gap time.Duration) {
	if o.s.w.Now >= until {
		return
	}
	if len(o.taken) > 0 {
		old := o.taken[o.rng.IntN(len(o.taken))]
		o.send(&order{op: old.op, v: old.v, base: old.base, repeated: true})
	}
	o.s.w.After(gap, func() { o.repeats(until, gap) })
}

// repeated judges the answer to a change that was taken before: never a refusal.
func (o *operators) repeated(d *order, n *Node, f fate) {
	o.s.report.ResentChanges++
	if f == refused {
		o.s.rules.breach(RuleAcceptedRejected, fmt.Sprint(d.v.revision), "by %s, %s after it was acknowledged", n.Name, o.s.w.Now-d.v.acked)
	}
}

// sent tells whether a document is one that was sent under its number, and the one that was acknowledged if any was.
func (r *rules) sent(revision uint64, body []byte) bool {
	known, right := false, false
	for _, v := range r.versions {
		if v.revision != revision || v.flawed {
			continue
		}
		same := bytes.Equal(v.raw, body)
		if v.acked > 0 {
			return same
		}
		known, right = true, right || same
	}
	return right || !known
}
