package modelcheck

import (
	"errors"
	"testing"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

// byRounds goes on with the prepares that end a round as one event.
func (c *RegisterState) byRounds() *RegisterState {
	plan := *c.plan
	plan.AtomicRounds = true
	c = c.clone()
	c.plan = &plan
	return c
}

// worldsByRounds are those of worlds that are explored by rounds too.
var worldsByRounds = []string{"two orders on one base", "a change of voters is finished late", "two nodes mend at once"}

func TestRegisterWorldsHoldByRounds(t *testing.T) {
	for _, name := range worldsByRounds {
		t.Run(name, func(t *testing.T) {
			world := worlds[name]
			world.plan.Protocol = ProductionProtocol()
			report := Explore(NewRegisterState(world.plan).after(t, world.before).byRounds(), bounds())
			if report.Err != nil {
				t.Fatal(report)
			}
			t.Log(report)
		})
	}
}

// finishAtAnyEpoch finishes whatever change of voters it reads.
func finishAtAnyEpoch(uint64) register.Change {
	return func(cur *register.Value) (*register.Value, error) {
		return control.FinishVoterChange(cur.Epoch)(cur)
	}
}

// mutationsByRounds are those that need more depth than single prepares leave.
var mutationsByRounds = map[string]mutation{
	"voters change finished in any epoch": {
		plan: finishedAfterDeadlinePlan, before: finishedAfterDeadline,
		mutate: func(r *Protocol) { r.FinishVoterChange = finishAtAnyEpoch },
	},
}

// What is found a prepare at a time must be found by rounds as well, or the reduction hides faults. Worlds whose disks write later, and
// the one that answers before the write, are not explored by rounds.
func TestRemovedMechanismBreaksAnInvariantByRounds(t *testing.T) {
	for _, some := range []map[string]mutation{mutations, evacuationMutations, mutationsByRounds} {
		for name, m := range some {
			if m.plan.DelayedWrites {
				continue
			}
			t.Run(name, func(t *testing.T) {
				m.plan.Protocol = ProductionProtocol()
				m.mutate(&m.plan.Protocol)
				report := Explore(NewRegisterState(m.plan).after(t, m.before).byRounds(), Bounds{MaxStates: mutationStates})
				var broken *InvariantError
				if !errors.As(report.Err, &broken) {
					t.Fatal("nothing breaks:", report)
				}
				t.Log(report)
			})
		}
	}
}
