package sim

import (
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/router"
)

// handleOutput performs the outputs of a step of the control state machine.
func (n *Node) handleOutput(out control.Output) {
	w := n.w
	n.sendAll(out.Sends)
	if len(out.Writes) > 0 {
		n.unwritten = append(n.unwritten, out.Writes...)
		n.writeJournal()
	}
	if out.ReadReplicaList {
		n.readReplicaList()
	}
	for _, ev := range out.Events {
		n.handleDecisions(n.stepRouter(ev))
		if o, ok := ev.(router.SnapshotUpdate); ok {
			w.Audit.snapshotApplied(n)
			n.watchReplicas(o.Snapshot)
		}
	}
	for _, p := range out.Probes {
		n.probe(p)
	}
	for _, name := range out.Reconnects {
		n.watchers[name].reconnect()
	}
	n.traceChanges(out.Changes)
	for _, a := range out.Answers {
		if done := w.pendingCalls[a.ID]; done != nil {
			delete(w.pendingCalls, a.ID)
			done(a)
		}
	}
}

// sendAll sends messages to other nodes. A message that the receiver's build cannot read is a breach.
func (n *Node) sendAll(sends []control.Send) {
	w := n.w
	for _, s := range sends {
		to := w.nodesByAddr[s.To]
		if to == nil {
			continue
		}
		if to.cannotRead(s.Msg) {
			w.Audit.breach(UnreadableFrame, to.Name, fmt.Sprintf("%T from %s", s.Msg, n.Name))
			continue
		}
		msgs, delays := w.Net.Deliver(n.Addr, s.To, n.Zone == to.Zone, s.Msg, fmt.Sprintf("%T", s.Msg))
		for i, m := range msgs {
			w.After(delays[i], func() { to.step(control.Received{From: n.Addr, Build: n.buildNumber(), Msg: m}) })
		}
	}
}

func (n *Node) traceChanges(changes []control.Change) {
	for _, c := range changes {
		n.w.Tracef("%s %s: %s", n.Name, c.What, c.Detail)
		if n.w.onControlChange != nil {
			n.w.onControlChange(n, c.What)
		}
	}
}

// writeJournal writes all waiting entries in one batch, after the write in progress.
func (n *Node) writeJournal() {
	if n.writing || n.diskStalled || len(n.unwritten) == 0 {
		return
	}
	n.writing = true
	batch := n.unwritten
	n.unwritten = nil
	d := time.Millisecond + time.Duration(n.w.rng.Int64N(int64(4*time.Millisecond))) + n.syncDelay
	n.later(d, func() {
		n.writing = false
		err := n.journal.Append(batch)
		n.step(control.Persisted{Seq: batch[len(batch)-1].Seq, Err: err})
		n.writeJournal()
		if err != nil && n.w.site != nil && !n.repairing {
			n.repairDisk()
		}
	})
}
