package control

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

const (
	// voterLostAfter is how long a voter may be unreachable or degraded before another disk replaces it, in a fleet that chooses its voters
	// automatically.
	voterLostAfter = 2500 * time.Millisecond
	// voterChangeInterval is the minimum time between two attempts of one node to change the voters.
	voterChangeInterval = time.Second
	// voterRole is the role that ranks the nodes that may change the voters.
	voterRole = "mend"
)

// voterRepair records since when each voter has been lost, and when this node last tried to change the voters.
type voterRepair struct {
	lostSince map[string]time.Duration
	changedAt time.Duration
}

// track records since when each voter has been lost. Every node does, so that the node that becomes first in rank need not wait for the
// whole timeout again.
func (r *voterRepair) track(now time.Duration, s voterSet) {
	since := map[string]time.Duration{}
	for _, v := range s.value.Voters {
		if s.healthy(v.Disk) {
			continue
		}
		since[v.Disk] = now
		if before, ok := r.lostSince[v.Disk]; ok {
			since[v.Disk] = before
		}
	}
	r.lostSince = since
}

// lostVoterTimeout returns how long a voter may be lost before another disk replaces it: voterLostAfter if the fleet chooses its voters
// automatically (FaultTolerance), otherwise the value of the operators' document. 0 means that voters are not replaced.
func (n *Node) lostVoterTimeout() time.Duration {
	if n.config.FaultTolerance > 0 {
		return voterLostAfter
	}
	if n.snapshot == nil {
		return 0
	}
	return n.snapshot.Config.ReplaceVoterAfter
}

// maintainVoters keeps the voter set complete. Only the node that is first in rank does so. If two nodes both consider themselves first,
// only one of their changes succeeds, because each change requires the epoch it was computed for. A change that has started is finished
// before another one is considered.
func (n *Node) maintainVoters(now time.Duration) {
	set := voterSet{value: n.value, members: &n.Members.Table}
	n.voters.track(now, set)
	if !n.ranksFirst(voterRole, "") || now-n.voters.changedAt < voterChangeInterval {
		return
	}
	if len(n.value.NextVoters) > 0 {
		n.voters.changedAt = now
		n.finishVoters(now, n.value.Epoch)
		return
	}
	next, why := set.next(now, n.voters.lostSince, n.lostVoterTimeout(), n.config.FaultTolerance)
	if next == nil {
		return
	}
	n.voters.changedAt = now
	n.logChange(ChangeVotersBegun, why)
	n.proposeUrgent(now, beginVoterChangeAt(n.value.Epoch, next), func(now time.Duration, r register.Result) {
		if r.Err == nil {
			n.finishVoters(now, r.Value.Epoch)
		}
	})
}

func (n *Node) finishVoters(now time.Duration, epoch uint64) {
	n.proposeUrgent(now, finishVoterChangeAt(epoch), func(time.Duration, register.Result) {})
}

// beginVoterChangeAt returns a change that installs the next voters in addition to the current ones, if the epoch is still the one for which
// they were chosen.
func beginVoterChangeAt(epoch uint64, vs []register.Voter) register.Change {
	return func(cur *register.Value) (*register.Value, error) {
		if slices.Equal(cur.NextVoters, vs) || slices.Equal(cur.Voters, vs) {
			return nil, nil
		}
		if cur.Epoch != epoch || len(cur.NextVoters) > 0 {
			return nil, &register.ConflictError{Version: cur.Version}
		}
		cur.NextVoters = vs
		cur.Epoch++
		return cur, nil
	}
}

// finishVoterChangeAt returns a change that makes the next voters of the given epoch the voters. The epoch must be one whose change is
// known to be chosen. A later change that was only accepted somewhere must not be finished: the old voters may never learn of it, and the
// old and the new voters could then choose different values.
func finishVoterChangeAt(epoch uint64) register.Change {
	return func(cur *register.Value) (*register.Value, error) {
		if len(cur.NextVoters) == 0 || cur.Epoch != epoch {
			return nil, nil
		}
		cur.Voters, cur.NextVoters = cur.NextVoters, nil
		cur.Epoch++
		return cur, nil
	}
}
