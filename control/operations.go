package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

type completion func(now time.Duration, r register.Result)

// A pendingOp waits for the proposer since it was submitted.
type pendingOp struct {
	since time.Duration
	done  completion
	// command is the ID of the Command that it carries out, 0 for the node's own operations.
	command uint64
}

// operations are the proposer's operations that this node waits for, by number.
type operations struct {
	seq     uint64
	pending map[uint64]pendingOp
	// reading: the node's own read of a majority is under way.
	reading bool
}

func newOperations() operations { return operations{pending: map[uint64]pendingOp{}} }

// add numbers an operation of the node's own.
func (o *operations) add(now time.Duration, done completion) uint64 { return o.addFor(now, 0, done) }

// addFor numbers an operation that carries out a command.
func (o *operations) addFor(now time.Duration, command uint64, done completion) uint64 {
	o.seq++
	o.pending[o.seq] = pendingOp{since: now, done: done, command: command}
	return o.seq
}

// of gives the operation under way that carries out a command.
func (o *operations) of(command uint64) (uint64, bool) {
	for id, op := range o.pending {
		if op.command == command && command != 0 {
			return id, true
		}
	}
	return 0, false
}

func (o *operations) take(id uint64) pendingOp {
	op := o.pending[id]
	delete(o.pending, id)
	return op
}

func (n *Node) propose(now, within time.Duration, change register.Change, done completion) {
	n.proposer.Submit(now, now+within, n.operations.add(now, done), change)
}

// proposeUrgent is for changes of voters, which must not starve behind operators' orders.
func (n *Node) proposeUrgent(now time.Duration, change register.Change, done completion) {
	n.proposer.SubmitUrgent(now, now+proposeTimeout, n.operations.add(now, done), change)
}

// read reads a majority.
func (n *Node) read(now, within time.Duration) {
	n.propose(now, within, nil, n.readBegun())
}

// readAll reads all voters, and brings those that lag to the latest value.
func (n *Node) readAll(now, within time.Duration) {
	n.proposer.SubmitFull(now, now+within, n.operations.add(now, n.readBegun()), nil)
}

func (n *Node) readBegun() completion {
	n.operations.reading = true
	return func(time.Duration, register.Result) { n.operations.reading = false }
}

// replyTo answers a command with the result of its operation; order is the id under which the operation was logged, if any.
func (n *Node) replyTo(id uint64, order string) completion {
	return func(_ time.Duration, r register.Result) {
		a := Answer{ID: id, Value: r.Value, Err: r.Err}
		if r.Value != nil {
			a.Version = r.Value.Version
			if version, ok := r.Value.AppliedAt(order); ok {
				a.Version = version
			}
		}
		n.answer(a)
	}
}

// drainProposer has the proposer act on what is due at each input, not at ticks only: its pauses are shorter than a tick.
func (n *Node) drainProposer(now time.Duration) {
	n.proposer.Tick(now)
	sends, results := n.proposer.TakeOutput()
	n.sendToVoters(sends)
	for _, r := range results {
		op := n.operations.take(r.ID)
		if r.Value != nil {
			n.learnResult(now, r.Value, op)
		}
		op.done(now, r)
	}
}

func (n *Node) learnResult(now time.Duration, v *register.Value, op pendingOp) {
	newer := v.Newer(n.value)
	n.learnValue(now, v)
	if newer {
		n.sendGossip(n.Gossip.PushNow(n.peers()))
	}
	if op.since >= n.joining.startedOverAt {
		n.finishJoin(now, "a majority was read")
	}
}
