package modelcheck

import (
	"errors"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/register"
)

// valueOf returns a value of the register with an epoch and the disks of its voters.
func valueOf(epoch uint64, disks ...string) *register.Value {
	v := &register.Value{Epoch: epoch}
	for _, d := range disks {
		v.Voters = append(v.Voters, register.Voter{Disk: d})
	}
	return v
}

// oneEpoch returns the epochs of a model without a change of voters.
func oneEpoch() []*register.Value { return []*register.Value{valueOf(1, "a", "b", "c")} }

// oneChange returns the epochs of a change of voters that replaces c by s. In the second epoch quorums of both sets are required.
func oneChange() []*register.Value {
	both := valueOf(2, "a", "b", "c")
	both.NextVoters = valueOf(2, "a", "b", "s").Voters
	return []*register.Value{valueOf(1, "a", "b", "c"), both, valueOf(3, "a", "b", "s")}
}

var (
	sameRate  = [numHolders]int{1000, 1000}
	slowRate  = [numHolders]int{950, 950}
	fastRate  = [numHolders]int{1050, 1050}
	mixedRate = [numHolders]int{950, 1050}

	oneTTL = []time.Duration{lease.TTL}
)

var leaseCases = map[string]LeaseModel{
	"restart of a grantor": {
		Epochs: oneEpoch(), ClockSteps: oneTTL, HolderRate: sameRate, GrantorRate: sameRate,
		Budget: LeaseBudget{Acquires: 2, ClockAdvances: 1, Restarts: 1},
	},
	"slow holders, fast grantors": {
		Epochs: oneEpoch(), ClockSteps: oneTTL, HolderRate: slowRate, GrantorRate: fastRate,
		Budget: LeaseBudget{Acquires: 2, ClockAdvances: 2},
	},
	"clocks advance by one second": {
		Epochs: oneEpoch(), ClockSteps: []time.Duration{time.Second}, HolderRate: slowRate, GrantorRate: fastRate,
		Budget: LeaseBudget{Acquires: 1, ClockAdvances: 4, Restarts: 1},
	},
	"mixed clocks, a restart, duplicates": {
		Epochs: oneEpoch(), ClockSteps: []time.Duration{2 * time.Second, 100 * time.Millisecond}, HolderRate: mixedRate, GrantorRate: mixedRate,
		Budget: LeaseBudget{Acquires: 1, ClockAdvances: 3, Restarts: 1, Duplicates: 1},
	},
	"queued grants": {
		Epochs: oneEpoch(), ClockSteps: oneTTL, HolderRate: slowRate, GrantorRate: fastRate, QueuedGrants: true,
		Budget: LeaseBudget{Acquires: 1, ClockAdvances: 2},
	},
	"change of voters, time stands still": {
		Epochs: oneChange(), HolderRate: sameRate, GrantorRate: sameRate,
		Budget: LeaseBudget{Acquires: 1},
	},
	"change of voters": {
		Epochs: oneChange(), ClockSteps: oneTTL, HolderRate: slowRate, GrantorRate: fastRate,
		Budget: LeaseBudget{Acquires: 1, ClockAdvances: 1},
	},
	"change of voters, half accepted for a TTL": {
		Epochs: oneChange(), ClockSteps: oneTTL, HolderRate: sameRate, GrantorRate: sameRate,
		Budget: LeaseBudget{Acquires: 1, ClockAdvances: 1},
	},
	"change of voters, long complete": {
		Epochs: oneChange(), ClockSteps: oneTTL, HolderRate: sameRate, GrantorRate: sameRate,
		Budget: LeaseBudget{Acquires: 1, ClockAdvances: 1},
	},
	"change of voters and a restart": {
		Epochs: oneChange(), HolderRate: sameRate, GrantorRate: sameRate,
		Budget: LeaseBudget{Acquires: 1, Restarts: 1},
	},
}

// Indexes of the grantors of oneChange.
const (
	grantorA = iota
	grantorB
	grantorC
	grantorS
)

