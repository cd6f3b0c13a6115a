package sim

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

// operators send orders, which are operator requests, to random nodes and repeat each at other nodes until a response has a clear outcome.
type operators struct {
	s   *site
	rng *rand.Rand
	// lastRevision is the newest revision number used, lastOrder the number of the newest order id.
	lastRevision uint64
	lastOrder    int
	// onNextAck is called once, right after the next acknowledgement, with the node that sent it.
	onNextAck func(n *Node)
	// pauseGuardDisabled makes nodes execute orders that waited in the socket while the node was frozen.
	pauseGuardDisabled bool
	// inFlight counts the rapid changes that are not settled yet.
	inFlight int
	// ackLosses are the times in which responses to operators are lost.
	ackLosses []ackLoss
	// accepted are the acknowledged changes, which may be sent again.
	accepted []*order
}

// order is one operator request, sent unchanged to one node after the other.
type order struct {
	op           control.Op
	version      *version
	baseRevision uint64
	// sentAt is when the order was first sent, giveUpAt when it is no longer repeated.
	sentAt   time.Duration
	giveUpAt time.Duration
	calls    int
	settled  bool
	// unclear is set if a call may have been executed without a clear response.
	unclear bool
	// untilAcked makes operators repeat the order without a time limit.
	untilAcked bool
	// responseLost is set if a response to the order was lost; repeated if the order was acknowledged before and is sent again.
	responseLost, repeated bool
	onSettled              func(acked bool)
}

// outcome is the outcome of a call or an order.
type outcome uint8

const (
	acknowledged outcome = iota + 1
	rejected
	unclear
)

// outcomeOf returns the outcome of a call: a conflict or an invalid configuration is a rejection, any other error is unclear.
func outcomeOf(err error) outcome {
	var conflict *register.ConflictError
	var bad *config.InvalidError
	switch {
	case err == nil:
		return acknowledged
	case errors.As(err, &conflict), errors.As(err, &bad):
		return rejected
	}
	return unclear
}

// callTimeout is how long operators wait for a response before they try another node.
const callTimeout = time.Second

// send sends an order until it is settled.
func (o *operators) send(d *order) {
	d.sentAt, d.giveUpAt = o.s.w.Now, o.s.w.Now+o.s.spec.Bounds.Ack+2*time.Second
	if d.untilAcked {
		d.giveUpAt = never
	}
	if d.version != nil && !d.repeated {
		o.s.rules.versionSent(d.version)
		d.version.base, d.version.rejected = d.baseRevision, d.version.invalid
	}
	o.call(d, 100*time.Millisecond)
}

// call sends the order to a random node. Until the order is settled, it is sent again: after pause if the node is down or the outcome is unclear,
// after callTimeout if there is no response.
func (o *operators) call(d *order, pause time.Duration) {
	w := o.s.w
	if d.settled {
		return
	}
	if w.Now >= d.giveUpAt {
		o.settle(d, nil, unclear)
		return
	}
	d.calls++
	call := d.calls
	retryAfter := func(wait time.Duration) {
		w.After(wait, func() {
			if call == d.calls {
				o.call(d, min(2*pause, time.Second))
			}
		})
	}
	n := w.Nodes[o.rng.IntN(len(w.Nodes))]
	if !n.Alive {
		retryAfter(pause)
		return
	}
	sent := w.Now
	w.After(clientDelay, func() {
		if o.rejectedByPauseGuard(n) {
			d.unclear = true
			return
		}
		w.Call(n, o.opFor(d), func(a control.Answer) {
			ignored := w.Now-sent > callTimeout || call != d.calls
			if o.callReturned(d, n, a, ignored) {
				retryAfter(pause)
			}
		})
	})
	retryAfter(callTimeout)
}

// callReturned handles the response to one call of an order, and reports whether the order must be sent again. ignored is set
// if the response came after callTimeout or after a newer call.
func (o *operators) callReturned(d *order, n *Node, a control.Answer, ignored bool) bool {
	result := outcomeOf(a.Err)
	switch {
	case o.losesAck():
		d.unclear, d.responseLost = true, true
		o.extendDeadline(d)
	case d.settled || ignored:
		d.unclear = true
	case result == unclear:
		d.unclear = true
		return true
	default:
		o.settle(d, n, result)
	}
	return false
}

// checkConflictingAck checks that no other change on top of the same revision, or with the same revision number, was acknowledged.
func (o *operators) checkConflictingAck(v *version, d *order) {
	for _, other := range o.s.rules.versions {
		if other != v && other.ackedAt > 0 && (other.base == d.baseRevision && d.baseRevision > 0 || other.revision == v.revision) {
			o.s.rules.breach(RuleInvalidAccepted, fmt.Sprint(v.revision), "and %d were both accepted on top of %d", other.revision, d.baseRevision)
		}
	}
}

func (o *operators) id() string {
	o.lastOrder++
	return fmt.Sprintf("order-%d", o.lastOrder)
}

// revision returns a new revision number, which may skip some.
func (o *operators) revision() uint64 {
	o.lastRevision += 1 + uint64(o.rng.IntN(3))
	return o.lastRevision
}

// putFirst puts the first configuration until it is accepted.
func (o *operators) putFirst() {
	c := o.s.spec.firstConfig()
	c.Revision = o.revision()
	v := &version{revision: c.Revision, doc: c, raw: writeDocument(c)}
	o.send(&order{op: control.Edit{ID: o.id(), Apply: putEdit(0, v.raw)}, version: v, untilAcked: true})
}

// put changes the newest known configuration with vary, and sends the result as a whole document or as a patch.
func (o *operators) put(vary func(c *config.Config), end func(v *version, acked bool)) {
	base := o.base()
	if base == nil {
		return
	}
	o.putOn(base, o.revision(), vary, end)
}

// putOn sends a change of base under a given revision number.
func (o *operators) putOn(base *version, revision uint64, vary func(c *config.Config), end func(v *version, acked bool)) {
	c := base.clone()
	vary(&c)
	c.Revision = revision
	v := &version{revision: c.Revision, doc: c, raw: writeDocument(c)}
	e := putEdit(base.revision, v.raw)
	if o.rng.IntN(2) == 0 {
		e = patchEdit(base.revision, c.Revision, c.Routes, removedRoutes(base.doc.Routes, c.Routes))
		v.raw, _ = e(base.raw)
	}
	o.send(&order{op: control.Edit{ID: o.id(), BaseRevision: base.revision, Apply: e}, version: v, baseRevision: base.revision, onSettled: func(ok bool) {
		if end != nil {
			end(v, ok)
		}
	}})
}

func (v *version) clone() config.Config {
	c := v.doc
	c.Routes = append([]config.Route(nil), c.Routes...)
	return c
}

// removedRoutes returns the names of routes that only old has.
func removedRoutes(old, added []config.Route) []string {
	kept := map[string]bool{}
	for _, r := range added {
		kept[r.Name] = true
	}
	var names []string
	for _, r := range old {
		if !kept[r.Name] {
			names = append(names, r.Name)
		}
	}
	return names
}
