package control

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

// freeze lets a node stand still: nothing is lost, and all that came meanwhile lies there when it goes on.
func (l *lab) freeze(name string, d time.Duration) {
	all := l.order
	l.order = slices.DeleteFunc(slices.Clone(all), func(n string) bool { return n == name })
	var holder []parcel
	for until := l.now + d; l.now < until; {
		for _, p := range l.mail {
			if p.to == name {
				holder = append(holder, p)
			}
		}
		l.mail = slices.DeleteFunc(l.mail, func(p parcel) bool { return p.to == name })
		l.run(time.Millisecond)
	}
	l.order = all
	l.mail = append(holder, l.mail...)
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

// denied calls each kind of order and the read at a node, and wants a 503 for each while the caller waits.
func (l *lab) denied(at string) {
	l.t.Helper()
	for i, op := range []Op{Get{}, onBase(1, 2), Evacuate{ID: "e", Zone: "z"}} {
		from := l.now
		a := l.call(at, op)
		if a.Err == nil || isConflict(a.Err) {
			l.t.Errorf("call %d at %s: %v, %v", i, at, a.Value, a.Err)
		}
		if elapsed := l.now - from; elapsed > 950*time.Millisecond {
			l.t.Errorf("call %d at %s was answered after %s", i, at, elapsed)
		}
	}
}

func (l *lab) unchanged(at string) {
	l.t.Helper()
	if a := l.call(at, Get{}); a.Err != nil || string(a.Value.Document) != "1" || len(a.Value.EvacuatedZones) > 0 {
		l.t.Errorf("%v %+v", a.Err, a.Value)
	}
}

func TestNodePartitionedOneWayRejectsReadsAndOrders(t *testing.T) {
	for what, cut := range map[string]func(from, to string) bool{
		"hears and isn't heard":   func(from, to string) bool { return from == "n5" && to != "n5" },
		"is heard and hears none": func(from, to string) bool { return to == "n5" && from != "n5" },
	} {
		t.Log(what)
		l := convergedLab(t, 6)
		l.cut = cut
		l.denied("n5")
		l.run(5 * time.Second)
		l.denied("n5")
		l.cut = nil
		l.run(5 * time.Second)
		l.unchanged("n5")
	}
}

func TestNodeWithoutVotersRoutesByGossipAndRejectsReads(t *testing.T) {
	l := convergedLab(t, 8)
	l.cut = func(from, to string) bool {
		return (from == "n5" && l.disks[to] != "") || (to == "n5" && l.disks[from] != "")
	}
	l.denied("n5")
	if a := l.call("n4", onBase(1, 2)); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.run(2 * time.Second)
	if got := string(l.nodes["n5"].Value().Document); got != "2" {
		t.Errorf("goes by %q, though others tell it of a newer one", got)
	}
	l.denied("n5")
}

func TestPartitionedVoterHoldsNoLeaseAndChangesNoVoters(t *testing.T) {
	for what, cut := range map[string]func(from, to string) bool{
		"both ways":               func(from, to string) bool { return (from == "n0") != (to == "n0") },
		"hears and isn't heard":   func(from, to string) bool { return from == "n0" && to != "n0" },
		"is heard and hears none": func(from, to string) bool { return to == "n0" && from != "n0" },
	} {
		l := convergedLab(t, 8)
		epoch := l.nodes["n0"].Value().Epoch
		l.cut = cut
		l.run(4 * time.Second)
		if held := l.nodes["n0"].HeldRoles(l.now); len(held) > 0 {
			t.Errorf("%s: holds %v after 4 s", what, held)
		}
		l.denied("n0")
		l.run(6 * time.Second)
		for _, v := range []*register.Value{l.nodes["n0"].Value(), l.nodes["n5"].Value()} {
			if slices.ContainsFunc(v.Voters, func(v register.Voter) bool { return v.Disk == "disk-n0" }) && v.Epoch != epoch {
				t.Errorf("%s: voters %v, seat %d was %d", what, v.Voters, v.Epoch, epoch)
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
	// This one was read off its connection before the freeze, and reaches the owner of control state after it.
	l.step("n5", Command{ID: 900, Op: Evacuate{ID: "late", Zone: "z"}, Deadline: Deadline(arrived, 0)})
	l.run(2 * time.Second)
	for _, id := range []uint64{l.ids, l.ids - 1, 900} {
		if a, ok := l.answers[id]; !ok || a.Err == nil || isConflict(a.Err) {
			t.Errorf("%d: %v %v", id, ok, a.Err)
		}
	}
	l.unchanged("n4")
}

// A voter that took an order's offer just before it froze must not bring it back over a later one.
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
		t.Errorf("%v %v", a.Err, strings.Join(a.Value.EvacuatedZones, ","))
	}
}

// The caller of the old order is given ten seconds here, so that nothing but the fence keeps it from taking effect.
func TestEvacuationIsFencedByLaterOne(t *testing.T) {
	for what, first := range map[string]bool{"later order changes nothing": false, "later order restores": true} {
		l := convergedLab(t, 6)
		if a := l.call("n4", Evacuate{ID: "first", Zone: "z"}); a.Err != nil {
			t.Fatal(a.Err)
		}
		// This node's ballot is the highest from here on, so that its next round isn't turned back before it has read.
		if a := l.call("n5", Evacuate{ID: "other", Zone: "y"}); a.Err != nil {
			t.Fatal(a.Err)
		}
		l.run(100 * time.Millisecond)
		l.ids++
		l.step("n5", Command{ID: l.ids, Op: Evacuate{ID: "old", Zone: "z", Restore: !first}, Deadline: l.now + 10*time.Second})
		old := l.ids
		l.run(2 * time.Millisecond)
		// The promises are on their way back: from here on nobody hears this node's offer, and it goes on with what it read.
		l.cut = func(from, to string) bool { return from == "n5" && to != "n5" }
		if a := l.call("n4", Evacuate{ID: "later", Zone: "z", Restore: first}); a.Err != nil {
			t.Fatal(a.Err)
		}
		l.cut = nil
		l.run(11 * time.Second)
		var fenced *register.ScopeConflictError
		if a := l.answers[old]; !errors.As(a.Err, &fenced) {
			t.Errorf("%s: the old order ends with %v", what, a.Err)
		}
		if a := l.call("n4", Get{}); slices.Contains(a.Value.EvacuatedZones, "z") == first {
			t.Errorf("%s: an old order came after it: %v", what, a.Value.EvacuatedZones)
		}
	}
}

func TestEvacuationOfAnotherZoneIsNotFenced(t *testing.T) {
	var fence register.ScopeGuard
	change := evacuateChange(Evacuate{ID: "a", Zone: "z"})
	first := &register.Value{}
	if _, err := change(first.Clone(), &fence); err != nil {
		t.Fatal(err)
	}
	first.LogScoped("y", "b", true)
	if next, err := change(first.Clone(), &fence); err != nil || next == nil {
		t.Errorf("%v", err)
	}
	for i := range register.MaxLoggedOrders {
		first.LogScoped("y", string(rune('c'+i)), true)
	}
	var fenced *register.ScopeConflictError
	if _, err := change(first.Clone(), &fence); !errors.As(err, &fenced) {
		t.Errorf("the memory has turned over, and the order is taken: %v", err)
	}
}

// An order that took effect in an earlier round is acknowledged though another was taken on top of it.
func TestAppliedEvacuationIsAcknowledgedThoughFenced(t *testing.T) {
	var fence register.ScopeGuard
	change := evacuateChange(Evacuate{ID: "a", Zone: "z"})
	next, err := change(&register.Value{}, &fence)
	if err != nil {
		t.Fatal(err)
	}
	next.LogScoped("z", "b", true)
	if repeated, err := change(next.Clone(), &fence); err != nil || repeated != nil {
		t.Errorf("%v %v", repeated, err)
	}
}
