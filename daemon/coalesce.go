package daemon

import (
	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge"
)

// A coalescer passes events from the owner of control state to the router and never makes the former wait: an event that a later one
// replaces is dropped.
type coalescer struct {
	in  chan mallowbridge.Event
	out chan mallowbridge.Event
}

type queued struct {
	key string
	ev  mallowbridge.Event
}

func newCoalescer(t *tomb.Tomb, to func(ev mallowbridge.Event)) *coalescer {
	v := &coalescer{in: make(chan mallowbridge.Event), out: make(chan mallowbridge.Event)}
	t.Go(func() error { return v.run(t) })
	t.Go(func() error {
		for {
			select {
			case <-t.Dying():
				return nil
			case ev := <-v.out:
				to(ev)
			}
		}
	})
	return v
}

func (v *coalescer) run(t *tomb.Tomb) error {
	var q []queued
	for {
		var out chan mallowbridge.Event
		var first mallowbridge.Event
		if len(q) > 0 {
			out, first = v.out, q[0].ev
		}
		select {
		case <-t.Dying():
			return nil
		case ev := <-v.in:
			q = enqueue(q, ev)
		case out <- first:
			q = q[1:]
		}
	}
}

func enqueue(q []queued, ev mallowbridge.Event) []queued {
	key := keyOf(ev)
	for i := range q {
		if q[i].key == key {
			q = append(q[:i:i], q[i+1:]...)
			break
		}
	}
	return append(q, queued{key: key, ev: ev})
}

// keyOf names what a later event of the same key makes void; its order is the order for a newcomer.
func keyOf(ev mallowbridge.Event) string {
	switch e := ev.(type) {
	case mallowbridge.SnapshotUpdate:
		return "0"
	case mallowbridge.Routers:
		return "1"
	case mallowbridge.LoadReport:
		return "2" + e.Replica
	case mallowbridge.Listing:
		return "3" + e.Replica
	case mallowbridge.ReplicaList:
		return "1r"
	case mallowbridge.ControlStatus:
		return "4"
	case mallowbridge.ReplicaSuspect:
		return "5" + e.Replica
	case mallowbridge.Failures:
		return "6" + e.By
	}
	return ""
}

func (h *Daemon) notify(ev mallowbridge.Event) {
	select {
	case h.coalescer.in <- ev:
	case <-h.Tomb.Dying():
	}
}
