package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

// trackVoters notes since when each voter is lost. Every node does, so that whoever is first by rank next need not wait anew.
func (n *Node) trackVoters(now time.Duration) {
	since := map[string]time.Duration{}
	for _, v := range n.value.Voters {
		if n.voterHealthy(v.Disk) {
			continue
		}
		since[v.Disk] = now
		if before, ok := n.tasks.lostSince[v.Disk]; ok {
			since[v.Disk] = before
		}
	}
	n.tasks.lostSince = since
}

// lostVoter names the disk of the first voter that has been lost for as long as patience.
func (n *Node) lostVoter(now, patience time.Duration) string {
	for _, v := range n.value.Voters {
		if since, ok := n.tasks.lostSince[v.Disk]; ok && now-since >= patience {
			return v.Disk
		}
	}
	return ""
}

// leavingVoter names the disk of the first voter whose process was told to end, or has said goodbye. Whether it is only restarted
// nobody can tell: with a spare disk the seat goes there and stays, and the one that comes back is the next spare.
func (n *Node) leavingVoter() string {
	for _, v := range n.value.Voters {
		m, ok := n.diskMember(v.Disk)
		if ok && (m.Retiring || m.State == membership.Left) {
			return v.Disk
		}
	}
	return ""
}

func (n *Node) diskMember(disk string) (membership.Member, bool) {
	for _, m := range n.Members.Table.All() {
		if m.Disk == disk {
			return m, true
		}
	}
	var m membership.Member
	return m, false
}

func (n *Node) voterHealthy(disk string) bool {
	m, ok := n.diskMember(disk)
	return ok && m.State == membership.Alive && !m.Degraded
}

// spare says whether a member has a fit disk that could take a seat and means to stay.
func (n *Node) spare(m membership.Member) bool {
	return m.Disk != "" && m.State == membership.Alive && !m.Degraded && !m.Retiring && !isVoter(n.value.Voters, m.Disk)
}

// votersWithout puts a spare disk in the place of a lost one, in the domain with the fewest voters; nil: there is none.
func (n *Node) votersWithout(lost string) []register.Voter {
	taken := map[string]int{}
	var vs []register.Voter
	for _, v := range n.value.Voters {
		if v.Disk == lost {
			continue
		}
		vs = append(vs, v)
		if m, ok := n.Members.Table.Get(v.Name); ok {
			taken[m.Zone]++
		}
	}
	var best membership.Member
	for _, m := range n.Members.Table.All() {
		if n.spare(m) && (best.Name == "" || taken[m.Zone] < taken[best.Zone]) {
			best = m
		}
	}
	if best.Name == "" {
		return nil
	}
	return append(vs, register.Voter{Disk: best.Disk, Name: best.Name})
}

func isVoter(vs []register.Voter, disk string) bool {
	for _, v := range vs {
		if v.Disk == disk {
			return true
		}
	}
	return false
}
