package modelcheck

import (
	"errors"
	"testing"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

// mutation takes one mechanism out of the rules; the plan is a world that shows it.
type mutation struct {
	plan   RegisterModel
	before []string
	mutate func(r *Protocol)
}

func acceptWithoutPromise(a *register.Acceptor, m register.Accept) (register.Accepted, bool) {
	promised := a.Promised
	if m.Ballot.Less(promised) {
		a.Promised = register.Ballot{}
	}
	r, write := a.Accept(m)
	if a.Promised.Less(promised) {
		a.Promised = promised
	}
	return r, write
}

// lowestWins turns the order of the accepted ballots round.
func lowestWins(p *register.Proposer, r register.Promise) {
	if r.Accepted.N > 0 {
		r.Accepted = register.Ballot{N: 1000 - r.Accepted.N, By: string('z' - rune(r.Accepted.By[0]) + 'a')}
	}
	p.OnPromise(0, r)
}

// hidesAccepted promises without telling what was accepted since the bootstrap.
func hidesAccepted(first *register.Value) func(p *register.Proposer, r register.Promise) {
	return func(p *register.Proposer, r register.Promise) {
		if r.Value != nil {
			r.Accepted, r.Value = register.Ballot{By: "founder"}, first
		}
		p.OnPromise(0, r)
	}
}

// beginAlone installs the next voters without a time in which both sets must agree.
func beginAlone(epoch uint64, voters []register.Voter) register.Change {
	begin := control.BeginVoterChange(epoch, voters)
	return func(cur *register.Value) (*register.Value, error) {
		next, err := begin(cur)
		if err == nil && next != nil && len(next.NextVoters) > 0 {
			next.Voters, next.NextVoters = next.NextVoters, nil
		}
		return next, err
	}
}

// beginAtAnyEpoch takes no heed of changes since the voters were chosen.
func beginAtAnyEpoch(_ uint64, voters []register.Voter) register.Change {
	return func(cur *register.Value) (*register.Value, error) {
		return control.BeginVoterChange(cur.Epoch, voters)(cur)
	}
}

// forgetfulPut has a put not look for itself in the history.
func forgetfulPut(op control.Put) register.Change {
	put := control.PutChange(op)
	return func(cur *register.Value) (*register.Value, error) {
		if cur.Version == op.ExpectedVersion {
			return put(cur)
		}
		return nil, &register.ConflictError{Version: cur.Version}
	}
}

// shortHistoryPut keeps no order but the last.
func shortHistoryPut(op control.Put) register.Change {
	put := control.PutChange(op)
	return func(cur *register.Value) (*register.Value, error) {
		if _, done := cur.AppliedAt(op.ID); !done {
			cur.OrderLog = nil
		}
		return put(cur)
	}
}

// forgetfulEdit has an edit refused for its base without a look at the history.
func forgetfulEdit(op control.Edit) register.Change {
	edit := control.EditChange(op)
	return func(cur *register.Value) (*register.Value, error) {
		if _, err := op.Apply(cur.Document); err != nil {
			return nil, err
		}
		return edit(cur)
	}
}

var twoPuts = []OperatorRequest{x, y}

var mutations = map[string]mutation{
	"accept regards no promise": {
		plan:   RegisterModel{Disks: three, Voters: 3, Requests: twoPuts},
		mutate: func(r *Protocol) { r.Accept = acceptWithoutPromise },
	},
	"lowest accepted ballot wins": {
		plan:   RegisterModel{Disks: three, Voters: 3, Requests: twoPuts, Budget: Budget{Timers: 1}},
		mutate: func(r *Protocol) { r.OnPromise = lowestWins },
	},
	"accepted value is not proposed again": {
		plan:   RegisterModel{Disks: three, Voters: 3, Requests: twoPuts, Budget: Budget{Timers: 1}},
		mutate: func(r *Protocol) { r.OnPromise = hidesAccepted(bootstrapOrder(three, 3)) },
	},
	"voters change without joint quorums": {
		plan:   RegisterModel{Disks: spare, Voters: 3, PlannedReplacements: true, Requests: []OperatorRequest{{ID: "x", FirstProposer: 1}}, Budget: Budget{Timers: 1, Replacements: 1}},
		mutate: func(r *Protocol) { r.BeginVoterChange = beginAlone },
	},
	"voters change without the epoch's compare-and-set": {
		plan:   RegisterModel{Disks: spare, Voters: 3, PlannedReplacements: true, Budget: Budget{Timers: 1, Wipes: 1, Replacements: 2}},
		before: aIsReplaced,
		mutate: func(r *Protocol) { r.BeginVoterChange = beginAtAnyEpoch },
	},
	"answer before the write": {
		plan:   RegisterModel{Disks: three, Voters: 3, DelayedWrites: true, Requests: twoPuts, Budget: Budget{Crashes: 1}},
		mutate: func(r *Protocol) { r.ReplyBeforeWrite = true },
	},
	"empty disk votes as its old self": {
		plan: RegisterModel{Disks: three, Voters: 3, Requests: twoPuts, Budget: Budget{Wipes: 1}},
		mutate: func(r *Protocol) {
			r.StateAfterWipe = func(old register.State, _ string) register.State { return register.State{Disk: old.Disk} }
		},
	},
	"put regards no history": {
		plan:   RegisterModel{Disks: three, Voters: 3, Requests: twoPuts[:1], Budget: Budget{Resends: 1}},
		mutate: func(r *Protocol) { r.Put = forgetfulPut },
	},
	"history keeps one order": {
		plan:   RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{{ID: "x"}, {ID: "y", BaseVersion: 1}}, Budget: Budget{Resends: 1, Timers: 1}},
		mutate: func(r *Protocol) { r.Put = shortHistoryPut },
	},
	"edit regards no history": {
		plan:   RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{{ID: "e", Kind: Edit}}, Budget: Budget{Resends: 1}},
		mutate: func(r *Protocol) { r.Edit = forgetfulEdit },
	},
}

func bootstrapOrder(disks []string, voters int) *register.Value {
	return NewRegisterState(RegisterModel{Disks: disks, Voters: voters, Protocol: ProductionProtocol()}).first
}

// mutationStates bounds the search for a mutation's fault.
const mutationStates = 400_000

func TestRemovedMechanismBreaksAnInvariant(t *testing.T) {
	for name, m := range mutations {
		t.Run(name, func(t *testing.T) {
			m.plan.Protocol = ProductionProtocol()
			m.mutate(&m.plan.Protocol)
			report := Explore(NewRegisterState(m.plan).after(t, m.before), Bounds{MaxStates: mutationStates})
			var broken *InvariantError
			if !errors.As(report.Err, &broken) {
				t.Fatal("nothing breaks:", report)
			}
			t.Log(report)
		})
	}
}
