package modelcheck

import (
	"errors"
	"testing"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

// withAtomicRounds returns the state in a model with AtomicRounds.
func (s *RegisterState) withAtomicRounds() *RegisterState {
	model := *s.model
	model.AtomicRounds = true
	s = s.clone()
	s.model = &model
	return s
}

// atomicRoundCases are the registerCases that are also explored with AtomicRounds.
var atomicRoundCases = []string{"two requests on one base", "a change of voters is finished late", "two nodes replace a lost voter at the same time"}

func TestRegisterModelsHoldWithAtomicRounds(t *testing.T) {
	for _, name := range atomicRoundCases {
		t.Run(name, func(t *testing.T) {
			c := registerCases[name]
			c.model.Protocol = ProductionProtocol()
			report := Explore(NewRegisterState(c.model).applyPrologue(t, c.prologue).withAtomicRounds(), bounds())
			if report.Err != nil {
				t.Fatal(report)
			}
			t.Log(report)
		})
	}
}

// finishAtAnyEpoch finishes any change of voters that is in progress, whatever its epoch.
func finishAtAnyEpoch(uint64) register.Change {
	return func(cur *register.Value) (*register.Value, error) {
		return control.FinishVoterChange(cur.Epoch)(cur)
	}
}

// atomicRoundMutations are mutations whose fault is too deep to be found if prepares are delivered one by one.
var atomicRoundMutations = map[string]mutation{
	"change of voters finished in any epoch": {
		model: changeFinishedLateModel, prologue: changeFinishedLate,
		mutate: func(p *Protocol) { p.FinishVoterChange = finishAtAnyEpoch },
	},
}

// TestRemovedMechanismBreaksAnInvariantWithAtomicRounds checks that the reduction hides no faults: every mutation that is found with prepares
// delivered one by one must be found with AtomicRounds too. Models with delayed writes, which include the one that replies before the write, are
// left out.
func TestRemovedMechanismBreaksAnInvariantWithAtomicRounds(t *testing.T) {
	for _, set := range []map[string]mutation{mutations, evacuationMutations, atomicRoundMutations} {
		for name, m := range set {
			if m.model.DelayedWrites {
				continue
			}
			t.Run(name, func(t *testing.T) {
				m.model.Protocol = ProductionProtocol()
				m.mutate(&m.model.Protocol)
				report := Explore(NewRegisterState(m.model).applyPrologue(t, m.prologue).withAtomicRounds(), Bounds{MaxStates: maxMutationStates})
				var broken *InvariantError
				if !errors.As(report.Err, &broken) {
					t.Fatal("no invariant is broken:", report)
				}
				t.Log(report)
			})
		}
	}
}
