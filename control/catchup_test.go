package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

// TestReturningMemberAppliesManyMissedChangesSoon restarts a voter with its old disk after 500 changes, among them changes of the voters.
func TestReturningMemberAppliesManyMissedChangesSoon(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		r := newVoterLossRun(t, fleetShapes[1], 3)
		r.down[r.victim] = true
		for range 500 {
			r.changeDocument()
			r.run(20 * time.Millisecond)
		}
		if wiped {
			r.wipe(r.victim)
		}
		r.boot(r.victim, false)
		from := r.now
		r.applies(r.victim, 2*time.Second)
		t.Logf("back with its disk wiped %v: applied the value after %s, %d changes", wiped, r.now-from, r.writes)
		if elapsed := r.untilFull(r.shape.within); elapsed > r.shape.within {
			t.Errorf("voter set not complete after %s", elapsed)
		}
		r.loseMore()
	}
}

// TestMemberWithHigherBallotsDisturbsNobody restarts a voter whose disk has promised ballots that no other node has seen.
func TestMemberWithHigherBallotsDisturbsNobody(t *testing.T) {
	r := newVoterLossRun(t, fleetShapes[0], 5)
	r.down[r.victim] = true
	r.run(500 * time.Millisecond)
	r.nodes[r.victim].acceptor.Promised = register.Ballot{N: 1 << 40, By: "z"}
	r.boot(r.victim, false)
	from := r.now
	r.changeDocument()
	elapsed := r.now - from
	t.Logf("a change takes %s", elapsed)
	if elapsed > time.Second {
		t.Errorf("a change takes %s", elapsed)
	}
	r.untilFull(r.shape.within)
	r.loseMore()
}

func (r *voterLossRun) applies(name string, most time.Duration) {
	want := fmt.Sprint("w", r.writes)
	for from := r.now; r.now-from < most; r.run(time.Millisecond) {
		if p := r.nodes[name].Snapshot(); p != nil && string(r.nodes[name].Value().Document) == want && r.nodes[name].joining.joined && r.nodes[name].applied == p.Version {
			return
		}
	}
	r.t.Errorf("%s has not applied %s after %s", name, want, most)
}

// changerShape may lose the voter that leaves and the voter that moves its slot at once, and then two more.
var changerShape = fleetShape{"two tolerated", 12, 4, 9, 2, 6 * time.Second}

// TestNodeThatChangesVotersDies stops, at each millisecond of the change, the node that moves a leaving voter's slot, and the voter with
// it.
func TestNodeThatChangesVotersDies(t *testing.T) {
	voters := 0
	for at := range 60 {
		r := newVoterLossRun(t, changerShape, uint64(11+at%3))
		r.call(r.victim, Retire{})
		changer := r.untilVoterChange()
		if changer == "" {
			t.Fatal("no node started to replace the voter")
		}
		if changer == r.victim {
			t.Fatalf("%s, which leaves, moves its own slot", changer)
		}
		if isVoter(r.latest().Voters, r.disks[changer]) {
			voters++
		}
		r.run(time.Duration(at/3) * time.Millisecond)
		r.down[changer], r.down[r.victim] = true, true
		r.run(time.Second)
		if r.untilFull(r.shape.within); t.Failed() {
			t.Fatalf("%d ms after the change started", at/3)
		}
		r.loseMore()
	}
	if t.Logf("the changing node was a voter in %d runs", voters); voters < 20 {
		t.Errorf("only %d runs with a voter as the changing node", voters)
	}
}

// untilVoterChange runs until a node starts a change of the voters and returns its name, or an empty string if none does.
func (r *voterLossRun) untilVoterChange() string {
	seen := len(r.changes)
	for range 3000 {
		for _, c := range r.changes[seen:] {
			if name, found := strings.CutSuffix(c, " "+string(ChangeVotersBegun)); found {
				return name
			}
		}
		r.run(time.Millisecond)
	}
	return ""
}

// TestStandbyIsLostJustAfterItBecameVoter checks that the value survives the loss of the new voter and that its slot moves to the next
// standby.
func TestStandbyIsLostJustAfterItBecameVoter(t *testing.T) {
	for at := range 30 {
		r := newVoterLossRun(t, fleetShapes[1], uint64(20+at))
		newVoter := r.standby()
		r.call(r.victim, Retire{})
		if r.untilVoterChange() == "" {
			t.Fatal("no node started to replace the voter")
		}
		r.run(time.Duration(at) * time.Millisecond)
		r.wipe(newVoter)
		r.run(300 * time.Millisecond)
		r.boot(newVoter, false)
		if r.untilFull(r.shape.within); t.Failed() {
			t.Fatalf("%d ms after the change started", at)
		}
		r.loseMore()
	}
}

func (r *voterLossRun) standby() string {
	var name string
	for _, name = range r.order {
		if r.disks[name] != "" && !isVoter(r.latest().Voters, r.disks[name]) {
			return name
		}
	}
	return ""
}

// TestRepairedVoterIsLostAgain wipes the disk of one voter repeatedly, each time before the repair of the previous loss is halfway done.
func TestRepairedVoterIsLostAgain(t *testing.T) {
	for seed := range uint64(10) {
		r := newVoterLossRun(t, fleetShapes[seed%2], 60+seed)
		for range 8 {
			r.changeDocument()
			r.wipe(r.victim)
			r.run(time.Duration(100+r.rng.IntN(400)) * time.Millisecond)
			r.boot(r.victim, false)
			r.run(time.Duration(r.rng.IntN(900)) * time.Millisecond)
		}
		r.untilFull(r.shape.within)
		r.loseMore()
	}
}

// TestVoterDiskSetBack guards against a majority that never received a confirmed change: one voter was down when the change was confirmed,
// another comes back with an older copy of its disk, and the third is lost.
func TestVoterDiskSetBack(t *testing.T) {
	r := newVoterLossRun(t, fleetShapes[0], 9)
	older := *r.nodes["n1"].acceptor
	r.down["n2"] = true
	r.run(200 * time.Millisecond)
	r.changeDocument()
	r.down["n1"] = true
	r.run(300 * time.Millisecond)
	r.nodes["n1"].acceptor = &older
	r.boot("n1", false)
	r.boot("n2", false)
	r.down["n0"] = true
	for range 5 {
		if got := r.read("n8"); got != fmt.Sprint("w", r.writes) {
			t.Fatalf("read %q, want the confirmed w%d", got, r.writes)
		}
		r.run(200 * time.Millisecond)
	}
	for _, name := range []string{"n1", "n2"} {
		if got := string(r.nodes[name].acceptor.Value.Document); got != fmt.Sprint("w", r.writes) {
			t.Errorf("%s accepted %q", name, got)
		}
	}
}
