package control

import (
	"slices"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

func TestRanksFollowTheMembers(t *testing.T) {
	l := newLab(t, 12)
	l.run(3 * time.Second)
	l.checkRanks(t, "all are up")
	l.down[scheduler.SortByWeight("mend", l.order)[0]] = true
	l.run(4 * time.Second)
	l.checkRanks(t, "the first is down")
}

// checkRanks compares each node's own rank with rendezvous hashing, and checks that one node is first for each role.
func (l *lab) checkRanks(t *testing.T, when string) {
	t.Helper()
	firsts := map[string]int{}
	for _, name := range l.order {
		if l.down[name] {
			continue
		}
		for _, role := range []string{"mend", "list"} {
			checkRank(t, when, l.nodes[name], role)
			if l.nodes[name].ranksFirst(role, "") {
				firsts[role]++
			}
		}
	}
	if firsts["mend"] != 1 || firsts["list"] != 1 {
		t.Errorf("%s: number of nodes that are first: %v", when, firsts)
	}
}

func checkRank(t *testing.T, when string, n *Node, role string) {
	t.Helper()
	name := n.config.Name
	ranked, near := scheduler.SortByWeight(role, aliveNames(n, "")), scheduler.SortByWeight(role, aliveNames(n, "1"))
	if got, want := n.rankAmong("all/", role, isAlive), slices.Index(ranked, name); got != want {
		t.Errorf("%s: %s has rank %d for %s, want %d", when, name, got, role, want)
	}
	if n.ranksFirst(role, "1") != (near[0] == name) || n.ranksFirst(role, "nowhere") != (ranked[0] == name) {
		t.Errorf("%s: %s disagrees on who is first for %s", when, name, role)
	}
}

func isAlive(m membership.Member) bool { return m.State == membership.Alive }

// aliveNames returns the members that a node knows to be alive, in a zone or, for "", in all zones.
func aliveNames(n *Node, zone string) []string {
	var names []string
	for _, m := range n.Members.Table.All() {
		if isAlive(m) && (zone == "" || m.Zone == zone) {
			names = append(names, m.Name)
		}
	}
	return names
}
