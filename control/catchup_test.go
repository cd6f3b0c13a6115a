package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

// TestReturningMemberAppliesManyMissedChangesSoon restarts a voter with its old disk after 500 changes, among them changes of voters.
func TestReturningMemberAppliesManyMissedChangesSoon(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		r := newRefill(t, fleetShapes[1], 3)
		r.down[r.victim] = true
		for range 500 {
			r.change()
			r.run(20 * time.Millisecond)
		}
		if wiped {
			r.wipe(r.victim)
		}
		r.boot(r.victim, false)
		from := r.now
		r.applies(r.victim, 2*time.Second)
		t.Logf("back with its disk wiped %v: obeys after %s, %d changes", wiped, r.now-from, r.writes)
		if elapsed := r.until(r.shape.within); elapsed > r.shape.within {
			t.Errorf("not full after %s", elapsed)
		}
		r.next()
	}
}

// TestMemberWithHigherBallotsDisturbsNobody restarts a voter whose disk promised to ballots that nobody else has heard of.
func TestMemberWithHigherBallotsDisturbsNobody(t *testing.T) {
	r := newRefill(t, fleetShapes[0], 5)
	r.down[r.victim] = true
	r.run(500 * time.Millisecond)
	r.nodes[r.victim].acceptor.Promised = register.Ballot{N: 1 << 40, By: "z"}
	r.boot(r.victim, false)
	from := r.now
	r.change()
	elapsed := r.now - from
	t.Logf("a change beside it takes %s", elapsed)
	if elapsed > time.Second {
		t.Errorf("a change takes %s", elapsed)
	}
	r.until(r.shape.within)
	r.next()
}

func (r *refill) applies(name string, most time.Duration) {
	want := fmt.Sprint("w", r.writes)
	for from := r.now; r.now-from < most; r.run(time.Millisecond) {
		if p := r.nodes[name].Snapshot(); p != nil && string(r.nodes[name].Value().Document) == want && r.nodes[name].joining.joined && r.nodes[name].applied == p.Version {
			return
		}
	}
	r.t.Errorf("%s does not obey %s after %s", name, want, most)
}

// TestNodeThatChangesVotersDies has the node that moves a leaving voter's voter slot go at each millisecond of the change, and the
// voter with it.
func TestNodeThatChangesVotersDies(t *testing.T) {
	played := 0
	for at := range 60 {
		r := newRefill(t, fleetShapes[1], uint64(11+at%3))
		r.call(r.victim, Retire{})
		mender := r.mender()
		if mender == "" {
			t.Fatal("nobody moves the seat")
		}
		if mender != r.victim && r.disks[mender] != "" {
			continue
		}
		played++
		r.run(time.Duration(at/3) * time.Millisecond)
		r.down[mender], r.down[r.victim] = true, true
		r.run(time.Second)
		if r.until(r.shape.within); t.Failed() {
			t.Fatalf("%d ms after the change began", at/3)
		}
		r.next()
	}
	if t.Logf("%d runs", played); played < 20 {
		t.Errorf("%d runs were played", played)
	}
}

// mender runs until someone begins a change of the voters, and names the one.
func (r *refill) mender() string {
	seen := len(r.changes)
	for range 3000 {
		for _, c := range r.changes[seen:] {
			if name, begun := strings.CutSuffix(c, " "+string(ChangeVotersBegun)); begun {
				return name
			}
		}
		r.run(time.Millisecond)
	}
	return ""
}

// TestStandbyIsLostJustAfterItBecameVoter: what it was to hold must still be there, and its voter slot goes on to the next.
func TestStandbyIsLostJustAfterItBecameVoter(t *testing.T) {
	for at := range 30 {
		r := newRefill(t, fleetShapes[1], uint64(20+at))
		seated := r.standby()
		r.call(r.victim, Retire{})
		if r.mender() == "" {
			t.Fatal("nobody moves the seat")
		}
		r.run(time.Duration(at) * time.Millisecond)
		r.wipe(seated)
		r.run(300 * time.Millisecond)
		r.boot(seated, false)
		if r.until(r.shape.within); t.Failed() {
			t.Fatalf("%d ms after the change began", at)
		}
		r.next()
	}
}

func (r *refill) standby() string {
	var name string
	for _, name = range r.order {
		if r.disks[name] != "" && !isVoter(r.latest().Voters, r.disks[name]) {
			return name
		}
	}
	return ""
}

// TestRepairedVoterIsLostAgain loses the disk of one voter over and over, each time before the loss before is half over.
func TestRepairedVoterIsLostAgain(t *testing.T) {
	for seed := range uint64(10) {
		r := newRefill(t, fleetShapes[seed%2], 60+seed)
		for range 8 {
			r.change()
			r.wipe(r.victim)
			r.run(time.Duration(100+r.rng.IntN(400)) * time.Millisecond)
			r.boot(r.victim, false)
			r.run(time.Duration(r.rng.IntN(900)) * time.Millisecond)
		}
		r.until(r.shape.within)
		r.next()
	}
}

// TestVoterDiskSetBack: one voter was away when a change was confirmed, another comes back with an older copy of its disk,
// and the third is lost. The two make a majority that never heard of the change.
func TestVoterDiskSetBack(t *testing.T) {
	r := newRefill(t, fleetShapes[0], 9)
	older := *r.nodes["n1"].acceptor
	r.down["n2"] = true
	r.run(200 * time.Millisecond)
	r.change()
	r.down["n1"] = true
	r.run(300 * time.Millisecond)
	r.nodes["n1"].acceptor = &older
	r.boot("n1", false)
	r.boot("n2", false)
	r.down["n0"] = true
	for range 5 {
		if got := r.read("n8"); got != fmt.Sprint("w", r.writes) {
			t.Fatalf("reads %q, confirmed was w%d", got, r.writes)
		}
		r.run(200 * time.Millisecond)
	}
	for _, name := range []string{"n1", "n2"} {
		if got := string(r.nodes[name].acceptor.Value.Document); got != fmt.Sprint("w", r.writes) {
			t.Errorf("%s holds %q", name, got)
		}
	}
}
