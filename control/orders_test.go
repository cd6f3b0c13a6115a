package control

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

// cancelSeeds is the number of seeds of TestOrderOfCallerThatLeftDoesNotUndoLaterOne.
const cancelSeeds = 20

// onBase returns a request that replaces the document of the revision base, as an operator's call does.
func onBase(base, revision int) Edit {
	body := strconv.Itoa(revision)
	return Edit{ID: fmt.Sprint(base, "/", revision), BaseRevision: uint64(base), Apply: func(cur []byte) ([]byte, error) {
		at, _ := strconv.Atoi(string(cur))
		if at != base {
			return nil, &register.ConflictError{Version: uint64(at)}
		}
		return []byte(body), nil
	}}
}

func isConflict(err error) bool {
	var conflict *register.ConflictError
	return errors.As(err, &conflict)
}

func TestAppliedOrderIsNeverRejected(t *testing.T) {
	l := newLab(t, 6)
	l.run(2 * time.Second)
	const changes = 700
	for i := range changes {
		if a := l.call("n4", onBase(2*i, 2*i+2)); a.Err != nil {
			t.Fatalf("change %d: %v", i, a.Err)
		}
	}
	acknowledged := 0
	for _, i := range []int{0, 100, changes - 500, changes - 65, changes - 2, changes - 1} {
		a := l.call("n5", onBase(2*i, 2*i+2))
		if isConflict(a.Err) {
			t.Errorf("change %d was applied and is now rejected: %v", i, a.Err)
		}
		if a.Err == nil {
			acknowledged++
		}
	}
	if acknowledged < 4 {
		t.Errorf("only %d of the repeated requests are acknowledged", acknowledged)
	}
	for _, never := range []Edit{onBase(2*changes-4, 9999), onBase(2*changes-3, 9999), onBase(2*changes+2, 9999)} {
		if a := l.call("n5", never); !isConflict(a.Err) {
			t.Errorf("request %s cannot have been applied: %v", never.ID, a.Err)
		}
	}
}

func TestOldEvacuationDoesNotUndoLaterOne(t *testing.T) {
	l := newLab(t, 6)
	l.run(2 * time.Second)
	if a := l.call("n4", Evacuate{ID: "first", Zone: "z"}); a.Err != nil {
		t.Fatal(a.Err)
	}
	// n5 cannot reach the voters while a request to restore the zone is pending. The request's client disconnects, and another request is
	// confirmed in the meantime.
	l.down["n0"], l.down["n1"], l.down["n2"], l.down["n3"] = true, true, true, true
	l.step("n5", Command{ID: 900, Op: Evacuate{ID: "old", Zone: "z", Restore: true}})
	l.run(1100 * time.Millisecond)
	clear(l.down)
	if a := l.call("n4", Evacuate{ID: "new", Zone: "z"}); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.run(5 * time.Second)
	if a := l.call("n4", Get{}); !slices.Contains(a.Value.EvacuatedZones, "z") {
		t.Error("a request whose client had disconnected undid a later one")
	}
}

func TestReadsAreAnsweredWithinCallersTimeout(t *testing.T) {
	l := newLab(t, 6)
	l.run(2 * time.Second)
	l.write("n4", "x")
	for name := range l.disks {
		l.down[name] = true
	}
	for i, op := range []Op{Get{}, onBase(0, 1), Evacuate{ID: "e", Zone: "z"}, Get{}} {
		at := l.now
		var none *register.NoQuorumError
		if a := l.call("n5", op); !errors.As(a.Err, &none) {
			t.Errorf("call %d without voters: error %v, want a NoQuorumError", i, a.Err)
		}
		if elapsed := l.now - at; elapsed > 950*time.Millisecond {
			t.Errorf("call %d was answered after %s", i, elapsed)
		}
	}
}

func TestQueuedOrdersAreAnsweredTogether(t *testing.T) {
	l := newLab(t, 6)
	l.run(2 * time.Second)
	for name := range l.disks {
		l.down[name] = true
	}
	at := l.now
	for i := range uint64(8) {
		l.step("n5", Command{ID: 900 + i, Op: Get{}})
	}
	l.run(950 * time.Millisecond)
	for i := range uint64(8) {
		if _, ok := l.answers[900+i]; !ok {
			t.Errorf("call %d has no answer after %s", i, l.now-at)
		}
	}
}

// TestOrderOfCallerThatLeftDoesNotUndoLaterOne guards against a fault found in review (case EVAC of review/3): a request to restore a zone waited at a
// node that was cut off from the voters. Its client disconnected, and a later evacuation was acknowledged elsewhere. When the voters were
// reachable again before the request's deadline, the request was executed all the same.
func TestOrderOfCallerThatLeftDoesNotUndoLaterOne(t *testing.T) {
	for seed := range uint64(cancelSeeds) {
		rng := rand.New(rand.NewPCG(seed, 33))
		l := newSizedLab(t, fleetShape{nodes: 6, zones: 3, disks: 4, tolerate: 1}, seed)
		l.run(2 * time.Second)
		if a := l.call("n4", Evacuate{ID: "first", Zone: "z"}); a.Err != nil {
			t.Fatal(a.Err)
		}
		apart := true
		l.cut = func(from, to string) bool { return apart && (from == "n5" || to == "n5") }
		l.step("n5", Command{ID: 900, Op: Evacuate{ID: "old", Zone: "z", Restore: true}})
		l.run(time.Duration(rng.IntN(100)) * time.Millisecond)
		l.step("n5", Cancel{ID: 900})
		if _, answered := l.answers[900]; !answered {
			t.Errorf("seed %d: the request continues after its client disconnected", seed)
		}
		if a := l.call("n4", Evacuate{ID: "new", Zone: "z"}); a.Err != nil {
			t.Fatal(a.Err)
		}
		l.run(time.Duration(rng.IntN(100)) * time.Millisecond)
		apart = false
		l.run(3 * time.Second)
		if a := l.call("n4", Get{}); !slices.Contains(a.Value.EvacuatedZones, "z") {
			t.Errorf("seed %d: a request whose client had disconnected undid a later one", seed)
		}
	}
}
