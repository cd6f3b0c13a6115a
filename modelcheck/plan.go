package modelcheck

import (
	"slices"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

// OrderKind is what a caller asks of the register.
type OrderKind uint8

// The kinds of orders: Put on a version, Edit on a revision of the document, reads, Evacuate and Restore of the one zone. A document is the
// list of the edits' ids, each of one letter, and their number its revision.
const (
	Put OrderKind = iota
	Edit
	Read
	FullRead
	Evacuate
	Restore
)

// Order is one call of an operator. Home is the proposer that is asked first; a repeat goes to the other one.
type Order struct {
	ID     string
	Kind   OrderKind
	Expect uint64
	Home   int
	// Behind is the order, if any, that the same operator must have given up or had answered before.
	Behind string
}

func (o Order) reads() bool { return o.Kind == Read || o.Kind == FullRead }

// Budget is how often each kind of fault may come in one trace. Loss, delay, reordering and cuts need no budget: any request may
// stay undelivered for ever. A deadline comes only where another operation waits: otherwise it changes nothing but that a caller stops
// waiting, and callers repeat orders without regard to it. Mutes lose the answer to a request that was obeyed; a queued network needs no mutes.
type Budget struct {
	Timers, Deadlines, Resends, Doubles, Mutes uint8
	Crashes, Restarts, Wipes                   uint8
	Replacements, Finishes, Learns             uint8
	// Leaves are callers of evacuations that give up; what they ordered is then out of time.
	Leaves uint8
}

// Rules are the functions of the control side that a world is made of. Tests put one that misbehaves in place of a real one.
type Rules struct {
	Prepare   func(a *register.Acceptor, m register.Prepare) (register.Promise, bool)
	Accept    func(a *register.Acceptor, m register.Accept) (register.Accepted, bool)
	OnPromise func(p *register.Proposer, r register.Promise)
	Put       func(op control.Put) register.Change
	Edit      func(op control.Edit) register.Change
	Begin     func(epoch uint64, voters []register.Voter) register.Change
	Finish    func(epoch uint64) register.Change
	Evacuate  func(op control.Evacuate) register.GuardedChange
	// PassDeadline is what the deadline of a call whose caller has left does to its operation.
	PassDeadline func(p *register.Proposer, id uint64)
	// Wiped is what a disk holds that came back empty.
	Wiped func(old register.State, replacement string) register.State
	// AnswersFirst lets answers leave before what they tell is written.
	AnswersFirst bool
}

// RealRules are the rules as they run.
func RealRules() Rules {
	return Rules{
		Prepare:      (*register.Acceptor).Prepare,
		Accept:       (*register.Acceptor).Accept,
		OnPromise:    func(p *register.Proposer, r register.Promise) { p.OnPromise(0, r) },
		Put:          control.PutChange,
		Edit:         control.EditChange,
		Begin:        control.BeginVoterChange,
		Finish:       control.FinishVoterChange,
		Evacuate:     control.EvacuateChange,
		PassDeadline: (*register.Proposer).ExpireDeadline,
		Wiped:        func(_ register.State, replacement string) register.State { return register.State{Disk: replacement} },
	}
}

// Plan is a bounded world of the register: the first Voters of Disks vote, the others are spare; two proposers.
type Plan struct {
	Disks  []string
	Voters int
	Orders []Order
	Budget Budget
	// Queued has answers wait in the network like requests; otherwise an answer arrives with the request, or is muted.
	Queued bool
	// Journal has writes wait for the disk, and answers behind them; otherwise both are one step.
	Journal bool
	// Planned lets a voter be replaced that is not lost.
	Planned bool
	// OrdersBeforeAcknowledgement lets callers order on a revision before anybody was told of it. Such an order may rightly be refused and then, sent again,
	// be taken: so a plan that guesses sends nothing again.
	OrdersBeforeAcknowledgement bool
	// Early has callers of evacuations leave before their deadline, once their order has read a quorum: the fence alone stops it then.
	Early bool
	// Rounds makes one event of the prepares that end a round.
	Rounds bool
	Rules  Rules
}

func (p *Plan) change(o Order) register.Change {
	switch o.Kind {
	case Put:
		return p.Rules.Put(control.Put{ID: o.ID, ExpectedVersion: o.Expect, Document: []byte(o.ID)})
	case Edit:
		return p.Rules.Edit(control.Edit{ID: o.ID, BaseRevision: o.Expect, Apply: o.apply})
	}
	return nil
}

// apply appends the order to the document, if that is still the revision which it builds on.
func (o Order) apply(body []byte) ([]byte, error) {
	if revision := uint64(len(body)); revision != o.Expect {
		return nil, &register.ConflictError{Version: revision}
	}
	return append(slices.Clone(body), o.ID...), nil
}

// knownIn tells whether a value has the revision that the order builds on.
func (o Order) knownIn(v *register.Value) bool {
	if o.Kind == Edit {
		return uint64(len(v.Document)) >= o.Expect
	}
	return v.Version >= o.Expect
}

// recorded tells whether a value remembers that the order was taken.
func (o Order) recorded(v *register.Value) bool {
	if o.Kind == Edit {
		return v.AppliedEdit(o.Expect, o.ID)
	}
	_, yes := v.AppliedAt(o.ID)
	return yes
}
