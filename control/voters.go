package control

import (
	"fmt"
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
)

// voterRole is the changing of the voters. If two nodes do it at once, one of their changes succeeds, because each requires the epoch that it
// was computed for.
var voterRole = singletonRole{name: "mend", voters: true, turn: voterChangeInterval}

// voterRepair records since when each voter has been lost, since when a change of the voters has been due, and when this node last tried one.
type voterRepair struct {
	lostSince map[string]time.Duration
	due       dueChange
	changedAt time.Duration
}

// dueChange records that the voters of an epoch have had to change since some time.
type dueChange struct {
	pending bool
	epoch   uint64
	since   time.Duration
}

// observe records whether the voters of an epoch must change, and returns for how long they have had to, or a negative time if they need
// not. Each change that succeeds has a new epoch.
func (d *dueChange) observe(now time.Duration, pending bool, epoch uint64) time.Duration {
	if !pending {
		*d = dueChange{}
		return -1
	}
	if !d.pending || d.epoch != epoch {
		*d = dueChange{pending: true, epoch: epoch, since: now}
	}
	return now - d.since
}

// track records since when each voter has been lost. Every node does, so that the next one that has a turn need not wait for the whole
// timeout again.
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

// maintainVoters keeps the voter set complete. The members take turns at it for as long as a change is due. A change that has started is
// finished before another one is considered.
func (n *Node) maintainVoters(now time.Duration) {
	set := voterSet{value: n.value, members: &n.Members.Table}
	n.voters.track(now, set)
	next, why := set.next(now, n.voters.lostSince, n.lostVoterTimeout(), n.config.FaultTolerance)
	started := len(n.value.NextVoters) > 0
	due := n.voters.due.observe(now, started || next != nil, n.value.Epoch)
	if !n.hasTurn(now, voterRole, due) || now-n.voters.changedAt < voterChangeInterval {
		return
	}
	n.voters.changedAt = now
	if started {
		n.finishVoters(now, n.value.Epoch)
		return
	}
	n.logChange(ChangeVotersBegun, fmt.Sprintf("%s, due for %s", why, due))
	n.proposeUrgent(now, beginVoterChangeAt(n.value.Epoch, next), func(now time.Duration, r register.Result) {
		if r.Err == nil {
			n.finishVoters(now, r.Value.Epoch)
			return
		}
		n.logChange(ChangeVotersFailed, r.Err.Error())
	})
}

func (n *Node) finishVoters(now time.Duration, epoch uint64) {
	n.proposeUrgent(now, finishVoterChangeAt(epoch), func(_ time.Duration, r register.Result) {
		if r.Err != nil {
			n.logChange(ChangeVotersFailed, r.Err.Error())
		}
	})
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
