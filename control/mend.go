package control

import (
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

const halfDone = 2 * time.Second

func (n *Node) mend(now time.Duration) {
	if n.pic == nil {
		return
	}
	stuck := len(n.value.Next) > 0
	lost := n.lostVoter(now, n.pic.Charter.ReplaceVoter)
	if (lost == "" && !stuck) || !n.first("mend", "") {
		return
	}
	n.toDisks(n.hold.Want(now, "mend", n.value))
	if _, ok := n.hold.Holds(now, "mend"); !ok || now-n.duties.mended < halfDone {
		return
	}
	n.duties.mended = now
	if stuck {
		n.ask(now, within, settleVoters, false, func(time.Duration, register.Result) {})
		return
	}
	vs := n.without(lost)
	if vs == nil {
		return
	}
	n.change("replaces voter", lost)
	id := "mend/" + lost + "/" + strconv.FormatUint(n.value.Seat, 10)
	n.reseat(now, id, vs, func(time.Duration, register.Result) {})
}

func (n *Node) lostVoter(now, patience time.Duration) (disk string) {
	if patience <= 0 {
		return ""
	}
	for _, v := range n.value.Voters {
		if n.sound(v.Disk) {
			delete(n.duties.lost, v.Disk)
			continue
		}
		if n.duties.lost[v.Disk] == 0 {
			n.duties.lost[v.Disk] = now
		}
		if disk == "" && now-n.duties.lost[v.Disk] >= patience {
			disk = v.Disk
		}
	}
	return disk
}

func (n *Node) sound(disk string) (yes bool) {
	for _, m := range n.Kin.Table.All() {
		if m.Disk == disk && m.State == membership.Alive && !m.Unfit {
			return true
		}
	}
	return false
}

func (n *Node) without(lost string) (vs []register.Voter) {
	taken := map[string]int{}
	for _, v := range n.value.Voters {
		if v.Disk != lost {
			vs = append(vs, v)
			if m, ok := n.Kin.Table.Get(v.Name); ok {
				taken[m.Domain]++
			}
		}
	}
	var best membership.Member
	for _, m := range n.Kin.Table.All() {
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
