package modelcheck

import (
	"errors"
	"testing"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

// Two operators' orders for one zone: the first one evacuates it and, when that is over, does so again; the second one restores it.
var (
	evacuate = Order{ID: "x", Kind: Evacuate}
	restored = Order{ID: "y", Kind: Restore, Home: 1}
	again    = Order{ID: "w", Kind: Evacuate, Behind: "x"}
)

// evacuationWorlds are worlds that hold. A caller who got no answer asks the other proposer, once.
var evacuationWorlds = map[string]scenario{
	"evacuate, restore": {
		plan: Plan{Disks: three, Voters: 3, Orders: []Order{evacuate, restored}, Budget: Budget{Leaves: 1}},
	},
	"evacuate, restore, a proposer times out": {
		plan: Plan{Disks: three, Voters: 3, Orders: []Order{evacuate, restored}, Budget: Budget{Timers: 1, Leaves: 1}},
	},
	"evacuate, restore, callers repeat": {
		plan: Plan{Disks: three, Voters: 3, Orders: []Order{evacuate, restored}, Budget: Budget{Leaves: 1, Resends: 1}},
	},
	"evacuate, restore, callers leave early": {
		plan: Plan{Disks: three, Voters: 3, Early: true, Orders: []Order{evacuate, restored}, Budget: Budget{Timers: 1, Leaves: 1}},
	},
	"evacuate, restore, evacuate, callers repeat": {
		plan: Plan{Disks: three, Voters: 3, Orders: []Order{evacuate, restored, again}, Budget: Budget{Timers: 1, Leaves: 2, Resends: 2}},
	},
	"evacuate, restore, evacuate, callers leave early and repeat": {
		plan: Plan{Disks: three, Voters: 3, Early: true, Orders: []Order{evacuate, restored, again}, Budget: Budget{Timers: 1, Leaves: 2, Resends: 2}},
	},
	"evacuate, restore, a read, a proposer restarts": {
		plan: Plan{Disks: three, Voters: 3, Orders: []Order{evacuate, restored, read}, Budget: Budget{Leaves: 1, Restarts: 1}},
	},
}

func TestEvacuationWorldsHold(t *testing.T) {
	for name, world := range evacuationWorlds {
		t.Run(name, func(t *testing.T) {
			world.plan.Rules = RealRules()
			report := Explore(NewCluster(world.plan), bounds())
			if report.Err != nil {
				t.Fatal(report)
			}
			t.Log(report)
		})
	}
}

// unfencedEvacuation reads as usual, but goes by a fence set anew at every run.
func unfencedEvacuation(op control.Evacuate) register.GuardedChange {
	genuine := control.EvacuateChange(op)
	return func(cur *register.Value, fence *register.ScopeGuard) (*register.Value, error) {
		fence.Set(cur, op.Zone)
		return genuine(cur, &register.ScopeGuard{})
	}
}

// unremembered takes an evacuation that changes nothing without a note of it.
func unremembered(op control.Evacuate) register.GuardedChange {
	genuine := control.EvacuateChange(op)
	return func(cur *register.Value, fence *register.ScopeGuard) (*register.Value, error) {
		if (len(cur.EvacuatedZones) == 0) == op.Restore {
			return nil, nil
		}
		return genuine(cur, fence)
	}
}

// twice evacuates an evacuated zone: the second order changes nothing.
var twice = []Order{{ID: "x", Kind: Restore}, {ID: "y", Kind: Evacuate, Home: 1}, {ID: "w", Kind: Restore, Home: 1, Behind: "y"}}

var evacuationMutations = map[string]mutation{
	"no fence": {
		plan:   Plan{Disks: three, Voters: 3, Early: true, Orders: []Order{evacuate, restored}, Budget: Budget{Timers: 1, Leaves: 1}},
		mutate: func(r *Rules) { r.Evacuate = unfencedEvacuation },
	},
	"no deadline": {
		plan:   Plan{Disks: three, Voters: 3, Orders: []Order{evacuate, restored}, Budget: Budget{Leaves: 1}},
		mutate: func(r *Rules) { r.PassDeadline = func(*register.Proposer, uint64) {} },
	},
	"an order that changes nothing is not remembered": {
		plan:   Plan{Disks: three, Voters: 3, Early: true, Orders: twice, Budget: Budget{Timers: 1, Leaves: 1}},
		mutate: func(r *Rules) { r.Evacuate = unremembered },
	},
}

func TestRemovedEvacuationMechanismBreaksAnInvariant(t *testing.T) {
	for name, m := range evacuationMutations {
		t.Run(name, func(t *testing.T) {
			m.plan.Rules = RealRules()
			m.mutate(&m.plan.Rules)
			report := Explore(NewCluster(m.plan), Bounds{States: mutationStates})
			var broken *InvariantError
			if !errors.As(report.Err, &broken) {
				t.Fatal("nothing breaks:", report)
			}
			t.Log(report)
		})
	}
}
