package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/scheduler"
)

const (
	seeds = 12
	// detectedWithin bounds the time from a member's end until everybody holds it dead: a ping interval, both timeouts, the suspicion, the
	// spread of both, and some ticks.
	detectedWithin = 3 * time.Second
	// wrongFor bounds how long anybody may hold a live member dead: until it hears of that and its refutation has come back.
	wrongFor = 2*spreadIn + 4*fleetTick
)

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
		if wrong := f.now - since[pair]; wrong > wrongFor {
			t.Fatalf("seed %d: %s holds %s dead for %s", seed, by, of, wrong)
		}
	}
}

func TestDeadMemberIsDetectedByAll(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(seeds) {
		f := newFleet(Defaults(), seed, 0)
		f.run(3 * time.Second)
		f.gone["n4"] = true
		began := f.now
		known := func() bool {
			return !slices.ContainsFunc(f.names, func(by string) bool { return by != "n4" && f.state(by, "n4") != Dead })
		}
		for !known() && f.now-began < detectedWithin {
			f.step()
		}
		if !known() {
			t.Errorf("seed %d: not found after %s", seed, detectedWithin)
		}
		worst = max(worst, f.now-began)
		if len(f.declared) != 1 {
			t.Errorf("seed %d: declared dead: %v", seed, f.declared)
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
		delete(f.declared, "n4")
		if len(f.declared) > 0 {
			t.Errorf("seed %d: declared dead: %v", seed, f.declared)
		}
		for _, by := range f.names {
			if s := f.state(by, "n4"); s != Alive {
				t.Errorf("seed %d: %s holds the woken member %s", seed, by, s)
			}
		}
	}
}

func TestRefutationWins(t *testing.T) {
	me := Member{Name: "a", Zone: "z"}
	k := New(Defaults(), me, 1, 0)
	other := New(Defaults(), Member{Name: "b", Zone: "z"}, 2, 0)
	for _, s := range []State{Suspect, Dead} {
		said := k.Self
		said.State = s
		other.Merge(0, said)
		k.Merge(0, said)
		if k.Self.Incarnation <= said.Incarnation || k.Self.State != Alive {
			t.Errorf("%s is not refuted: %+v", s, k.Self)
		}
		for _, row := range []Member{k.Self, said} {
			other.Merge(0, row)
		}
		if m, _ := other.Table.Get("a"); m.State != Alive || m.Incarnation != k.Self.Incarnation {
			t.Errorf("a refuted %s holds: %+v", s, m)
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
			t.Errorf("%v: not watched by the only other", few)
		}
	}
}

func checkWatchers(t *testing.T, target Member, all []Member) {
	t.Helper()
	var near, far []string
	for _, m := range all {
		switch {
		case m.Name == target.Name:
		case m.Zone == target.Zone:
			near = append(near, m.Name)
		default:
			far = append(far, m.Name)
		}
	}
	want := append(scheduler.SortByWeight(target.Name, near)[:watchersInZone], scheduler.SortByWeight(target.Name, far)[:watchersElsewhere]...)
	if got := Watchers(target, all); len(got) == 0 || !slices.Equal(got, want) {
		t.Errorf("%s is watched by %v, not %v", target.Name, got, want)
	}
	for _, m := range all {
		if watches(m, target, all) != slices.Contains(want, m.Name) {
			t.Errorf("%s watches %s: %t", m.Name, target.Name, watches(m, target, all))
		}
	}
}
