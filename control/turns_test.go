package control

import (
	"slices"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

var testedRoles = []singletonRole{
	voterRole, listRole.work, listRole.lease(), checksRole("1").work, checksRole("2").lease(), {name: "far", zone: "nowhere", turn: time.Second},
}

func TestTurnsFollowTheMembers(t *testing.T) {
	l := newLab(t, 12)
	l.run(3 * time.Second)
	l.checkTurns(t, "all are up")
	l.down[scheduler.SortByWeight(listRole.work.name, l.order)[0]] = true
	l.run(4 * time.Second)
	l.checkTurns(t, "the first reader of the list is down")
	for _, name := range l.order[:3] {
		if !l.down[name] {
			l.down[name] = true
			break
		}
	}
	l.run(8 * time.Second)
	l.checkTurns(t, "a voter is down")
}

// checkTurns checks that all nodes agree on the order of turns, that it follows zone, vote and weight, and that at each time one node has its
// turn, until all have had one.
func (l *lab) checkTurns(t *testing.T, when string) {
	t.Helper()
	var running []string
	for _, name := range l.order {
		if !l.down[name] {
			running = append(running, name)
		}
	}
	for _, role := range testedRoles {
		order := l.nodes[running[0]].turnOrder(role)
		if !sameNames(order, running) || !slices.IsSortedFunc(order, l.compareTurns(role)) {
			t.Errorf("%s: turns at %s: %v", when, role.name, order)
		}
		for _, name := range running {
			l.nodes[name].checkOwnTurns(t, when, l.now, role, order)
		}
	}
}

// checkOwnTurns checks that a node's turns are those that the order of all nodes gives it.
func (n *Node) checkOwnTurns(t *testing.T, when string, now time.Duration, role singletonRole, order []string) {
	t.Helper()
	if got := n.turnOrder(role); !slices.Equal(got, order) {
		t.Errorf("%s: %s has turns at %s in the order %v, others in %v", when, n.config.Name, role.name, got, order)
	}
	if n.hasTurn(now, role, -1) {
		t.Errorf("%s: %s has a turn at %s, which is not due", when, n.config.Name, role.name)
	}
	for i := range 2 * len(order) {
		due := time.Duration(i)*role.turn + role.turn/2
		if want := order[i%len(order)]; n.hasTurn(now, role, due) != (n.config.Name == want) {
			t.Errorf("%s: after %s it is the turn of %s at %s, %s disagrees", when, due, want, role.name, n.config.Name)
		}
	}
}

// compareTurns returns a comparison of names in the order that their turns at a role must have.
func (l *lab) compareTurns(role singletonRole) func(a, b string) int {
	group := func(name string) int {
		n, group := l.nodes[name], 0
		if n.config.Zone != role.zone {
			group += 2
		}
		if !role.voters || n.acceptor == nil || !n.isVoter() {
			group++
		}
		return group
	}
	return func(a, b string) int {
		if d := group(a) - group(b); d != 0 {
			return d
		}
		if scheduler.SortByWeight(role.name, []string{a, b})[0] == a {
			return -1
		}
		return 1
	}
}

func sameNames(a, b []string) bool {
	a, b = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(a, b)
}

func TestOnlyAliveMembersHaveTurns(t *testing.T) {
	l := newLab(t, 6)
	l.run(3 * time.Second)
	l.down["n1"] = true
	for range 300 {
		l.run(10 * time.Millisecond)
		for _, name := range l.nodes["n4"].turnOrder(voterRole) {
			if m, _ := l.nodes["n4"].Members.Table.Get(name); m.State != membership.Alive {
				t.Fatalf("%s has a turn although it is %s", name, m.State)
			}
		}
	}
}

// TestIsolatedNodeHasEachTurn checks that a node that hears nobody waits for nobody.
func TestIsolatedNodeHasEachTurn(t *testing.T) {
	l := newLab(t, 6)
	l.run(3 * time.Second)
	l.cut = func(from, to string) bool { return from == "n5" || to == "n5" }
	l.run(3 * time.Second)
	for due := range 20 {
		if !l.nodes["n5"].hasTurn(l.now, listRole.work, time.Duration(due)*listTurn) {
			t.Errorf("no turn %d periods after the list was due", due)
		}
	}
}
