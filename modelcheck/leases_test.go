package modelcheck

import (
	"errors"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/register"
)

func seats(epoch uint64, disks ...string) *register.Value {
	v := &register.Value{Epoch: epoch}
	for _, d := range disks {
		v.Voters = append(v.Voters, register.Voter{Disk: d})
	}
	return v
}

// oneEpoch has no change of voters; oneChange replaces c by s, with both sets in between.
func oneEpoch() []*register.Value { return []*register.Value{seats(1, "a", "b", "c")} }

func oneChange() []*register.Value {
	both := seats(2, "a", "b", "c")
	both.NextVoters = seats(2, "a", "b", "s").Voters
	return []*register.Value{seats(1, "a", "b", "c"), both, seats(3, "a", "b", "s")}
}

var (
	even = [holders]int{1000, 1000}
	slow = [holders]int{950, 950}
	fast = [holders]int{1050, 1050}
	mix  = [holders]int{950, 1050}

	fullTerm = []time.Duration{lease.TTL}
)

var leaseWorlds = map[string]LeaseModel{
	"restart of a grantor": {
		Epochs: oneEpoch(), ClockSteps: fullTerm, HolderRate: even, GrantorRate: even,
		Budget: LeaseBudget{Acquires: 2, ClockAdvances: 1, Restarts: 1},
	},
	"slow holders, fast grantors": {
		Epochs: oneEpoch(), ClockSteps: fullTerm, HolderRate: slow, GrantorRate: fast,
		Budget: LeaseBudget{Acquires: 2, ClockAdvances: 2},
	},
	"every second": {
		Epochs: oneEpoch(), ClockSteps: []time.Duration{time.Second}, HolderRate: slow, GrantorRate: fast,
		Budget: LeaseBudget{Acquires: 1, ClockAdvances: 4, Restarts: 1},
	},
	"mixed clocks, a restart, doubles": {
		Epochs: oneEpoch(), ClockSteps: []time.Duration{2 * time.Second, 100 * time.Millisecond}, HolderRate: mix, GrantorRate: mix,
		Budget: LeaseBudget{Acquires: 1, ClockAdvances: 3, Restarts: 1, Duplicates: 1},
	},
	"queued grants": {
		Epochs: oneEpoch(), ClockSteps: fullTerm, HolderRate: slow, GrantorRate: fast, QueuedGrants: true,
		Budget: LeaseBudget{Acquires: 1, ClockAdvances: 2},
	},
	"change of voters at once": {
		Epochs: oneChange(), HolderRate: even, GrantorRate: even,
		Budget: LeaseBudget{Acquires: 1},
	},
	"change of voters": {
		Epochs: oneChange(), ClockSteps: fullTerm, HolderRate: slow, GrantorRate: fast,
		Budget: LeaseBudget{Acquires: 1, ClockAdvances: 1},
	},
	"change of voters, half known for a term": {
		Epochs: oneChange(), ClockSteps: fullTerm, HolderRate: even, GrantorRate: even,
		Budget: LeaseBudget{Acquires: 1, ClockAdvances: 1},
	},
	"change of voters, long over": {
		Epochs: oneChange(), ClockSteps: fullTerm, HolderRate: even, GrantorRate: even,
		Budget: LeaseBudget{Acquires: 1, ClockAdvances: 1},
	},
	"change of voters and a restart": {
		Epochs: oneChange(), HolderRate: even, GrantorRate: even,
		Budget: LeaseBudget{Acquires: 1, Restarts: 1},
	},
}

// Grantors of oneChange, in the order in which they are met.
const (
	grantorA = iota
	grantorB
	grantorC
	grantorS
)

