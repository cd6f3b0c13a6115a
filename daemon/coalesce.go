package daemon

import (
	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/router"
)

// coalescer passes events from the control loop to the router without blocking the control loop. If the router is slow, an event that a later
// one replaces is dropped, which bounds the queue.
type coalescer struct {
	in  chan router.Event
	out chan router.Event
}

type queuedEvent struct {
	key string
	ev  router.Event
}

func newCoalescer(t *tomb.Tomb, notify func(ev router.Event)) *coalescer {
	c := &coalescer{in: make(chan router.Event), out: make(chan router.Event)}
	t.Go(func() error { return c.run(t) })
	t.Go(func() error {
		for {
			select {
			case <-t.Dying():
				return nil
			case ev := <-c.out:
				notify(ev)
			}
		}
	})
	return c
}

// run queues events until the router receives them.
func (c *coalescer) run(t *tomb.Tomb) error {
	var q []queuedEvent
	for {
		var out chan router.Event
		var first router.Event
		if len(q) > 0 {
			out, first = c.out, q[0].ev
		}
		select {
		case <-t.Dying():
			return nil
		case ev := <-c.in:
			q = enqueue(q, ev)
		case out <- first:
			q = q[1:]
		}
	}
}

// enqueue appends an event and removes the earlier event that it replaces.
func enqueue(q []queuedEvent, ev router.Event) []queuedEvent {
	key := coalesceKey(ev)
	for i := range q {
		if q[i].key == key {
			q = append(q[:i:i], q[i+1:]...)
			break
		}
	}
	return append(q, queuedEvent{key: key, ev: ev})
}

// coalesceKey returns a key such that an event replaces earlier events with the same key. A new follower receives the latest events in the
// order of their keys, so the snapshot comes first.
func coalesceKey(ev router.Event) string {
	switch e := ev.(type) {
	case router.SnapshotUpdate:
		return "0"
	case router.Routers:
		return "1"
	case router.LoadReport:
		return "2" + e.Replica
	case router.Listing:
		return "3" + e.Replica
	case router.ReplicaList:
		return "1r"
	case router.ControlStatus:
		return "4"
	case router.ReplicaSuspect:
		return "5" + e.Replica
	case router.Failures:
		return "6" + e.By
	}
	return ""
}

// notify passes an event to the router, through the coalescer.
func (d *Daemon) notify(ev router.Event) {
	select {
	case d.coalescer.in <- ev:
	case <-d.Tomb.Dying():
	}
}
