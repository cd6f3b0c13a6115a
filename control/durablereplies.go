package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
)

// NoOp is a log entry that changes nothing. It is written before the first answer of an incarnation, for what the node read from its
// disk may have been written by a process that was killed before its sync, and a loss of power may yet take it back.
type NoOp struct{}

const (
	// stalledAfter is how long a write may take until the disk counts as degraded.
	stalledAfter = time.Second
	// MaxPendingReplies is the most replies that wait for the disk; requests beyond it are dropped.
	MaxPendingReplies = 256
)

type pendingReply struct {
	ticket uint64
	send   Send
}

// durableReplies are the voter's answers that wait until what they tell is on the disk. They leave in the order of the writes.
type durableReplies struct {
	// ticket numbers the last write, 0 before the first.
	ticket  uint64
	pending []pendingReply
	// pendingSince is when the first of the pending answers began to be the first.
	pendingSince time.Duration
	// err is why the last write failed; nothing is answered until the disk is repaired.
	err error
}

// accepts tells whether a request to the voter may be taken.
func (d *durableReplies) accepts() bool { return d.err == nil && len(d.pending) < MaxPendingReplies }

// write numbers an entry for the log.
func (d *durableReplies) write(now time.Duration, entry LogEntry) LogWrite {
	d.ticket++
	if len(d.pending) == 0 {
		d.pendingSince = now
	}
	return LogWrite{Seq: d.ticket, Entry: entry}
}

// hold keeps an answer until all writes so far are durable.
func (d *durableReplies) hold(s Send) {
	d.pending = append(d.pending, pendingReply{ticket: d.ticket, send: s})
}

// release gives the answers for which the writes up to ticket suffice.
func (d *durableReplies) release(now time.Duration, ticket uint64) []Send {
	var sends []Send
	for len(d.pending) > 0 && d.pending[0].ticket <= ticket {
		sends = append(sends, d.pending[0].send)
		d.pending = d.pending[1:]
		d.pendingSince = now
	}
	return sends
}

// fail drops the answers that wait: what they would tell is not on the disk.
func (d *durableReplies) fail(err error) { d.err, d.pending = err, nil }

func (d *durableReplies) stalled(now time.Duration) bool {
	return len(d.pending) > 0 && now-d.pendingSince > stalledAfter
}

// reply answers a request to the voter once the entry is on the disk, with all before it; nil: there is nothing to write.
func (n *Node) reply(now time.Duration, s Send, entry LogEntry) {
	if n.disk.ticket == 0 && entry == nil {
		entry = NoOp{}
	}
	if entry == nil && len(n.disk.pending) == 0 {
		n.send(s.To, s.Msg)
		return
	}
	if entry != nil {
		n.out.Writes = append(n.out.Writes, n.disk.write(now, entry))
	}
	n.disk.hold(s)
}

func (n *Node) onPersisted(now time.Duration, s Persisted) {
	if s.Err != nil {
		n.disk.fail(s.Err)
		n.logChange(ChangeDiskFailed, s.Err.Error())
		n.setDegraded(now, true)
		return
	}
	if n.disk.err != nil && s.Repaired {
		n.disk.err = nil
		n.logChange(ChangeDiskRecovered, "")
	}
	for _, reply := range n.disk.release(now, s.Seq) {
		n.send(reply.To, reply.Msg)
	}
}

func (n *Node) checkDisk(now time.Duration) {
	if n.acceptor != nil && n.disk.err == nil {
		n.setDegraded(now, n.disk.stalled(now))
	}
}

func (n *Node) setDegraded(now time.Duration, degraded bool) {
	if n.Members.Self.Degraded == degraded {
		return
	}
	health := "healthy"
	if degraded {
		health = "degraded"
	}
	n.logChange(ChangeDiskHealth, health)
	n.Members.Update(now, func(m *membership.Member) { m.Degraded = degraded })
}
