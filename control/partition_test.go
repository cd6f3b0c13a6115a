package control

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

// freeze pauses a node's process for d: no message to it is lost, and all that arrive meanwhile are delivered when it resumes.
func (l *lab) freeze(name string, d time.Duration) {
	all := l.order
	l.order = slices.DeleteFunc(slices.Clone(all), func(n string) bool { return n == name })
	var held []delivery
	for until := l.now + d; l.now < until; {
		for _, p := range l.inFlight {
			if p.to == name {
				held = append(held, p)
			}
		}
		l.inFlight = slices.DeleteFunc(l.inFlight, func(p delivery) bool { return p.to == name })
		l.run(time.Millisecond)
	}
	l.order = all
	l.inFlight = append(held, l.inFlight...)
}

func convergedLab(t *testing.T, size int) *lab {
	l := newLab(t, size)
	l.run(2 * time.Second)
	if a := l.call("n4", onBase(0, 1)); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.run(time.Second)
	return l
}

// wantDenied calls each kind of operator request and the read at a node, and wants an error other than a conflict (a 503) for each before
// the client's timeout.
func (l *lab) wantDenied(at string) {
	l.t.Helper()
	for i, op := range []Op{Get{}, onBase(1, 2), Evacuate{ID: "e", Zone: "z"}} {
		from := l.now
		a := l.call(at, op)
		if a.Err == nil || isConflict(a.Err) {
			l.t.Errorf("call %d at %s: value %v, error %v, want an error that is no conflict", i, at, a.Value, a.Err)
		}
		if elapsed := l.now - from; elapsed > 950*time.Millisecond {
			l.t.Errorf("call %d at %s was answered after %s", i, at, elapsed)
		}
	}
}

func (l *lab) wantUnchanged(at string) {
	l.t.Helper()
	if a := l.call(at, Get{}); a.Err != nil || string(a.Value.Document) != "1" || len(a.Value.EvacuatedZones) > 0 {
		l.t.Errorf("the register has changed: error %v, value %+v", a.Err, a.Value)
	}
}

func TestNodePartitionedOneWayRejectsReadsAndOrders(t *testing.T) {
	for what, cut := range map[string]func(from, to string) bool{
		"receives but cannot send": func(from, to string) bool { return from == "n5" && to != "n5" },
		"sends but cannot receive": func(from, to string) bool { return to == "n5" && from != "n5" },
	} {
		t.Log(what)
		l := convergedLab(t, 6)
		l.cut = cut
		l.wantDenied("n5")
		l.run(5 * time.Second)
		l.wantDenied("n5")
		l.cut = nil
		l.run(5 * time.Second)
		l.wantUnchanged("n5")
	}
}

func TestNodeWithoutVotersRoutesByGossipAndRejectsReads(t *testing.T) {
	l := convergedLab(t, 8)
	l.cut = func(from, to string) bool {
		return (from == "n5" && l.disks[to] != "") || (to == "n5" && l.disks[from] != "")
	}
	l.wantDenied("n5")
	if a := l.call("n4", onBase(1, 2)); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.run(2 * time.Second)
	if got := string(l.nodes["n5"].Value().Document); got != "2" {
		t.Errorf("applied %q, although its neighbours have a newer value", got)
	}
	l.wantDenied("n5")
}

func TestPartitionedVoterHoldsNoLeaseAndChangesNoVoters(t *testing.T) {
	for what, cut := range map[string]func(from, to string) bool{
		"both ways":                func(from, to string) bool { return (from == "n0") != (to == "n0") },
		"receives but cannot send": func(from, to string) bool { return from == "n0" && to != "n0" },
		"sends but cannot receive": func(from, to string) bool { return to == "n0" && from != "n0" },
	} {
		l := convergedLab(t, 8)
		epoch := l.nodes["n0"].Value().Epoch
		l.cut = cut
		l.run(4 * time.Second)
		if held := l.nodes["n0"].HeldRoles(l.now); len(held) > 0 {
			t.Errorf("%s: still has the leases %v after 4 s", what, held)
		}
		l.wantDenied("n0")
		l.run(6 * time.Second)
		for _, v := range []*register.Value{l.nodes["n0"].Value(), l.nodes["n5"].Value()} {
			if slices.ContainsFunc(v.Voters, func(v register.Voter) bool { return v.Disk == "disk-n0" }) && v.Epoch != epoch {
				t.Errorf("%s: voters %v, epoch %d, was %d", what, v.Voters, v.Epoch, epoch)
			}
		}
	}
}

