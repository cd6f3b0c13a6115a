package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

// completion receives the result of an operation of the proposer.
type completion func(now time.Duration, r register.Result)

// pendingOp is an operation of the proposer whose result has not arrived.
type pendingOp struct {
	since time.Duration
	done  completion
	// command is the ID of the Command that the operation carries out, 0 for the node's own operations.
	command uint64
}

// operations are the proposer's pending operations, by number.
type operations struct {
	seq     uint64
	pending map[uint64]pendingOp
	// reading is set while the node's own read of a majority is in progress.
	reading bool
}

func newOperations() operations { return operations{pending: map[uint64]pendingOp{}} }

// add registers an operation of the node itself and returns its number.
func (o *operations) add(now time.Duration, done completion) uint64 { return o.addFor(now, 0, done) }

// addFor registers an operation that carries out a command and returns its number.
func (o *operations) addFor(now time.Duration, command uint64, done completion) uint64 {
	o.seq++
	o.pending[o.seq] = pendingOp{since: now, done: done, command: command}
	return o.seq
}

// operationFor returns the pending operation that carries out a command.
func (o *operations) operationFor(command uint64) (uint64, bool) {
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

// proposeUrgent submits a change of the voters ahead of queued operator requests, which must not starve it.
func (n *Node) proposeUrgent(now time.Duration, change register.Change, done completion) {
	n.proposer.SubmitUrgent(now, now+proposeTimeout, n.operations.add(now, done), change)
}

// read reads the register from a majority of voters.
func (n *Node) read(now, within time.Duration) {
	n.propose(now, within, nil, n.beginRead())
}

// readAll reads all voters and brings those that are out of date to the latest value.
func (n *Node) readAll(now, within time.Duration) {
	n.proposer.SubmitFull(now, now+within, n.operations.add(now, n.beginRead()), nil)
}

func (n *Node) beginRead() completion {
	n.operations.reading = true
	return func(time.Duration, register.Result) { n.operations.reading = false }
}

// replyTo returns a completion that answers a command with the result of its operation. order is the ID under which the operation is
// logged, if any.
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

// drainProposer ticks the proposer and handles its output. It runs after each input and not only at ticks, because the proposer's backoffs
// are shorter than the interval between ticks.
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
	if op.since >= n.joining.restartedAt {
		n.finishJoin(now, "a majority was read")
	}
}
