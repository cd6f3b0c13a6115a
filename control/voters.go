package control

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

const (
	// voterLostAfter is how long a voter may be out of touch before another disk replaces it, where the fleet chooses voters itself.
	voterLostAfter = 2500 * time.Millisecond
	// voterChangeInterval is the time between two tries of one node to change the voters.
	voterChangeInterval = time.Second
	// voterRole ranks the nodes that may change the voters.
	voterRole = "mend"
)

// voterRepair is what a node remembers of the voters: since when each is lost, and when it last tried to change them.
type voterRepair struct {
	lostSince map[string]time.Duration
	changedAt time.Duration
}

// track notes since when each voter is lost. Every node does, so that whoever is first by rank next need not wait anew.
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

// lostVoterTimeout is how long a voter may be lost before another disk replaces it: fixed where the fleet bears losses by itself
// (FaultTolerance), else as the operators' document says. 0: voters stay as they are.
func (n *Node) lostVoterTimeout() time.Duration {
	if n.config.FaultTolerance > 0 {
		return voterLostAfter
	}
	if n.snapshot == nil {
		return 0
	}
	return n.snapshot.Config.ReplaceVoterAfter
}

// maintainVoters keeps the set of voters complete. One node does it, the first by rank; where two believe that they are first, the epoch
// on which each change builds lets one through. A change that was begun is finished before another is thought of.
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

// beginVoterChangeAt installs the next voters beside the present ones, if the epoch is still the one that the choice was made on.
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

// finishVoterChangeAt lets the next voters of the epoch in which a change is known to have been chosen take over. A later one that was
// merely accepted somewhere must not be finished: the old voters may never hear of it, and would choose by themselves beside the new ones.
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
