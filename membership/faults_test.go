package membership

import (
	"slices"
	"testing"
	"time"
)

// held tells whether a member holds any other to be in a state.
func (f *fleet) held(by string, s State) bool {
	return slices.ContainsFunc(f.names, func(of string) bool { return of != by && f.state(by, of) == s })
}

// A pause that is longer than PauseGap and shorter than IsolatedAfter: the answers are lost, and the others aren't to blame.
func TestThawedMemberSuspectsNobody(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(Defaults(), seed, 0)
		f.run(3*time.Second + time.Duration(seed)*fleetTick)
		f.paused["n4"] = true
		f.run(1050 * time.Millisecond)
		f.paused["n4"] = false
		f.step()
		if f.held("n4", Suspect) {
			t.Errorf("seed %d: suspects on waking", seed)
		}
	}
}

func TestIsolatedMemberDeclaresNobodyDead(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(Defaults(), seed, 0)
		f.run(3*time.Second + time.Duration(seed)*fleetTick)
		f.partitioned, f.isolated = func(from, to string) bool { return from == "n4" || to == "n4" }, true
		f.run(10 * time.Second)
		if f.held("n4", Dead) {
			t.Errorf("seed %d: holds others dead", seed)
		}
	}
}

// Where only the way between two members is cut, helpers answer for both.
func TestHelpersReachAroundAPartition(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(Defaults(), seed, 0)
		by := Watchers(f.all["n4"].Self, f.all["n4"].Table.All())[0]
		f.partitioned = func(from, to string) bool { return (from == by && to == "n4") || (from == "n4" && to == by) }
		for f.now < 8*time.Second {
			f.step()
			if f.state(by, "n4") != Alive {
				t.Fatalf("seed %d: %s is held %s", seed, "n4", f.state(by, "n4"))
			}
		}
	}
}
