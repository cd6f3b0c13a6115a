package control

import "time"

const (
	// aheadFor and behindFor are how long a voter's own value may be newer or older than what the node knows to be chosen.
	aheadFor  = 300 * time.Millisecond
	behindFor = 500 * time.Millisecond
	// rereadInterval is the least time between two repairs of a voter.
	rereadInterval = 700 * time.Millisecond
	rereadWithin   = 2 * time.Second
)

// reconciliation notes since when the value on this node's disk is newer, or older, than the one that is known to be chosen.
type reconciliation struct {
	aheadSince, behindSince time.Duration
	rereadAt                time.Duration
}

// due tells whether a difference has lasted for so long that a read of all voters is to repair it.
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

// reconcileAcceptor has a voter that lags, or that accepted what was never seen chosen, brought to the latest value.
func (n *Node) reconcileAcceptor(now time.Duration) {
	if n.acceptor == nil || n.disk.err != nil || !n.joining.joined || n.operations.reading {
		return
	}
	accepted := n.acceptor.Value
	ahead := accepted.Newer(n.value)
	behind := !ahead && n.value != nil && n.value.Newer(accepted) && n.isVoter()
	if n.reconciling.due(now, ahead, behind) {
		n.readAll(now, rereadWithin)
	}
}

func (n *Node) isVoter() bool { return isVoter(n.value.AllVoters(), n.acceptor.Disk) }