func TestOrdersDelayedByPauseHaveNoEffect(t *testing.T) {
	l := convergedLab(t, 6)
	l.ids += 3
	for i, op := range []Op{onBase(1, 2), Evacuate{ID: "e", Zone: "z"}} {
		l.step("n5", Command{ID: l.ids - uint64(i), Op: op})
	}
	arrived := l.now
	l.freeze("n5", 20*time.Second)
	// This request was read off its connection before the freeze and reaches the goroutine that owns the control state after it.
	l.step("n5", Command{ID: 900, Op: Evacuate{ID: "late", Zone: "z"}, Deadline: Deadline(arrived, 0)})
	l.run(2 * time.Second)
	for _, id := range []uint64{l.ids, l.ids - 1, 900} {
		if a, ok := l.answers[id]; !ok || a.Err == nil || isConflict(a.Err) {
			t.Errorf("request %d: answered %v, error %v", id, ok, a.Err)
		}
	}
	l.wantUnchanged("n4")
}

// TestProposalDelayedAtFrozenVoterIsSuperseded checks that a voter that received a request's proposal just before it froze does not make it
// replace a later one.
func TestProposalDelayedAtFrozenVoterIsSuperseded(t *testing.T) {
	l := convergedLab(t, 6)
	if a := l.call("n4", Evacuate{ID: "first", Zone: "z"}); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.step("n5", Command{ID: 900, Op: Evacuate{ID: "old", Zone: "z", Restore: true}})
	l.run(3 * time.Millisecond)
	l.cut = func(from, to string) bool { return from == "n5" && to != "n0" || to == "n5" }
	l.freeze("n0", 3*time.Second)
	if a := l.call("n4", Evacuate{ID: "again", Zone: "z"}); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.cut = nil
	l.run(5 * time.Second)
	a := l.call("n4", Get{})
	if a.Err != nil || !slices.Contains(a.Value.EvacuatedZones, "z") {
		t.Errorf("the zone is not evacuated: error %v, evacuated zones %v", a.Err, strings.Join(a.Value.EvacuatedZones, ","))
	}
}

// TestEvacuationIsFencedByLaterOne sets a deadline of ten seconds for the old request, so that only the scope guard keeps it from taking
// effect.
func TestEvacuationIsFencedByLaterOne(t *testing.T) {
	for what, first := range map[string]bool{"later request changes nothing": false, "later request restores": true} {
		l := convergedLab(t, 6)
		if a := l.call("n4", Evacuate{ID: "first", Zone: "z"}); a.Err != nil {
			t.Fatal(a.Err)
		}
		// This node's ballot is the highest from now on, so that its next round is not refused before it has read.
		if a := l.call("n5", Evacuate{ID: "other", Zone: "y"}); a.Err != nil {
			t.Fatal(a.Err)
		}
		l.run(100 * time.Millisecond)
		l.ids++
		l.step("n5", Command{ID: l.ids, Op: Evacuate{ID: "old", Zone: "z", Restore: !first}, Deadline: l.now + 10*time.Second})
		old := l.ids
		l.run(2 * time.Millisecond)
		// The promises are in flight. From now on this node's proposal reaches no other node, and the node continues with the value that it
		// read.
		l.cut = func(from, to string) bool { return from == "n5" && to != "n5" }
		if a := l.call("n4", Evacuate{ID: "later", Zone: "z", Restore: first}); a.Err != nil {
			t.Fatal(a.Err)
		}
		l.cut = nil
		l.run(11 * time.Second)
		var conflict *register.ScopeConflictError
		if a := l.answers[old]; !errors.As(a.Err, &conflict) {
			t.Errorf("%s: the old request ended with %v", what, a.Err)
		}
		if a := l.call("n4", Get{}); slices.Contains(a.Value.EvacuatedZones, "z") == first {
			t.Errorf("%s: the old request took effect after the later one: evacuated zones %v", what, a.Value.EvacuatedZones)
		}
	}
}

func TestEvacuationOfAnotherZoneIsNotFenced(t *testing.T) {
	var guard register.ScopeGuard
	change := evacuateChange(Evacuate{ID: "a", Zone: "z"})
	first := &register.Value{}
	if _, err := change(first.Clone(), &guard); err != nil {
		t.Fatal(err)
	}
	first.LogScoped("y", "b", true)
	if next, err := change(first.Clone(), &guard); err != nil || next == nil {
		t.Errorf("fenced by a request for another zone: %v", err)
	}
	for i := range register.MaxLoggedOrders {
		first.LogScoped("y", string(rune('c'+i)), true)
	}
	var conflict *register.ScopeConflictError
	if _, err := change(first.Clone(), &guard); !errors.As(err, &conflict) {
		t.Errorf("the request was applied although the order log no longer covers its guard: %v", err)
	}
}

// TestAppliedEvacuationIsAcknowledgedThoughFenced checks that a request that took effect in an earlier round is acknowledged even though
// another request was applied after it.
func TestAppliedEvacuationIsAcknowledgedThoughFenced(t *testing.T) {
	var guard register.ScopeGuard
	change := evacuateChange(Evacuate{ID: "a", Zone: "z"})
	next, err := change(&register.Value{}, &guard)
	if err != nil {
		t.Fatal(err)
	}
	next.LogScoped("z", "b", true)
	if repeated, err := change(next.Clone(), &guard); err != nil || repeated != nil {
		t.Errorf("an applied request was applied again or rejected: %v, error %v", repeated, err)
	}
}
