package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

// Promised is the log entry of a promise to a ballot.
type Promised struct{ Ballot register.Ballot }

// AcceptedEntry is the log entry of an accepted value.
type AcceptedEntry struct {
	Ballot register.Ballot
	Value  *register.Value
}

// Granted is the log entry of a lease that was granted.
type Granted struct {
	Role   string
	Record lease.Record
}

// Opened is a log entry that changes nothing. It is written before the first answer of a life, for what the node read from its disk may have been written
// by a process that was killed before its sync, and a loss of power may yet take it back.
type Opened struct{}

const (
	// stalledAfter is how long a write may take until the disk counts as unfit.
	stalledAfter = time.Second
	// MaxPendingReplies is the most replies that wait for the disk; requests beyond it are dropped.
	MaxPendingReplies = 256
)

func (n *Node) handleRegister(now time.Duration, r Received) {
	switch m := r.Msg.(type) {
	case register.Promise:
		n.proposer.OnPromise(now, m)
		return
	case register.Accepted:
		n.proposer.OnAccepted(now, m)
		return
	case lease.Grant:
		if n.value != nil {
			n.leases.OnGrant(now, m, n.value)
		}
		return
	}
	if n.acceptor == nil || n.diskErr != nil || len(n.pendingReplies) >= MaxPendingReplies {
		return
	}
	switch m := r.Msg.(type) {
	case register.Prepare:
		a, write := n.acceptor.Prepare(m)
		n.reply(now, r.From, a, a.Disk != "", write, Promised{Ballot: m.Ballot})
	case register.Accept:
		a, write := n.acceptor.Accept(m)
		if a.OK {
			n.grantor.ChangeEpoch(now, m.Value.Epoch)
		}
		n.reply(now, r.From, a, a.Disk != "", write, AcceptedEntry{Ballot: m.Ballot, Value: m.Value})
	case lease.Request:
		g, write := n.grantor.HandleRequest(now, m)
		n.reply(now, r.From, g, g.Disk != "", write, Granted{Role: m.Role, Record: lease.Record{Holder: m.Holder, Token: m.Token}})
	case lease.Release:
		n.grantor.HandleRelease(m)
	}
}

func (n *Node) reply(now time.Duration, to string, msg any, ours, write bool, entry LogEntry) {
	if !ours {
		return
	}
	if n.ticket == 0 && !write {
		write, entry = true, Opened{}
	}
	if write {
		n.ticket++
		n.out.Writes = append(n.out.Writes, LogWrite{Ticket: n.ticket, Entry: entry})
		if len(n.pendingReplies) == 0 {
			n.pendingSince = now
		}
	}
	if !write && len(n.pendingReplies) == 0 {
		n.send(to, msg)
		return
	}
	n.pendingReplies = append(n.pendingReplies, pendingReply{ticket: n.ticket, send: Send{To: to, Msg: msg}})
}

func (n *Node) onPersisted(now time.Duration, s Persisted) {
	if s.Err != nil {
		n.diskErr = s.Err
		n.pendingReplies = nil
		n.logChange("disk broke down", s.Err.Error())
		n.setDegraded(now, true)
		return
	}
	if n.diskErr != nil && s.Repaired {
		n.diskErr = nil
		n.logChange("disk works again", "")
	}
	for len(n.pendingReplies) > 0 && n.pendingReplies[0].ticket <= s.Ticket {
		n.send(n.pendingReplies[0].send.To, n.pendingReplies[0].send.Msg)
		n.pendingReplies = n.pendingReplies[1:]
		n.pendingSince = now
	}
}

func (n *Node) checkDisk(now time.Duration) {
	if n.acceptor == nil || n.diskErr != nil {
		return
	}
	n.setDegraded(now, len(n.pendingReplies) > 0 && now-n.pendingSince > stalledAfter)
}

func (n *Node) setDegraded(now time.Duration, yes bool) {
	if n.Members.Self.Degraded == yes {
		return
	}
	n.logChange("disk fitness", map[bool]string{true: "unfit", false: "fit"}[yes])
	n.Members.Update(now, func(m *membership.Member) { m.Degraded = yes })
}

// await numbers an operation of the proposer and has done called with its result.
func (n *Node) await(now time.Duration, done completion) uint64 {
	n.opSeq++
	n.pendingOps[n.opSeq] = pendingOp{since: now, done: done}
	return n.opSeq
}

func (n *Node) propose(now, within time.Duration, change register.Change, full bool, done completion) {
	n.proposer.Submit(now, now+within, n.await(now, done), change, full)
}

// proposeUrgent is for changes of voters, which must not starve behind operators' orders.
func (n *Node) proposeUrgent(now time.Duration, change register.Change, done completion) {
	n.proposer.SubmitUrgent(now, now+proposeTimeout, n.await(now, done), change)
}

func (n *Node) read(now, within time.Duration, full bool) {
	n.reading = true
	n.propose(now, within, nil, full, func(time.Duration, register.Result) { n.reading = false })
}

func (n *Node) replyTo(id uint64, op string) completion {
	return func(_ time.Duration, r register.Result) {
		a := Answer{ID: id, Value: r.Value, Err: r.Err}
		if r.Value != nil {
			a.Version = r.Value.Version
			if version, ok := r.Value.AppliedAt(op); ok {
				a.Version = version
			}
		}
		n.out.Answers = append(n.out.Answers, a)
	}
}

// drainProposer has the proposer act on what is due at each input, not at ticks only: its pauses are shorter than a tick.
func (n *Node) drainProposer(now time.Duration) {
	n.proposer.Tick(now)
	sends, results := n.proposer.TakeOutput()
	n.sendToVoters(sends)
	for _, r := range results {
		op := n.pendingOps[r.ID]
		delete(n.pendingOps, r.ID)
		if r.Value != nil {
			fresh := r.Value.Newer(n.value)
			n.learnValue(now, r.Value)
			if fresh {
				n.sendGossip(n.Gossip.PushNow(n.peers()))
			}
			if op.since >= n.startedOverAt {
				n.finishJoin(now, "a majority was read")
			}
		}
		op.done(now, r)
	}
}

func (n *Node) reconcileAcceptor(now time.Duration) {
	if n.acceptor == nil || n.diskErr != nil || !n.joined || n.reading || now < n.rereadAt {
		return
	}
	mine := n.acceptor.Value
	switch {
	case mine.Newer(n.value):
		if n.aheadSince == 0 {
			n.aheadSince = now
		}
	case n.value != nil && n.value.Newer(mine) && n.isVoter():
		if n.behindSince == 0 {
			n.behindSince = now
		}
	default:
		n.aheadSince, n.behindSince = 0, 0
		return
	}
	if (n.aheadSince != 0 && now-n.aheadSince > 300*time.Millisecond) || (n.behindSince != 0 && now-n.behindSince > 500*time.Millisecond) {
		n.aheadSince, n.behindSince, n.rereadAt = 0, 0, now+700*time.Millisecond
		n.read(now, 2*time.Second, true)
	}
}

func (n *Node) isVoter() bool {
	for _, v := range n.value.All() {
		if v.Disk == n.acceptor.Disk {
			return true
		}
	}
	return false
}