// leasePrologues are steps that are taken before a world is explored.
var leasePrologues = map[string][]Event{
	// The epoch with both sets is known at b and s alone for a whole term: whoever proposed it reached no more.
	"change of voters, half known for a term": {
		{Kind: acceptEpoch, Target: grantorB, Arg: 1}, {Kind: acceptEpoch, Target: grantorS, Arg: 1}, {Kind: advance},
	},
	// The change is over for a whole term, and a has heard nothing of it.
	"change of voters, long over": {
		{Kind: acceptEpoch, Target: grantorB, Arg: 1}, {Kind: acceptEpoch, Target: grantorC, Arg: 1},
		{Kind: acceptEpoch, Target: grantorB, Arg: 2}, {Kind: acceptEpoch, Target: grantorC, Arg: 2}, {Kind: acceptEpoch, Target: grantorS, Arg: 2},
		{Kind: learnEpoch, Target: 1}, {Kind: learnEpoch, Target: 1}, {Kind: advance},
	},
}

// after takes steps before an exploration begins.
func (l *LeaseState) after(steps []Event) *LeaseState {
	for _, e := range steps {
		l = l.Apply(e)
	}
	return l
}

func TestLeaseWorldsHold(t *testing.T) {
	for name, plan := range leaseWorlds {
		t.Run(name, func(t *testing.T) {
			plan.Protocol = ProductionLeaseProtocol()
			report := Explore(NewLeaseState(plan).after(leasePrologues[name]), bounds())
			if report.Err != nil {
				t.Fatal(report)
			}
			t.Log(report)
		})
	}
}

// overruled has a grantor forget whom it granted to when another one asks.
func overruled(g *lease.Grantor, now time.Duration, m lease.Request) lease.Grant {
	if kept, ok := g.Records()[m.Role]; ok && kept.Holder != m.Holder {
		g.HandleRelease(lease.Release{Disk: g.Disk, Role: m.Role, Holder: kept.Holder, Token: kept.Token})
		m.Token.Number += kept.Token.Number
	}
	r, _ := g.HandleRequest(now, m)
	return r
}

// anyEpoch grants to holders that know other voters.
func anyEpoch(g *lease.Grantor, now time.Duration, m lease.Request) lease.Grant {
	m.Epoch = g.Epoch()
	r, _ := g.HandleRequest(now, m)
	return r
}

var leaseMutations = map[string]struct {
	world  string
	mutate func(r *LeaseProtocol)
}{
	"no grace after a restart": {
		world: "restart of a grantor",
		mutate: func(r *LeaseProtocol) {
			r.Restart = func(g *lease.Grantor, now time.Duration) *lease.Grantor {
				return lease.NewGrantor(g.Disk, g.Records(), now)
			}
			r.ChangeEpoch = func(g *lease.Grantor, now time.Duration, epoch uint64) { g.ChangeEpoch(now-lease.TTL, epoch) }
		},
	},
	"no grace after a change of voters": {
		world: "change of voters at once",
		mutate: func(r *LeaseProtocol) {
			r.ChangeEpoch = func(g *lease.Grantor, now time.Duration, epoch uint64) { g.ChangeEpoch(now-lease.TTL, epoch) }
		},
	},
	"no margin for drift": {
		world: "slow holders, fast grantors",
		mutate: func(r *LeaseProtocol) {
			r.Holds = func(h *lease.Holder, now time.Duration) bool {
				_, yes := h.Holds(now-lease.DriftMargin, leaseRole)
				return yes
			}
		},
	},
	"a new asker overrules a grant": {
		world:  "slow holders, fast grantors",
		mutate: func(r *LeaseProtocol) { r.HandleRequest = overruled },
	},
	"grants in any epoch": {
		world:  "change of voters, long over",
		mutate: func(r *LeaseProtocol) { r.HandleRequest, r.IgnoresEpoch = anyEpoch, true },
	},
}

func TestRemovedLeaseMechanismBreaksAnInvariant(t *testing.T) {
	for name, m := range leaseMutations {
		t.Run(name, func(t *testing.T) {
			plan := leaseWorlds[m.world]
			plan.Protocol = ProductionLeaseProtocol()
			m.mutate(&plan.Protocol)
			report := Explore(NewLeaseState(plan).after(leasePrologues[m.world]), Bounds{MaxStates: mutationStates})
			var broken *InvariantError
			if !errors.As(report.Err, &broken) {
				t.Fatal("nothing breaks:", report)
			}
			t.Log(report)
		})
	}
}
