package sim

import (
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

// Call runs an operation at a node and has done called with its answer; a node that goes down meanwhile answers a NodeDownError after 6 s.
func (w *World) Call(n *Node, op control.Op, done func(a control.Answer)) {
	w.asks++
	id := w.asks
	w.answers[id] = done
	incarnation := n.incarnation
	n.step(control.Command{ID: id, Op: op})
	w.After(6*time.Second, func() {
		if w.answers[id] != nil && (n.incarnation != incarnation || !n.Alive) {
			delete(w.answers, id)
			done(control.Answer{ID: id, Err: &NodeDownError{Node: n.Name}})
		}
	})
}

// NodeDownError says that a node went down before it answered.
type NodeDownError struct{ Node string }

func (e *NodeDownError) Error() string { return e.Node + " went down with the answer" }

// Put puts a configuration at a node and has it audited.
func (w *World) Put(n *Node, expect uint64, body []byte, done func(a control.Answer)) {
	w.asks++
	op := control.Put{ID: fmt.Sprintf("put-%d", w.asks), ExpectedVersion: expect, Document: body}
	c := w.Audit.offered(expect, body)
	w.Call(n, op, func(a control.Answer) {
		c.answered(a)
		if a.Err == nil {
			w.Audit.accepted(n, a.Value)
		}
		done(a)
	})
}

// Evacuate empties a zone at a node, or takes that back, and has it audited.
func (w *World) Evacuate(n *Node, zone string, restore bool, done func(a control.Answer)) {
	w.asks++
	w.Call(n, control.Evacuate{ID: fmt.Sprintf("empty-%d", w.asks), Zone: zone, Restore: restore}, func(a control.Answer) {
		if a.Err == nil {
			w.Audit.accepted(n, a.Value)
			w.Audit.emptied(n, zone, !restore)
		}
		done(a)
	})
}
