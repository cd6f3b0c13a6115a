package membership

import (
	"slices"
	"testing"
	"time"
)

// anyInState reports whether a member considers any other to be in the given state.
func (f *fleet) anyInState(by string, s State) bool {
	return slices.ContainsFunc(f.names, func(of string) bool { return of != by && f.state(by, of) == s })
}

// TestResumedMemberSuspectsNobody freezes a member for longer than PauseGap and less than IsolatedAfter. Answers to its pings are lost meanwhile,
// for which it must not suspect the other members.
func TestResumedMemberSuspectsNobody(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(Defaults(), seed, 0)
		f.run(3*time.Second + time.Duration(seed)*fleetTick)
		f.paused["n4"] = true
		f.run(1050 * time.Millisecond)
		f.paused["n4"] = false
		f.step()
		if f.anyInState("n4", Suspect) {
			t.Errorf("seed %d: the member suspects others after it resumed", seed)
		}
	}
}

func TestIsolatedMemberDeclaresNobodyDead(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(Defaults(), seed, 0)
		f.run(3*time.Second + time.Duration(seed)*fleetTick)
		f.partitioned, f.cutsGossip = func(from, to string) bool { return from == "n4" || to == "n4" }, true
		f.run(10 * time.Second)
		if f.anyInState("n4", Dead) {
			t.Errorf("seed %d: the isolated member considers others dead", seed)
		}
	}
}

// TestHelpersReachAroundAPartition cuts only the connection between a member and one of its watchers: helpers must keep it from being suspected.
func TestHelpersReachAroundAPartition(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(Defaults(), seed, 0)
		by := Watchers(f.all["n4"].Self, f.all["n4"].Table.All())[0]
		f.partitioned = func(from, to string) bool { return (from == by && to == "n4") || (from == "n4" && to == by) }
		for f.now < 8*time.Second {
			f.step()
			if f.state(by, "n4") != Alive {
				t.Fatalf("seed %d: %s is considered %s", seed, "n4", f.state(by, "n4"))
			}
		}
	}
}
