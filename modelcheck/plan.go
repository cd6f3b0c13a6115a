package modelcheck

import (
	"slices"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

// RequestKind is what a caller asks of the register.
type RequestKind uint8

// The kinds of orders: Put on a version, Edit on a revision of the document, reads, Evacuate and Restore of the one zone. A document is the
// list of the edits' ids, each of one letter, and their number its revision.
const (
	Put RequestKind = iota
	Edit
	Read
	FullRead
	Evacuate
	Restore
)

// OperatorRequest is one call of an operator. Home is the proposer that is asked first; a repeat goes to the other one.
type OperatorRequest struct {
	ID            string
	Kind          RequestKind
	BaseVersion   uint64
	FirstProposer int
	// After is the order, if any, that the same operator must have given up or had answered before.
	After string
}

func (o OperatorRequest) reads() bool { return o.Kind == Read || o.Kind == FullRead }

// Budget is how often each kind of fault may come in one trace. Loss, delay, reordering and cuts need no budget: any request may
// stay undelivered for ever. A deadline comes only where another operation waits: otherwise it changes nothing but that a caller stops
// waiting, and callers repeat orders without regard to it. Mutes lose the answer to a request that was obeyed; a queued network needs no mutes.
type Budget struct {
	Timers, Deadlines, Resends, Duplicates, LostReplies uint8
	Crashes, Restarts, Wipes                            uint8
	Replacements, Finishes, Learns                      uint8
	// Disconnects are callers of evacuations that give up; what they ordered is then out of time.
	Disconnects uint8
}

// Protocol are the functions of the control side that a world is made of. Tests put one that misbehaves in place of a real one.
type Protocol struct {
	Prepare           func(a *register.Acceptor, m register.Prepare) (register.Promise, bool)
	Accept            func(a *register.Acceptor, m register.Accept) (register.Accepted, bool)
	OnPromise         func(p *register.Proposer, r register.Promise)
	Put               func(op control.Put) register.Change
	Edit              func(op control.Edit) register.Change
	BeginVoterChange  func(epoch uint64, voters []register.Voter) register.Change
	FinishVoterChange func(epoch uint64) register.Change
	Evacuate          func(op control.Evacuate) register.GuardedChange
	// ExpireDeadline is what the deadline of a call whose caller has left does to its operation.
	ExpireDeadline func(p *register.Proposer, id uint64)
	// StateAfterWipe is what a disk holds that came back empty.
	StateAfterWipe func(old register.State, replacement string) register.State
	// ReplyBeforeWrite lets answers leave before what they tell is written.
	ReplyBeforeWrite bool
}

// ProductionProtocol are the rules as they run.
func ProductionProtocol() Protocol {
	return Protocol{
		Prepare:           (*register.Acceptor).Prepare,
		Accept:            (*register.Acceptor).Accept,
		OnPromise:         func(p *register.Proposer, r register.Promise) { p.OnPromise(0, r) },
		Put:               control.PutChange,
		Edit:              control.EditChange,
		BeginVoterChange:  control.BeginVoterChange,
		FinishVoterChange: control.FinishVoterChange,
		Evacuate:          control.EvacuateChange,
		ExpireDeadline:    (*register.Proposer).ExpireDeadline,
		StateAfterWipe:    func(_ register.State, replacement string) register.State { return register.State{Disk: replacement} },
	}
}

// RegisterModel is a bounded world of the register: the first Voters of Disks vote, the others are spare; two proposers.
type RegisterModel struct {
	Disks    []string
	Voters   int
	Requests []OperatorRequest
	Budget   Budget
	// QueuedReplies has answers wait in the network like requests; otherwise an answer arrives with the request, or is muted.
	QueuedReplies bool
	// DelayedWrites has writes wait for the disk, and answers behind them; otherwise both are one step.
	DelayedWrites bool
	// PlannedReplacements lets a voter be replaced that is not lost.
	PlannedReplacements bool
	// RequestsBeforeAcknowledgement lets callers order on a revision before anybody was told of it. Such an order may rightly be refused and then, sent again,
	// be taken: so a plan that guesses sends nothing again.
	RequestsBeforeAcknowledgement bool
	// EarlyDisconnects has callers of evacuations leave before their deadline, once their order has read a quorum: the fence alone stops it then.
	EarlyDisconnects bool
	// AtomicRounds makes one event of the prepares that end a round.
	AtomicRounds bool
	Protocol     Protocol
}

func (p *RegisterModel) change(o OperatorRequest) register.Change {
	switch o.Kind {
	case Put:
		return p.Protocol.Put(control.Put{ID: o.ID, ExpectedVersion: o.BaseVersion, Document: []byte(o.ID)})
	case Edit:
		return p.Protocol.Edit(control.Edit{ID: o.ID, BaseVersion: o.BaseVersion, Apply: o.apply})
	}
	return nil
}

// apply appends the order to the document, if that is still the revision which it builds on.
func (o OperatorRequest) apply(body []byte) ([]byte, error) {
	if revision := uint64(len(body)); revision != o.BaseVersion {
		return nil, &register.ConflictError{Version: revision}
	}
	return append(slices.Clone(body), o.ID...), nil
}

// knownIn tells whether a value has the revision that the order builds on.
func (o OperatorRequest) knownIn(v *register.Value) bool {
	if o.Kind == Edit {
		return uint64(len(v.Document)) >= o.BaseVersion
	}
	return v.Version >= o.BaseVersion
}

// recorded tells whether a value remembers that the order was taken.
func (o OperatorRequest) recorded(v *register.Value) bool {
	if o.Kind == Edit {
		return v.AppliedEdit(o.BaseVersion, o.ID)
	}
	_, yes := v.AppliedAt(o.ID)
	return yes
}