// leasePrologues are the steps that are applied to a model of leaseCases before its exploration.
var leasePrologues = map[string][]Event{
	// Only b and s have accepted the epoch with both sets for a whole TTL, because its proposer reached no other disks.
	"change of voters, half accepted for a TTL": {
		{Kind: leaseAcceptEpoch, Target: grantorB, Arg: 1}, {Kind: leaseAcceptEpoch, Target: grantorS, Arg: 1}, {Kind: leaseAdvanceClock},
	},
	// The change has been complete for a whole TTL, and the grantor on a has not learned of it.
	"change of voters, long complete": {
		{Kind: leaseAcceptEpoch, Target: grantorB, Arg: 1}, {Kind: leaseAcceptEpoch, Target: grantorC, Arg: 1},
		{Kind: leaseAcceptEpoch, Target: grantorB, Arg: 2}, {Kind: leaseAcceptEpoch, Target: grantorC, Arg: 2}, {Kind: leaseAcceptEpoch, Target: grantorS, Arg: 2},
		{Kind: leaseLearnEpoch, Target: 1}, {Kind: leaseLearnEpoch, Target: 1}, {Kind: leaseAdvanceClock},
	},
}

// applyPrologue applies steps before an exploration.
func (l *LeaseState) applyPrologue(steps []Event) *LeaseState {
	for _, e := range steps {
		l = l.Apply(e)
	}
	return l
}

func TestLeaseModelsHold(t *testing.T) {
	for name, model := range leaseCases {
		t.Run(name, func(t *testing.T) {
			model.Protocol = ProductionLeaseProtocol()
			report := Explore(NewLeaseState(model).applyPrologue(leasePrologues[name]), bounds())
			if report.Err != nil {
				t.Fatal(report)
			}
			t.Log(report)
		})
	}
}

// overrideGrant makes a grantor release its grant when another holder requests the lease.
func overrideGrant(g *lease.Grantor, now time.Duration, m lease.Request) lease.Grant {
	if kept, ok := g.Records()[m.Role]; ok && kept.Holder != m.Holder {
		g.HandleRelease(lease.Release{Disk: g.Disk, Role: m.Role, Holder: kept.Holder, Token: kept.Token})
		m.Token.Number += kept.Token.Number
	}
	r, _ := g.HandleRequest(now, m)
	return r
}

// grantInAnyEpoch grants requests of any epoch, also of holders that know other voters.
func grantInAnyEpoch(g *lease.Grantor, now time.Duration, m lease.Request) lease.Grant {
	m.Epoch = g.Epoch()
	r, _ := g.HandleRequest(now, m)
	return r
}

var leaseMutations = map[string]struct {
	model  string
	mutate func(p *LeaseProtocol)
}{
	"no grace after a restart": {
		model: "restart of a grantor",
		mutate: func(p *LeaseProtocol) {
			p.Restart = func(g *lease.Grantor, now time.Duration) *lease.Grantor {
				return lease.NewGrantor(g.Disk, g.Records(), now)
			}
			p.ChangeEpoch = func(g *lease.Grantor, now time.Duration, epoch uint64) { g.ChangeEpoch(now-lease.TTL, epoch) }
		},
	},
	"no grace after a change of voters": {
		model: "change of voters, time stands still",
		mutate: func(p *LeaseProtocol) {
			p.ChangeEpoch = func(g *lease.Grantor, now time.Duration, epoch uint64) { g.ChangeEpoch(now-lease.TTL, epoch) }
		},
	},
	"no margin for drift": {
		model: "slow holders, fast grantors",
		mutate: func(p *LeaseProtocol) {
			p.Holds = func(h *lease.Holder, now time.Duration) bool {
				_, yes := h.Holds(now-lease.DriftMargin, leaseRole)
				return yes
			}
		},
	},
	"another holder's request overrides a grant": {
		model:  "slow holders, fast grantors",
		mutate: func(p *LeaseProtocol) { p.HandleRequest = overrideGrant },
	},
	"grants in any epoch": {
		model:  "change of voters, long complete",
		mutate: func(p *LeaseProtocol) { p.HandleRequest, p.IgnoresEpoch = grantInAnyEpoch, true },
	},
}

func TestRemovedLeaseMechanismBreaksAnInvariant(t *testing.T) {
	for name, m := range leaseMutations {
		t.Run(name, func(t *testing.T) {
			model := leaseCases[m.model]
			model.Protocol = ProductionLeaseProtocol()
			m.mutate(&model.Protocol)
			report := Explore(NewLeaseState(model).applyPrologue(leasePrologues[m.model]), Bounds{MaxStates: maxMutationStates})
			var broken *InvariantError
			if !errors.As(report.Err, &broken) {
				t.Fatal("no invariant is broken:", report)
			}
			t.Log(report)
		})
	}
}
