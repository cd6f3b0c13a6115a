package sim

import (
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

// Call runs an operation at a node and calls done with the result. If the node goes down in the meantime, done gets a NodeDownError after 6 s.
func (w *World) Call(n *Node, op control.Op, done func(a control.Answer)) {
	w.lastID++
	id := w.lastID
	w.pendingCalls[id] = done
	incarnation := n.incarnation
	n.step(control.Command{ID: id, Op: op})
	w.After(6*time.Second, func() {
		if w.pendingCalls[id] != nil && (n.incarnation != incarnation || !n.Alive) {
			delete(w.pendingCalls, id)
			done(control.Answer{ID: id, Err: &NodeDownError{Node: n.Name}})
		}
	})
}

// NodeDownError means that a node went down before it responded.
type NodeDownError struct{ Node string }

func (e *NodeDownError) Error() string { return e.Node + " went down before it responded" }

// Put puts a configuration at a node and audits it.
func (w *World) Put(n *Node, expect uint64, body []byte, done func(a control.Answer)) {
	w.lastID++
	op := control.Put{ID: fmt.Sprintf("put-%d", w.lastID), ExpectedVersion: expect, Document: body}
	c := w.Audit.configSent(expect, body)
	w.Call(n, op, func(a control.Answer) {
		c.setOutcome(a)
		if a.Err == nil {
			w.Audit.configAccepted(n, a.Value)
		}
		done(a)
	})
}

// Evacuate evacuates a zone through a node, or ends the evacuation, and audits it.
func (w *World) Evacuate(n *Node, zone string, restore bool, done func(a control.Answer)) {
	w.lastID++
	w.Call(n, control.Evacuate{ID: fmt.Sprintf("empty-%d", w.lastID), Zone: zone, Restore: restore}, func(a control.Answer) {
		if a.Err == nil {
			w.Audit.configAccepted(n, a.Value)
			w.Audit.zoneEvacuated(n, zone, !restore)
		}
		done(a)
	})
}
