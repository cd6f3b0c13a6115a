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

// operators send orders to any node and repeat them elsewhere until one answers clearly.
type operators struct {
	s    *site
	rng  *rand.Rand
	last uint64
	n    int
	// acked is called once, right after the next order that is acknowledged.
	acked func(n *Node)
	// ungated takes the gate out, for orders that lay in the socket of a node that stood still.
	ungated bool
	// underWay is how many changes of a rapid run are not settled yet.
	underWay int
	// losses are the times in which answers to operators are lost.
	losses []ackLoss
	// taken are the changes that were acknowledged, to be sent again.
	taken []*order
}

// An order is one call of an operator, sent unchanged to node after node.
type order struct {
	op      control.Op
	v       *version
	base    uint64
	from    time.Duration
	until   time.Duration
	calls   int
	over    bool
	unclear bool
	forced  bool
	// answerLost says that an answer to it was lost on its way; repeated that it was acknowledged before.
	answerLost, repeated bool
	end                  func(acked bool)
}

type fate uint8

const (
	acked fate = iota + 1
	refused
	unclear
)

func fateOf(err error) fate {
	var conflict *register.ConflictError
	var bad *config.InvalidError
	switch {
	case err == nil:
		return acked
	case errors.As(err, &conflict), errors.As(err, &bad):
		return refused
	}
	return unclear
}

const callAnew = time.Second

func (o *operators) send(d *order) {
	d.from, d.until = o.s.w.Now, o.s.w.Now+o.s.spec.Bounds.Ack+2*time.Second
	if d.forced {
		d.until = never
	}
	if d.v != nil && !d.repeated {
		o.s.rules.offered(d.v)
		d.v.base, d.v.refused = d.base, d.v.flawed
	}
	o.try(d, 100*time.Millisecond)
}

func (o *operators) try(d *order, pause time.Duration) {
	w := o.s.w
	if d.over {
		return
	}
	if w.Now >= d.until {
		o.finishOrder(d, nil, unclear)
		return
	}
	d.calls++
	call := d.calls
	next := func(wait time.Duration) {
		w.After(wait, func() {
			if call == d.calls {
				o.try(d, min(2*pause, time.Second))
			}
		})
	}
	n := w.Nodes[o.rng.IntN(len(w.Nodes))]
	if !n.Alive {
		next(pause)
		return
	}
	sent := w.Now
	w.After(clientDelay, func() {
		if o.gated(n) {
			d.unclear = true
			return
		}
		w.Call(n, o.callOf(d), func(a control.Answer) {
			overdue := w.Now-sent > callAnew || call != d.calls
			if o.answered(d, n, a, overdue) {
				next(pause)
			}
		})
	})
	next(callAnew)
}

// answered takes in the answer to one call of an order, and tells whether another is to follow it. Nobody waits for a late one any more.
func (o *operators) answered(d *order, n *Node, a control.Answer, overdue bool) bool {
	f := fateOf(a.Err)
	switch {
	case o.loses():
		d.unclear, d.answerLost = true, true
		o.extend(d)
	case d.over || overdue:
		d.unclear = true
	case f == unclear:
		d.unclear = true
		return true
	default:
		o.finishOrder(d, n, f)
	}
	return false
}

// rival looks for another change that was taken on top of the same version.
func (o *operators) rival(v *version, d *order) {
	for _, x := range o.s.rules.versions {
		if x != v && x.acked > 0 && (x.base == d.base && d.base > 0 || x.revision == v.revision) {
			o.s.rules.breach(RuleInvalidAccepted, fmt.Sprint(v.revision), "and %d, both on top of %d", x.revision, d.base)
		}
	}
}

func (o *operators) id() string {
	o.n++
	return fmt.Sprintf("order-%d", o.n)
}

func (o *operators) revision() uint64 {
	o.last += 1 + uint64(o.rng.IntN(3))
	return o.last
}

// open puts the first document, again and again until it is taken.
func (o *operators) open() {
	c := o.s.spec.first()
	c.Revision = o.revision()
	v := &version{revision: c.Revision, doc: c, raw: writeDocument(c)}
	o.send(&order{op: control.Edit{ID: o.id(), Apply: putEdit(0, v.raw)}, v: v, forced: true})
}

// put replaces the document by what vary makes of the newest one; patch says only what differs.
func (o *operators) put(vary func(c *config.Config), end func(v *version, acked bool)) {
	base := o.base()
	if base == nil {
		return
	}
	o.put2(base, o.revision(), vary, end)
}

func (o *operators) put2(base *version, revision uint64, vary func(c *config.Config), end func(v *version, acked bool)) {
	c := base.clone()
	vary(&c)
	c.Revision = revision
	v := &version{revision: c.Revision, doc: c, raw: writeDocument(c)}
	e := putEdit(base.revision, v.raw)
	if o.rng.IntN(2) == 0 {
		e = patchEdit(base.revision, c.Revision, c.Routes, gone(base.doc.Routes, c.Routes))
		v.raw, _ = e(base.raw)
	}
	o.send(&order{op: control.Edit{ID: o.id(), BaseVersion: base.revision, Apply: e}, v: v, base: base.revision, end: func(ok bool) {
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

func gone(old, added []config.Route) []string {
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
