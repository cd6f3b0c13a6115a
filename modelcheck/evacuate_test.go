package modelcheck

import (
	"errors"
	"testing"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

// Requests of two operators for one zone. The first operator evacuates it and, when that has ended, evacuates it again; the second one restores it.
var (
	evacuateX = OperatorRequest{ID: "x", Kind: Evacuate}
	restoreY  = OperatorRequest{ID: "y", Kind: Restore, FirstProposer: 1}
	evacuateW = OperatorRequest{ID: "w", Kind: Evacuate, After: "x"}
)

// evacuationCases are the models of evacuations in which the production protocol must break no invariant. A client without a result retries once,
// with the other proposer.
var evacuationCases = map[string]registerCase{
	"evacuate, restore": {
		model: RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{evacuateX, restoreY}, Budget: Budget{Disconnects: 1}},
	},
	"evacuate, restore, a proposer times out": {
		model: RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{evacuateX, restoreY}, Budget: Budget{Timers: 1, Disconnects: 1}},
	},
	"evacuate, restore, clients retry": {
		model: RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{evacuateX, restoreY}, Budget: Budget{Disconnects: 1, Resends: 1}},
	},
	"evacuate, restore, clients disconnect early": {
		model: RegisterModel{Disks: three, Voters: 3, EarlyDisconnects: true, Requests: []OperatorRequest{evacuateX, restoreY}, Budget: Budget{Timers: 1, Disconnects: 1}},
	},
	"evacuate, restore, evacuate, clients retry": {
		model: RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{evacuateX, restoreY, evacuateW}, Budget: Budget{Timers: 1, Disconnects: 2, Resends: 2}},
	},
	"evacuate, restore, evacuate, clients disconnect early and retry": {
		model: RegisterModel{Disks: three, Voters: 3, EarlyDisconnects: true, Requests: []OperatorRequest{evacuateX, restoreY, evacuateW}, Budget: Budget{Timers: 1, Disconnects: 2, Resends: 2}},
	},
	"evacuate, restore, a read, a proposer restarts": {
		model: RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{evacuateX, restoreY, readRequest}, Budget: Budget{Disconnects: 1, Restarts: 1}},
	},
}

func TestEvacuationModelsHold(t *testing.T) {
	for name, c := range evacuationCases {
		t.Run(name, func(t *testing.T) {
			c.model.Protocol = ProductionProtocol()
			report := Explore(NewRegisterState(c.model), bounds())
			if report.Err != nil {
				t.Fatal(report)
			}
			t.Log(report)
		})
	}
}

// unguardedEvacuation reads as usual, but sets a new scope guard at every run, so that the guard never detects another order.
func unguardedEvacuation(op control.Evacuate) register.GuardedChange {
	production := control.EvacuateChange(op)
	return func(cur *register.Value, guard *register.ScopeGuard) (*register.Value, error) {
		guard.Set(cur, op.Zone)
		return production(cur, &register.ScopeGuard{})
	}
}

// unrecordedNoOp does not record an evacuation that changes nothing.
func unrecordedNoOp(op control.Evacuate) register.GuardedChange {
	production := control.EvacuateChange(op)
	return func(cur *register.Value, guard *register.ScopeGuard) (*register.Value, error) {
		if (len(cur.EvacuatedZones) == 0) == op.Restore {
			return nil, nil
		}
		return production(cur, guard)
	}
}

// restoreTwice are the requests of two operators: one restores the zone, the other one evacuates and then restores it. A restore of a zone that is
// not evacuated changes nothing.
var restoreTwice = []OperatorRequest{{ID: "x", Kind: Restore}, {ID: "y", Kind: Evacuate, FirstProposer: 1}, {ID: "w", Kind: Restore, FirstProposer: 1, After: "y"}}

var evacuationMutations = map[string]mutation{
	"no scope guard": {
		model:  RegisterModel{Disks: three, Voters: 3, EarlyDisconnects: true, Requests: []OperatorRequest{evacuateX, restoreY}, Budget: Budget{Timers: 1, Disconnects: 1}},
		mutate: func(p *Protocol) { p.Evacuate = unguardedEvacuation },
	},
	"no deadline": {
		model:  RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{evacuateX, restoreY}, Budget: Budget{Disconnects: 1}},
		mutate: func(p *Protocol) { p.ExpireDeadline = func(*register.Proposer, uint64) {} },
	},
	"a request that changes nothing is not recorded": {
		model:  RegisterModel{Disks: three, Voters: 3, EarlyDisconnects: true, Requests: restoreTwice, Budget: Budget{Timers: 1, Disconnects: 1}},
		mutate: func(p *Protocol) { p.Evacuate = unrecordedNoOp },
	},
}

func TestRemovedEvacuationMechanismBreaksAnInvariant(t *testing.T) {
	for name, m := range evacuationMutations {
		t.Run(name, func(t *testing.T) {
			m.model.Protocol = ProductionProtocol()
			m.mutate(&m.model.Protocol)
			report := Explore(NewRegisterState(m.model), Bounds{MaxStates: maxMutationStates})
			var broken *InvariantError
			if !errors.As(report.Err, &broken) {
				t.Fatal("no invariant is broken:", report)
			}
			t.Log(report)
		})
	}
}
