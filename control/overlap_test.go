package control

import (
	"fmt"
	"testing"
	"time"
)

// TestVoterIsReplacedDuringAnotherReplacement: one voter is told to end, and at each millisecond of its handing over another loses its disk
// and comes back empty. When the first has gone, the set is full and bears the next loss.
func TestVoterIsReplacedDuringAnotherReplacement(t *testing.T) {
	for at := range 40 {
		r := newRefill(t, fleetShapes[1], uint64(100+at%4))
		r.call(r.victim, Retire{})
		if r.mender() == "" {
			t.Fatal("nobody moves the seat")
		}
		r.run(time.Duration(at) * time.Millisecond)
		other := r.otherVoter()
		r.wipe(other)
		r.run(300 * time.Millisecond)
		r.boot(other, false)
		if r.until(r.shape.within); t.Failed() {
			t.Fatalf("%s is emptied %d ms after the change began", other, at)
		}
		r.change()
		r.call(r.victim, Leave{})
		r.down[r.victim] = true
		r.run(time.Second)
		r.next()
		if t.Failed() {
			t.Fatalf("%s is emptied %d ms after the change began", other, at)
		}
	}
}

func (r *refill) otherVoter() string {
	var name string
	for _, v := range r.latest().Voters {
		if v.Name != r.victim {
			name = v.Name
		}
	}
	return name
}

// TestMachinesAreStoppedInTurn restarts every machine with a disk, one after the other as a roll does, twice, with a change of the document
// during each stop, and then loses one more.
func TestMachinesAreStoppedInTurn(t *testing.T) {
	for _, shape := range fleetShapes[:2] {
		r := newRefill(t, shape, 7)
		epoch := r.latest().Epoch
		for range 2 {
			for at := range shape.disks {
				r.restart(fmt.Sprint("n", at))
			}
		}
		t.Logf("%s: %d epochs over %d restarts", shape.name, r.latest().Epoch-epoch, 2*shape.disks)
		r.until(shape.within)
		r.next()
	}
}

func (r *refill) restart(name string) {
	r.call(name, Retire{})
	r.run(2 * time.Second)
	r.change()
	r.run(2 * time.Second)
	r.call(name, Leave{})
	r.run(50 * time.Millisecond)
	r.down[name] = true
	r.run(300 * time.Millisecond)
	r.change()
	r.boot(name, false)
	r.run(1300 * time.Millisecond)
}
