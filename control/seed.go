package control

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

const foundEach = 1500 * time.Millisecond

// foundAlone founds the register on a first start: the seeds with a disk become its voters, once all seeds are known.
// The first seed begins, the others follow at a distance; whoever comes late finds the value of who was first.
func (n *Node) foundAlone(now time.Duration) {
	if !n.cfg.Founds || n.voter == nil || n.known() != nil || n.founding || len(n.cfg.Seeds) == 0 {
		return
	}
	at := slices.Index(n.cfg.Seeds, n.cfg.Addr)
	if at < 0 || now-n.born < time.Duration(at)*foundEach || now-n.foundAt < foundEach {
		return
	}
	var vs []register.Voter
	for _, addr := range n.cfg.Seeds {
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
	n.waiting[n.opSeq] = func(time.Duration, register.Result) { n.founding = false }
	fleet := fmt.Sprintf("%s.%s.%s", n.cfg.Name, n.cfg.Boot, strconv.FormatUint(n.cfg.Seed, 36))
	n.prop.Found(now, now+foundEach, n.opSeq, &register.Value{Fleet: fleet, Voters: vs})
}

func (n *Node) memberAt(addr string) (m membership.Member, ok bool) {
	for _, m := range n.Kin.Table.All() {
		if m.Addr == addr && m.Live() {
			return m, true
		}
	}
	return m, false
}

const (
	voterPatience = 2500 * time.Millisecond
	reseatEvery   = time.Second
)

// tend keeps twice as many voters as may be lost, and one: it replaces a voter whose disk came back empty at once, one that is
// lost after some patience by a disk that does not vote yet, and adds disks while there are too few voters.
func (n *Node) tend(now time.Duration) {
	if n.cfg.Tolerate == 0 || n.value == nil || !n.first("mend", "") || now-n.duties.mended < reseatEvery {
		return
	}
	if len(n.value.Next) > 0 {
		n.duties.mended = now
		n.ask(now, within, settleVoters, false, func(time.Duration, register.Result) {})
		return
	}
	next, why := n.seating(now)
	if why == "" {
		return
	}
	n.duties.mended = now
	n.change("voters change", why)
	seat := n.value.Seat
	n.ask(now, within, seatAt(seat, next), false, func(now time.Duration, r register.Result) {
		if r.Err == nil {
			n.ask(now, within, settleVoters, false, func(time.Duration, register.Result) {})
		}
	})
}

func (n *Node) seating(now time.Duration) (vs []register.Voter, why string) {
	for _, v := range n.value.Voters {
		if m, ok := n.emptied(v); ok {
			return n.exchange(v, m), "disk of " + v.Name + " came back empty"
		}
	}
	if lost := n.lostVoter(now, voterPatience); lost != "" {
		if vs = n.without(lost); vs != nil {
			return vs, "disk " + lost + " is lost"
		}
	}
	if len(n.value.Voters) < 2*n.cfg.Tolerate+1 {
		if vs = n.without(""); vs != nil {
			return vs, "a disk joins"
		}
	}
	return nil, ""
}

// emptied finds the machine of a voter that is back with another disk.
func (n *Node) emptied(v register.Voter) (m membership.Member, yes bool) {
	m, ok := n.Kin.Table.Get(v.Name)
	yes = ok && m.State == membership.Alive && m.Disk != "" && m.Disk != v.Disk && !m.Unfit && !isVoter(n.value.Voters, m.Disk)
	return m, yes
}

func (n *Node) exchange(old register.Voter, m membership.Member) (vs []register.Voter) {
	for _, v := range n.value.Voters {
		if v == old {
			v = register.Voter{Disk: m.Disk, Name: m.Name}
		}
		vs = append(vs, v)
	}
	return vs
}

func seatAt(seat uint64, vs []register.Voter) (change register.Change) {
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
