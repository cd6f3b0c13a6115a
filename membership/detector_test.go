package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/scheduler"
)

const (
	seeds = 12
	// detectedWithin bounds the time from when a member stops until all others consider it dead: a ping interval, both ping timeouts, the
	// suspicion timeout, the spread of the suspicion and of the death by gossip, and a few ticks.
	detectedWithin = 3 * time.Second
	// maxFalselyDead bounds how long a member may consider a live one dead: until gossip has reached that one and its refutation has come back.
	maxFalselyDead = 2*maxGossipDelay + 4*fleetTick
)

// TestLiveMemberIsRefutedInTime checks that a live member which is declared dead because of message loss refutes that within maxFalselyDead.
func TestLiveMemberIsRefutedInTime(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(Defaults(), seed, 0.1)
		since := map[[2]string]time.Duration{}
		for f.now < 15*time.Second {
			f.step()
			for _, by := range f.names {
				checkRefuted(t, f, seed, by, since)
			}
		}
	}
}

func checkRefuted(t *testing.T, f *fleet, seed uint64, by string, since map[[2]string]time.Duration) {
	t.Helper()
	for _, of := range f.names {
		pair := [2]string{by, of}
		if f.state(by, of) != Dead {
			delete(since, pair)
			continue
		}
		if _, ok := since[pair]; !ok {
			since[pair] = f.now
		}
		if wrong := f.now - since[pair]; wrong > maxFalselyDead {
			t.Fatalf("seed %d: %s has considered %s dead for %s, though it is alive", seed, by, of, wrong)
		}
	}
}

func TestDeadMemberIsDetectedByAll(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(seeds) {
		f := newFleet(Defaults(), seed, 0)
		f.run(3 * time.Second)
		f.stopped["n4"] = true
		began := f.now
		known := func() bool {
			return !slices.ContainsFunc(f.names, func(by string) bool { return by != "n4" && f.state(by, "n4") != Dead })
		}
		for !known() && f.now-began < detectedWithin {
			f.step()
		}
		if !known() {
			t.Errorf("seed %d: the dead member was not detected by all after %s", seed, detectedWithin)
		}
		worst = max(worst, f.now-began)
		if len(f.declaredDead) != 1 {
			t.Errorf("seed %d: declared dead: %v", seed, f.declaredDead)
		}
	}
	t.Log("worst:", worst)
}

func TestPausedMemberDeclaresNobodyDead(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(Defaults(), seed, 0)
		f.run(3*time.Second + time.Duration(seed)*fleetTick)
		f.paused["n4"] = true
		f.run(8 * time.Second)
		f.paused["n4"] = false
		f.run(4 * time.Second)
		delete(f.declaredDead, "n4")
		if len(f.declaredDead) > 0 {
			t.Errorf("seed %d: declared dead: %v", seed, f.declaredDead)
		}
		for _, by := range f.names {
			if s := f.state(by, "n4"); s != Alive {
				t.Errorf("seed %d: %s considers the resumed member %s", seed, by, s)
			}
		}
	}
}

func TestRefutationWins(t *testing.T) {
	me := Member{Name: "a", Zone: "z"}
	d := New(Defaults(), me, 1, 0)
	other := New(Defaults(), Member{Name: "b", Zone: "z"}, 2, 0)
	for _, s := range []State{Suspect, Dead} {
		claim := d.Self
		claim.State = s
		other.Merge(0, claim)
		d.Merge(0, claim)
		if d.Self.Incarnation <= claim.Incarnation || d.Self.State != Alive {
			t.Errorf("%s is not refuted: %+v", s, d.Self)
		}
		for _, row := range []Member{d.Self, claim} {
			other.Merge(0, row)
		}
		if m, _ := other.Table.Get("a"); m.State != Alive || m.Incarnation != d.Self.Incarnation {
			t.Errorf("the state %s remains after it was refuted: %+v", s, m)
		}
	}
}

func TestWatchersAreTheFirstByRendezvousHashing(t *testing.T) {
	f := newFleet(Defaults(), 1, 0)
	all := f.all["n0"].Table.All()
	for _, target := range all {
		checkWatchers(t, target, all)
	}
	for _, few := range [][]Member{all[:2], {all[0], all[3]}} {
		if len(Watchers(few[0], few)) != 1 {
			t.Errorf("%v: the first is not watched by the only other member", few)
		}
	}
}

func checkWatchers(t *testing.T, target Member, all []Member) {
	t.Helper()
	var sameZone, otherZones []string
	for _, m := range all {
		switch {
		case m.Name == target.Name:
		case m.Zone == target.Zone:
			sameZone = append(sameZone, m.Name)
		default:
			otherZones = append(otherZones, m.Name)
		}
	}
	want := append(scheduler.SortByWeight(target.Name, sameZone)[:sameZoneWatchers], scheduler.SortByWeight(target.Name, otherZones)[:otherZoneWatchers]...)
	if got := Watchers(target, all); len(got) == 0 || !slices.Equal(got, want) {
		t.Errorf("%s is watched by %v, not %v", target.Name, got, want)
	}
	for _, m := range all {
		if isWatcher(m, target, all) != slices.Contains(want, m.Name) {
			t.Errorf("%s watches %s: %t", m.Name, target.Name, isWatcher(m, target, all))
		}
	}
}
