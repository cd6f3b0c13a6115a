package modelcheck

import (
	"errors"
	"testing"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

// Two operators' orders for one zone: the first one evacuates it and, when that is over, does so again; the second one restores it.
var (
	evacuate = OperatorRequest{ID: "x", Kind: Evacuate}
	restored = OperatorRequest{ID: "y", Kind: Restore, FirstProposer: 1}
	again    = OperatorRequest{ID: "w", Kind: Evacuate, After: "x"}
)

// evacuationWorlds are worlds that hold. A caller who got no answer asks the other proposer, once.
var evacuationWorlds = map[string]scenario{
	"evacuate, restore": {
		plan: RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{evacuate, restored}, Budget: Budget{Disconnects: 1}},
	},
	"evacuate, restore, a proposer times out": {
		plan: RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{evacuate, restored}, Budget: Budget{Timers: 1, Disconnects: 1}},
	},
	"evacuate, restore, callers repeat": {
		plan: RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{evacuate, restored}, Budget: Budget{Disconnects: 1, Resends: 1}},
	},
	"evacuate, restore, callers leave early": {
		plan: RegisterModel{Disks: three, Voters: 3, EarlyDisconnects: true, Requests: []OperatorRequest{evacuate, restored}, Budget: Budget{Timers: 1, Disconnects: 1}},
	},
	"evacuate, restore, evacuate, callers repeat": {
		plan: RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{evacuate, restored, again}, Budget: Budget{Timers: 1, Disconnects: 2, Resends: 2}},
	},
	"evacuate, restore, evacuate, callers leave early and repeat": {
		plan: RegisterModel{Disks: three, Voters: 3, EarlyDisconnects: true, Requests: []OperatorRequest{evacuate, restored, again}, Budget: Budget{Timers: 1, Disconnects: 2, Resends: 2}},
	},
	"evacuate, restore, a read, a proposer restarts": {
		plan: RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{evacuate, restored, read}, Budget: Budget{Disconnects: 1, Restarts: 1}},
	},
}

func TestEvacuationWorldsHold(t *testing.T) {
	for name, world := range evacuationWorlds {
		t.Run(name, func(t *testing.T) {
			world.plan.Protocol = ProductionProtocol()
			report := Explore(NewRegisterState(world.plan), bounds())
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
var twice = []OperatorRequest{{ID: "x", Kind: Restore}, {ID: "y", Kind: Evacuate, FirstProposer: 1}, {ID: "w", Kind: Restore, FirstProposer: 1, After: "y"}}

var evacuationMutations = map[string]mutation{
	"no fence": {
		plan:   RegisterModel{Disks: three, Voters: 3, EarlyDisconnects: true, Requests: []OperatorRequest{evacuate, restored}, Budget: Budget{Timers: 1, Disconnects: 1}},
		mutate: func(r *Protocol) { r.Evacuate = unfencedEvacuation },
	},
	"no deadline": {
		plan:   RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{evacuate, restored}, Budget: Budget{Disconnects: 1}},
		mutate: func(r *Protocol) { r.ExpireDeadline = func(*register.Proposer, uint64) {} },
	},
	"an order that changes nothing is not remembered": {
		plan:   RegisterModel{Disks: three, Voters: 3, EarlyDisconnects: true, Requests: twice, Budget: Budget{Timers: 1, Disconnects: 1}},
		mutate: func(r *Protocol) { r.Evacuate = unremembered },
	},
}

func TestRemovedEvacuationMechanismBreaksAnInvariant(t *testing.T) {
	for name, m := range evacuationMutations {
		t.Run(name, func(t *testing.T) {
			m.plan.Protocol = ProductionProtocol()
			m.mutate(&m.plan.Protocol)
			report := Explore(NewRegisterState(m.plan), Bounds{MaxStates: mutationStates})
			var broken *InvariantError
			if !errors.As(report.Err, &broken) {
				t.Fatal("nothing breaks:", report)
			}
			t.Log(report)
		})
	}
}
