package control

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

// VotersChange is the Change that a node tells of when it begins to replace voters; the simulator waits for it.
const VotersChange = "voters change"

const (
	// voterLostAfter is how long a voter may be out of touch before its seat goes to another disk, where the fleet seats voters itself.
	voterLostAfter = 2500 * time.Millisecond
	// voterChangeInterval is the time between two tries of one node to change the voters.
	voterChangeInterval = time.Second
)

// voterPatience is how long a voter may be lost before its seat goes to another disk: fixed where the fleet bears losses by itself
// (FaultTolerance), else as the operators' document says. 0: seats stay as they are.
func (n *Node) voterPatience() time.Duration {
	if n.config.FaultTolerance > 0 {
		return voterLostAfter
	}
	if n.snapshot == nil {
		return 0
	}
	return n.snapshot.Config.ReplaceVoter
}

// maintainVoters keeps the set of voters whole. One node does it, the first by rank; where two believe that they are first, the epoch
// on which each change builds lets one through. A change that was begun is finished before another is thought of.
func (n *Node) maintainVoters(now time.Duration) {
	n.trackVoters(now)
	if !n.ranksFirst("mend", "") || now-n.tasks.votersChangedAt < voterChangeInterval {
		return
	}
	if len(n.value.Next) > 0 {
		n.tasks.votersChangedAt = now
		n.finishVoters(now, n.value.Epoch)
		return
	}
	next, why := n.nextVoters(now)
	if next == nil {
		return
	}
	n.tasks.votersChangedAt = now
	n.logChange(VotersChange, why)
	n.proposeUrgent(now, beginVoterChangeAt(n.value.Epoch, next), func(now time.Duration, r register.Result) {
		if r.Err == nil {
			n.finishVoters(now, r.Value.Epoch)
		}
	})
}

func (n *Node) finishVoters(now time.Duration, epoch uint64) {
	n.proposeUrgent(now, finishVoterChangeAt(epoch), func(time.Duration, register.Result) {})
}

// nextVoters names the voters that should take over from the present ones, and why; nil: the present ones stay. The order is that of
// need: a disk that came back empty, a lost voter, one that is about to leave, and a seat that nobody has yet.
func (n *Node) nextVoters(now time.Duration) ([]register.Voter, string) {
	patience := n.voterPatience()
	if patience <= 0 {
		return nil, ""
	}
	for _, v := range n.value.Voters {
		if m, ok := n.replacedDisk(v); ok {
			return n.replaceVoter(v, m), "disk of " + v.Name + " came back empty"
		}
	}
	if lost := n.lostVoter(now, patience); lost != "" {
		if vs := n.votersWithout(lost); vs != nil {
			return vs, "disk " + lost + " is lost"
		}
	}
	if leaving := n.leavingVoter(); leaving != "" {
		if vs := n.votersWithout(leaving); vs != nil {
			return vs, "disk " + leaving + " leaves"
		}
	}
	if len(n.value.Voters) < 2*n.config.FaultTolerance+1 {
		if vs := n.votersWithout(""); vs != nil {
			return vs, "a disk joins"
		}
	}
	return nil, ""
}

// replacedDisk finds the machine of a voter that is back with another disk.
func (n *Node) replacedDisk(v register.Voter) (membership.Member, bool) {
	m, ok := n.Members.Table.Get(v.Name)
	yes := ok && m.Disk != v.Disk && n.spare(m)
	return m, yes
}

func (n *Node) replaceVoter(old register.Voter, m membership.Member) []register.Voter {
	var vs []register.Voter
	for _, v := range n.value.Voters {
		if v == old {
			v = register.Voter{Disk: m.Disk, Name: m.Name}
		}
		vs = append(vs, v)
	}
	return vs
}

// beginVoterChangeAt installs the next voters beside the present ones, if the epoch is still the one that the choice was made on.
func beginVoterChangeAt(epoch uint64, vs []register.Voter) register.Change {
	return func(cur *register.Value) (*register.Value, error) {
		if slices.Equal(cur.Next, vs) || slices.Equal(cur.Voters, vs) {
			return nil, nil
		}
		if cur.Epoch != epoch || len(cur.Next) > 0 {
			return nil, &register.ConflictError{Version: cur.Version}
		}
		cur.Next = vs
		cur.Epoch++
		return cur, nil
	}
}
