package control

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

const bootstrapStagger = 1500 * time.Millisecond

// foundAlone founds the register on a first start: the seeds with a disk become its voters, once all seeds are known.
// The first seed begins, the others follow at a distance; whoever comes late finds the value of who was first.
func (n *Node) bootstrapFromSeeds(now time.Duration) {
	if !n.config.Founds || n.acceptor == nil || n.knownValue() != nil || n.founding || len(n.config.Seeds) == 0 {
		return
	}
	at := slices.Index(n.config.Seeds, n.config.Addr)
	if at < 0 || now-n.startedAt < time.Duration(at)*bootstrapStagger || now-n.foundAt < bootstrapStagger {
		return
	}
	var vs []register.Voter
	for _, addr := range n.config.Seeds {
		m, ok := n.memberAt(addr)
		if !ok {
			return
		}
		if m.Disk != "" {
			vs = append(vs, register.Voter{Disk: m.Disk, Name: m.Name})
		}
	}
	n.founding, n.foundAt = true, now
	n.change("founds", fmt.Sprint(vs))
	n.opSeq++
	n.pendingOps[n.opSeq] = func(time.Duration, register.Result) { n.founding = false }
	fleet := fmt.Sprintf("%s.%s.%s", n.config.Name, n.config.Boot, strconv.FormatUint(n.config.Seed, 36))
	n.proposer.Bootstrap(now, now+bootstrapStagger, n.opSeq, &register.Value{Fleet: fleet, Voters: vs})
}

func (n *Node) memberAt(addr string) (m membership.Member, ok bool) {
	for _, m := range n.Members.Table.All() {
		if m.Addr == addr && m.Live() {
			return m, true
		}
	}
	return m, false
}

const (
	voterLostAfter      = 2500 * time.Millisecond
	voterChangeInterval = time.Second
)

// tend keeps twice as many voters as may be lost, and one: it replaces a voter whose disk came back empty at once, one that is
// lost after some patience by a disk that does not vote yet, and adds disks while there are too few voters.
func (n *Node) maintainVoters(now time.Duration) {
	if n.config.Tolerate == 0 || n.value == nil || !n.ranksFirst("mend", "") || now-n.tasks.votersChangedAt < voterChangeInterval {
		return
	}
	if len(n.value.Next) > 0 {
		n.tasks.votersChangedAt = now
		n.propose(now, proposeTimeout, finishVoterChange, false, func(time.Duration, register.Result) {})
		return
	}
	next, why := n.nextVoters(now)
	if why == "" {
		return
	}
	n.tasks.votersChangedAt = now
	n.change("voters change", why)
	seat := n.value.Seat
	n.propose(now, proposeTimeout, beginVoterChangeAt(seat, next), false, func(now time.Duration, r register.Result) {
		if r.Err == nil {
			n.propose(now, proposeTimeout, finishVoterChange, false, func(time.Duration, register.Result) {})
		}
	})
}

func (n *Node) nextVoters(now time.Duration) (vs []register.Voter, why string) {
	for _, v := range n.value.Voters {
		if m, ok := n.replacedDisk(v); ok {
			return n.replaceVoter(v, m), "disk of " + v.Name + " came back empty"
		}
	}
	if lost := n.lostVoter(now, voterLostAfter); lost != "" {
		if vs = n.votersWithout(lost); vs != nil {
			return vs, "disk " + lost + " is lost"
		}
	}
	if len(n.value.Voters) < 2*n.config.Tolerate+1 {
		if vs = n.votersWithout(""); vs != nil {
			return vs, "a disk joins"
		}
	}
	return nil, ""
}

// emptied finds the machine of a voter that is back with another disk.
func (n *Node) replacedDisk(v register.Voter) (m membership.Member, yes bool) {
	m, ok := n.Members.Table.Get(v.Name)
	yes = ok && m.State == membership.Alive && m.Disk != "" && m.Disk != v.Disk && !m.Unfit && !isVoter(n.value.Voters, m.Disk)
	return m, yes
}

func (n *Node) replaceVoter(old register.Voter, m membership.Member) (vs []register.Voter) {
	for _, v := range n.value.Voters {
		if v == old {
			v = register.Voter{Disk: m.Disk, Name: m.Name}
		}
		vs = append(vs, v)
	}
	return vs
}

func beginVoterChangeAt(seat uint64, vs []register.Voter) (change register.Change) {
	return func(cur *register.Value) (next *register.Value, err error) {
		if slices.Equal(cur.Next, vs) || slices.Equal(cur.Voters, vs) {
			return nil, nil
		}
		if cur.Seat != seat {
			return nil, &register.ConflictError{Mark: cur.Mark}
		}
		cur.Next = vs
		cur.Seat++
		return cur, nil
	}
}
