package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
)

// partialCut is a way to cut one node off from the voters' machines while the other machines still reach it.
type partialCut struct {
	name string
	// lost reports whether a message is lost between the node that is cut off and a machine with a disk; fromNode is whether the node sent it.
	lost func(l *lab, disk string, fromNode bool) bool
}

var partialCuts = []partialCut{
	{"both ways", func(*lab, string, bool) bool { return true }},
	{"cannot send", func(_ *lab, _ string, fromNode bool) bool { return fromNode }},
	{"cannot receive", func(_ *lab, _ string, fromNode bool) bool { return !fromNode }},
	{"reaches one voter", func(_ *lab, disk string, _ bool) bool { return disk != "n0" }},
	{"returns and goes", func(l *lab, _ string, _ bool) bool { return l.now/(700*time.Millisecond)%2 == 0 }},
}

// lastingCuts are the cuts that keep any node, a voter too, from a majority of the voters all the time.
var lastingCuts = partialCuts[:3]

// apply cuts a node off.
func (c partialCut) apply(l *lab, node string) {
	l.cut = func(from, to string) bool {
		switch {
		case from == node && l.disks[to] != "" && to != node:
			return c.lost(l, to, true)
		case to == node && l.disks[from] != "" && from != node:
			return c.lost(l, from, false)
		}
		return false
	}
}

// takeoverShape has a node without a disk, n13, that ranks first by weight alone.
var takeoverShape = fleetShape{name: "takeover", nodes: 14, zones: 3, disks: 3, tolerate: 1, within: 4 * time.Second}

// TestEmptiedVotersAreReplacedWhileANodeIsCutOffFromVoters guards against waiting for a node that other members reach but that reaches no
// majority of the voters. One node without a disk after the other is cut off. Two voters lose their disks, the second one 4 s after the first
// is back.
func TestEmptiedVotersAreReplacedWhileANodeIsCutOffFromVoters(t *testing.T) {
	for _, cut := range partialCuts {
		for node := takeoverShape.disks; node < takeoverShape.nodes; node++ {
			name := fmt.Sprint("n", node)
			t.Run(cut.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				loseTwoVoters(t, name, cut, "n1", "n2")
			})
		}
	}
}

// TestEmptiedVotersAreReplacedWhileAVoterIsCutOffFromVoters checks that nodes without a disk take their turns: only they reach a majority.
func TestEmptiedVotersAreReplacedWhileAVoterIsCutOffFromVoters(t *testing.T) {
	for _, cut := range partialCuts {
		t.Run(cut.name, func(t *testing.T) {
			t.Parallel()
			loseTwoVoters(t, "n0", cut, "n1", "n2")
		})
	}
}

func loseTwoVoters(t *testing.T, cutOff string, cut partialCut, lost ...string) {
	l := newSizedLab(t, takeoverShape, 3)
	l.run(4 * time.Second)
	if a := l.write("n9", "first"); a.Err != nil {
		t.Fatal(a.Err)
	}
	cut.apply(l, cutOff)
	l.run(time.Second)
	for _, name := range lost {
		l.wipe(name)
		l.run(100 * time.Millisecond)
		l.boot(name, false)
		l.run(4 * time.Second)
	}
	l.cut = nil
	l.run(time.Second)
	if got := l.read("n8"); got != "first" {
		t.Errorf("read %q, want the confirmed document", got)
	}
}

// TestSeveralNodesCutOffFromVotersDelayNoReplacement cuts off the first voter and the ten nodes that have the first turns among those that are
// no voters.
func TestSeveralNodesCutOffFromVotersDelayNoReplacement(t *testing.T) {
	l := newSizedLab(t, fleetShape{name: "two tolerated", nodes: 20, zones: 4, disks: 5, tolerate: 2}, 1)
	l.run(6 * time.Second)
	if a := l.write("n19", "first"); a.Err != nil {
		t.Fatal(a.Err)
	}
	order := l.nodes["n19"].turnOrder(voterRole)
	cutOff := append([]string{order[0]}, order[5:15]...)
	l.cut = func(from, to string) bool {
		return slices.Contains(cutOff, from) && l.disks[to] != "" && from != to || slices.Contains(cutOff, to) && l.disks[from] != "" && from != to
	}
	l.run(time.Second)
	victim := order[1]
	l.wipe(victim)
	l.run(100 * time.Millisecond)
	l.boot(victim, false)
	l.run(4 * time.Second)
	if voters := l.nodes[order[2]].Value().Voters; !isVoter(voters, l.disks[victim]) {
		t.Errorf("%s came back empty 4 s ago and is no voter: %v", victim, voters)
	}
}

