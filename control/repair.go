package control

import (
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

const repairInterval = 2 * time.Second

func (n *Node) repairVoters(now time.Duration) {
	if n.snapshot == nil {
		return
	}
	stuck := len(n.value.Next) > 0
	lost := n.lostVoter(now, n.snapshot.Charter.ReplaceVoter)
	if (lost == "" && !stuck) || !n.ranksFirst("mend", "") {
		return
	}
	n.toDisks(n.leases.Acquire(now, "mend", n.value))
	if _, ok := n.leases.Holds(now, "mend"); !ok || now-n.tasks.votersChangedAt < repairInterval {
		return
	}
	n.tasks.votersChangedAt = now
	if stuck {
		n.propose(now, proposeTimeout, finishVoterChange, false, func(time.Duration, register.Result) {})
		return
	}
	vs := n.votersWithout(lost)
	if vs == nil {
		return
	}
	n.change("replaces voter", lost)
	id := "mend/" + lost + "/" + strconv.FormatUint(n.value.Seat, 10)
	n.changeVoters(now, id, vs, func(time.Duration, register.Result) {})
}

func (n *Node) lostVoter(now, patience time.Duration) (disk string) {
	if patience <= 0 {
		return ""
	}
	for _, v := range n.value.Voters {
		if n.voterHealthy(v.Disk) {
			delete(n.tasks.lostSince, v.Disk)
			continue
		}
		if n.tasks.lostSince[v.Disk] == 0 {
			n.tasks.lostSince[v.Disk] = now
		}
		if disk == "" && now-n.tasks.lostSince[v.Disk] >= patience {
			disk = v.Disk
		}
	}
	return disk
}

func (n *Node) voterHealthy(disk string) (yes bool) {
	for _, m := range n.Members.Table.All() {
		if m.Disk == disk && m.State == membership.Alive && !m.Unfit {
			return true
		}
	}
	return false
}

func (n *Node) votersWithout(lost string) (vs []register.Voter) {
	taken := map[string]int{}
	for _, v := range n.value.Voters {
		if v.Disk != lost {
			vs = append(vs, v)
			if m, ok := n.Members.Table.Get(v.Name); ok {
				taken[m.Domain]++
			}
		}
	}
	var best membership.Member
	for _, m := range n.Members.Table.All() {
		if m.Disk == "" || m.State != membership.Alive || m.Unfit || isVoter(n.value.Voters, m.Disk) {
			continue
		}
		if best.Name == "" || taken[m.Domain] < taken[best.Domain] {
			best = m
		}
	}
	if best.Name == "" {
		return nil
	}
	return append(vs, register.Voter{Disk: best.Disk, Name: best.Name})
}

func isVoter(vs []register.Voter, disk string) (yes bool) {
	for _, v := range vs {
		if v.Disk == disk {
			return true
		}
	}
	return false
}
