package control

import "time"

const (
	// aheadFor and behindFor are how long a voter's accepted value may be newer or older than the value that the node knows to be chosen.
	aheadFor  = 300 * time.Millisecond
	behindFor = 500 * time.Millisecond
	// rereadInterval is the minimum time between two repair reads by one voter.
	rereadInterval = 700 * time.Millisecond
	// rereadTimeout is the timeout of a repair read.
	rereadTimeout = 2 * time.Second
)

// reconciliation records since when the value on this node's disk has been newer, or older, than the value known to be chosen.
type reconciliation struct {
	aheadSince, behindSince time.Duration
	// rereadAt is the earliest time of the next repair read.
	rereadAt time.Duration
}

// due reports whether a difference has lasted so long that the node should read all voters to repair it.
func (r *reconciliation) due(now time.Duration, ahead, behind bool) bool {
	switch {
	case now < r.rereadAt:
		return false
	case ahead && r.aheadSince == 0:
		r.aheadSince = now
	case behind && r.behindSince == 0:
		r.behindSince = now
	case !ahead && !behind:
		r.aheadSince, r.behindSince = 0, 0
		return false
	}
	overAhead := r.aheadSince != 0 && now-r.aheadSince > aheadFor
	overBehind := r.behindSince != 0 && now-r.behindSince > behindFor
	if !overAhead && !overBehind {
		return false
	}
	*r = reconciliation{rereadAt: now + rereadInterval}
	return true
}

// reconcileAcceptor reads from all voters if this voter's value is out of date, or if it accepted a value that never became known as
// chosen. The read brings all voters to the latest value.
func (n *Node) reconcileAcceptor(now time.Duration) {
	if n.acceptor == nil || n.disk.err != nil || !n.joining.joined || n.operations.reading {
		return
	}
	accepted := n.acceptor.Value
	ahead := accepted.Newer(n.value)
	behind := !ahead && n.value != nil && n.value.Newer(accepted) && n.isVoter()
	if n.reconciling.due(now, ahead, behind) {
		n.readAll(now, rereadTimeout)
	}
}

func (n *Node) isVoter() bool { return isVoter(n.value.AllVoters(), n.acceptor.Disk) }
