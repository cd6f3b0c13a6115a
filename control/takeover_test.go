package control

import (
	"fmt"
	"slices"
	"testing"
	"time"
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
