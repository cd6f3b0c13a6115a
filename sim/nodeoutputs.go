package sim

import (
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/router"
)

func (n *Node) carry(out control.Output) {
	w := n.w
	n.sendAll(out.Sends)
	if len(out.Writes) > 0 {
		n.unsent = append(n.unsent, out.Writes...)
		n.save()
	}
	if out.ReadReplicaList {
		n.list()
	}
	for _, ev := range out.Events {
		n.decide(n.turn(ev))
		if o, ok := ev.(router.SnapshotUpdate); ok {
			w.Audit.applies(n)
			n.watch(o.Snapshot)
		}
	}
	for _, p := range out.Probes {
		n.probe(p)
	}
	for _, name := range out.Reconnects {
		n.watchers[name].poke()
	}
	n.logAll(out.Changes)
	for _, a := range out.Answers {
		if done := w.answers[a.ID]; done != nil {
			delete(w.answers, a.ID)
			done(a)
		}
	}
}

func (n *Node) sendAll(sends []control.Send) {
	w := n.w
	for _, s := range sends {
		to := w.byAddr[s.To]
		if to == nil {
			continue
		}
		if to.foreign(s.Msg) {
			w.Audit.breach(UnreadableFrame, to.Name, fmt.Sprintf("%T from %s", s.Msg, n.Name))
			continue
		}
		msgs, delays := w.Net.Deliver(n.Addr, s.To, n.Zone == to.Zone, s.Msg, fmt.Sprintf("%T", s.Msg))
		for i, m := range msgs {
			w.After(delays[i], func() { to.step(control.Received{From: n.Addr, Build: n.speaks(), Msg: m}) })
		}
	}
}

func (n *Node) logAll(changes []control.Change) {
	for _, c := range changes {
		n.w.Tracef("%s %s: %s", n.Name, c.What, c.Detail)
		if n.w.trap != nil {
			n.w.trap(n, c.What)
		}
	}
}

func (n *Node) save() {
	if n.saving || n.stall || len(n.unsent) == 0 {
		return
	}
	n.saving = true
	batch := n.unsent
	n.unsent = nil
	d := time.Millisecond + time.Duration(n.w.rng.Int64N(int64(4*time.Millisecond))) + n.slow
	n.later(d, func() {
		n.saving = false
		err := n.journal.Append(batch)
		n.step(control.Persisted{Seq: batch[len(batch)-1].Seq, Err: err})
		n.save()
		if err != nil && n.w.site != nil && !n.repairing {
			n.repairDisk()
		}
	})
}
