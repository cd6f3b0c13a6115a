package control

import (
	"fmt"
	"testing"
	"time"
)

// TestVoterIsReplacedDuringAnotherReplacement asks one voter to terminate and, at each millisecond of its replacement, wipes the disk of
// another, which comes back empty. When the first has left, the voter set must be complete and tolerate the next loss.
func TestVoterIsReplacedDuringAnotherReplacement(t *testing.T) {
	for at := range 40 {
		r := newVoterLossRun(t, fleetShapes[1], uint64(100+at%4))
		r.call(r.victim, Retire{})
		if r.untilVoterChange() == "" {
			t.Fatal("no node started to replace the voter")
		}
		r.run(time.Duration(at) * time.Millisecond)
		other := r.otherVoter()
		r.wipe(other)
		r.run(300 * time.Millisecond)
		r.boot(other, false)
		if r.untilFull(r.shape.within); t.Failed() {
			t.Fatalf("%s was wiped %d ms after the change started", other, at)
		}
		r.changeDocument()
		r.call(r.victim, Leave{})
		r.down[r.victim] = true
		r.run(time.Second)
		r.loseMore()
		if t.Failed() {
			t.Fatalf("%s was wiped %d ms after the change started", other, at)
		}
	}
}

func (r *voterLossRun) otherVoter() string {
	var name string
	for _, v := range r.latest().Voters {
		if v.Name != r.victim {
			name = v.Name
		}
	}
	return name
}

// TestMachinesAreStoppedInTurn restarts every machine with a disk, one after the other as in a rolling restart, twice, with a change of the
// document during each stop, and then loses one more.
func TestMachinesAreStoppedInTurn(t *testing.T) {
	for _, shape := range fleetShapes[:2] {
		r := newVoterLossRun(t, shape, 7)
		epoch := r.latest().Epoch
		for range 2 {
			for at := range shape.disks {
				r.restart(fmt.Sprint("n", at))
			}
		}
		t.Logf("%s: %d epochs over %d restarts", shape.name, r.latest().Epoch-epoch, 2*shape.disks)
		r.untilFull(shape.within)
		r.loseMore()
	}
}

func (r *voterLossRun) restart(name string) {
	r.call(name, Retire{})
	r.run(2 * time.Second)
	r.changeDocument()
	r.run(2 * time.Second)
	r.call(name, Leave{})
	r.run(50 * time.Millisecond)
	r.down[name] = true
	r.run(300 * time.Millisecond)
	r.changeDocument()
	r.boot(name, false)
	r.run(1300 * time.Millisecond)
}
