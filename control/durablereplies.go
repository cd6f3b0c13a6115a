package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
)

// NoOp is a log entry that changes nothing. It is written before the first reply of an incarnation. What the node read from its disk at
// start may have been written by a process that was killed before its sync, and could still be lost in a power failure; the sync of this
// entry makes it durable.
type NoOp struct{}

const (
	// stalledAfter is how long a write may take before the disk counts as degraded.
	stalledAfter = time.Second
	// MaxPendingReplies is the maximum number of replies that wait for the disk; requests beyond it are dropped.
	MaxPendingReplies = 256
)

type pendingReply struct {
	seq  uint64
	send Send
}

// durableReplies are the acceptor's replies that wait until the state they depend on is on the disk. They are sent in the order of the
// writes.
type durableReplies struct {
	// lastSeq is the sequence number of the last write, 0 before the first.
	lastSeq uint64
	pending []pendingReply
	// pendingSince is when the oldest pending reply became the oldest one.
	pendingSince time.Duration
	// err is the error of the last write; no reply is sent until the disk is repaired.
	err error
}

// accepts reports whether a request to this voter may be handled.
func (d *durableReplies) accepts() bool { return d.err == nil && len(d.pending) < MaxPendingReplies }

// write returns the log write for an entry, with the next sequence number.
func (d *durableReplies) write(now time.Duration, entry LogEntry) LogWrite {
	d.lastSeq++
	if len(d.pending) == 0 {
		d.pendingSince = now
	}
	return LogWrite{Seq: d.lastSeq, Entry: entry}
}

// enqueue keeps a reply until all writes so far are durable.
func (d *durableReplies) enqueue(s Send) {
	d.pending = append(d.pending, pendingReply{seq: d.lastSeq, send: s})
}

// release removes and returns the replies that depend only on writes up to seq.
func (d *durableReplies) release(now time.Duration, seq uint64) []Send {
	var sends []Send
	for len(d.pending) > 0 && d.pending[0].seq <= seq {
		sends = append(sends, d.pending[0].send)
		d.pending = d.pending[1:]
		d.pendingSince = now
	}
	return sends
}

// fail records a write error and drops the pending replies: the state they depend on is not on the disk.
func (d *durableReplies) fail(err error) { d.err, d.pending = err, nil }

func (d *durableReplies) stalled(now time.Duration) bool {
	return len(d.pending) > 0 && now-d.pendingSince > stalledAfter
}

// reply sends a reply once the entry and all earlier ones are on the disk. A nil entry means that there is nothing to write for this reply.
func (n *Node) reply(now time.Duration, s Send, entry LogEntry) {
	if n.disk.lastSeq == 0 && entry == nil {
		entry = NoOp{}
	}
	if entry == nil && len(n.disk.pending) == 0 {
		n.send(s.To, s.Msg)
		return
	}
	if entry != nil {
		n.out.Writes = append(n.out.Writes, n.disk.write(now, entry))
	}
	n.disk.enqueue(s)
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