// TestListLeaseIsTakenWhileFirstReaderReachesNoVoters checks that the list is read once a second although the node that ranks first cannot
// get the lease.
func TestListLeaseIsTakenWhileFirstReaderReachesNoVoters(t *testing.T) {
	for _, cut := range lastingCuts {
		l := newLab(t, 9)
		l.run(4 * time.Second)
		first := l.nodes["n5"].turnOrder(listRole.work)[0]
		cut.apply(l, first)
		l.run(6 * time.Second)
		clear(l.lists)
		l.run(10 * time.Second)
		if holder := l.holder(listRole.work.name); holder == "" || holder == first || l.lists[holder] < 9 {
			t.Errorf("%s: %s is cut off, %q has the lease, reads in 10 s: %v", cut.name, first, holder, l.lists)
		}
	}
}

// holder returns the node that has the lease on a role, or an empty string.
func (l *lab) holder(role string) string {
	for _, name := range l.order {
		if _, holds := l.nodes[name].leases.Holds(l.now, role); holds {
			return name
		}
	}
	return ""
}

// TestListIsReadWhileFirstReadersCannot checks that the list is read by the next node if the platform does not answer some nodes.
func TestListIsReadWhileFirstReadersCannot(t *testing.T) {
	l := newLab(t, 9)
	l.list = nil
	l.run(4 * time.Second)
	order := l.nodes["n5"].turnOrder(listRole.work)
	l.listFailsAt = order[:3]
	l.run(2 * time.Second)
	before := l.nodes["n5"].replicaList.confirmed.doneAt
	for range 100 {
		l.run(100 * time.Millisecond)
		if age := l.now - l.nodes["n5"].replicaList.confirmed.doneAt; age > confirmationTimeout+5*listTurn {
			t.Fatalf("no confirmation for %s", age)
		}
	}
	if l.nodes["n5"].replicaList.confirmed.doneAt == before {
		t.Error("the list was not confirmed again")
	}
}

// TestZoneIsCheckedWhileFirstNodeReachesNoVoters checks that another node gets the lease of a zone's checks if the first one cannot, and that
// the zone's reports go on meanwhile.
func TestZoneIsCheckedWhileFirstNodeReachesNoVoters(t *testing.T) {
	for _, cut := range lastingCuts {
		l := newCheckedLab(t)
		l.run(9 * time.Second)
		role := checksRole("1")
		first := l.nodes["n8"].turnOrder(role.work)[0]
		cut.apply(l, first)
		longest := time.Duration(0)
		for range 300 {
			l.run(100 * time.Millisecond)
			longest = max(longest, l.now-l.nodes["n8"].health.zone("1").reported.doneAt)
		}
		if holder := l.holder(role.work.name); holder == "" || holder == first {
			t.Errorf("%s: %s is cut off from the voters, %q has the lease", cut.name, first, holder)
		}
		if longest > probeWithoutLeaseAfter+3*publishInterval {
			t.Errorf("%s: no reports for %s", cut.name, longest)
		}
	}
}

// newCheckedLab returns a lab whose operators' document has a replica in zone 1 that answers each probe.
func newCheckedLab(t *testing.T) *lab {
	l := newLab(t, 9)
	l.reader = func([]byte) (config.Config, error) {
		replica := config.Replica{Name: "r1", Addr: "r1", Zone: "1", Role: "both", Capacity: 1}
		return config.Config{Services: []config.Service{{Name: "o", Replicas: []config.Replica{replica}}}}, nil
	}
	for _, name := range l.order {
		l.boot(name, true)
	}
	l.run(4 * time.Second)
	if a := l.write("n8", "first"); a.Err != nil {
		t.Fatal(a.Err)
	}
	return l
}

func TestDueChangeIsMeasuredForEachEpoch(t *testing.T) {
	var d dueChange
	if got := d.observe(5*time.Second, false, 1); got >= 0 {
		t.Errorf("nothing is due, got %s", got)
	}
	d.observe(6*time.Second, true, 1)
	if got := d.observe(8*time.Second, true, 1); got != 2*time.Second {
		t.Errorf("due for %s, want 2s", got)
	}
	if got := d.observe(9*time.Second, true, 2); got != 0 {
		t.Errorf("due for %s in a new epoch, want 0", got)
	}
}
