package modelcheck

import (
	"slices"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

// RequestKind is the kind of an operator request.
type RequestKind uint8

// The kinds of operator requests. Put replaces the document at a version of the value, Edit changes it at a revision of the document, Evacuate
// and Restore act on the model's one zone. With edits, the document consists of the ids of the applied edits, one letter each, and their number
// is its revision.
const (
	Put RequestKind = iota
	Edit
	Read
	FullRead
	Evacuate
	Restore
)

// OperatorRequest is a request of an operator.
type OperatorRequest struct {
	ID   string
	Kind RequestKind
	// BaseVersion is the version that a Put is based on, or the revision of the document that an Edit is based on.
	BaseVersion uint64
	// FirstProposer is the proposer that gets the first attempt; the second one goes to the other proposer.
	FirstProposer int
	// After is the id of the evacuation, if any, that the same operator sent before; its last attempt must have ended for the client.
	After string
}

func (o OperatorRequest) isRead() bool { return o.Kind == Read || o.Kind == FullRead }

// Budget is the number of times that each kind of event may happen in one trace. Loss, delay and reordering of messages and partitions need no
// budget, as any message may stay undelivered forever.
//
// A deadline passes only where another operation is queued. Elsewhere it would only make the client stop waiting, and clients send requests
// again independently of that. LostReplies lose the reply to a request that the acceptor has handled; models with queued replies need none.
// Crashes restart the machine of a disk and lose its unfinished writes, Restarts restart the node of a proposer, and Wipes lose a disk.
// Replacements are changes of voters that a node starts. Finishes are second halves of a change of voters that a node submits because it knows of
// the change, and Learns are values that a node learns from the other one.
type Budget struct {
	Timers, Deadlines, Resends, Duplicates, LostReplies uint8
	Crashes, Restarts, Wipes                            uint8
	Replacements, Finishes, Learns                      uint8
	// Disconnects are clients of evacuations that give up. The deadline of the evacuation has then passed, unless EarlyDisconnects is set.
	Disconnects uint8
}

// Protocol contains the functions of the control plane that are checked. Tests replace one of them by a faulty one.
type Protocol struct {
	Prepare           func(a *register.Acceptor, m register.Prepare) (register.Promise, bool)
	Accept            func(a *register.Acceptor, m register.Accept) (register.Accepted, bool)
	OnPromise         func(p *register.Proposer, r register.Promise)
	Put               func(op control.Put) register.Change
	Edit              func(op control.Edit) register.Change
	BeginVoterChange  func(epoch uint64, voters []register.Voter) register.Change
	FinishVoterChange func(epoch uint64) register.Change
	Evacuate          func(op control.Evacuate) register.GuardedChange
	// ExpireDeadline passes the deadline of an operation whose client has disconnected.
	ExpireDeadline func(p *register.Proposer, id uint64)
	// StateAfterWipe returns the state of an acceptor whose disk was lost and replaced by an empty one with the id replacement.
	StateAfterWipe func(old register.State, replacement string) register.State
	// ReplyBeforeWrite sends replies before the state that they report has been written.
	ReplyBeforeWrite bool
}

// ProductionProtocol returns the functions that run in production.
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

// RegisterModel is a bounded model of the register with two proposers.
type RegisterModel struct {
	// Disks are the ids of the disks. The first Voters of them vote, the others are spare.
	Disks    []string
	Voters   int
	Requests []OperatorRequest
	Budget   Budget
	// QueuedReplies keeps replies in the network like requests. Otherwise a reply is delivered in the same step as its request, or lost.
	QueuedReplies bool
	// DelayedWrites makes writes to the disk, and the replies that wait for them, steps of their own. Otherwise a request is written at once.
	DelayedWrites bool
	// PlannedReplacements allows the replacement of voters that are not lost.
	PlannedReplacements bool
	// RequestsBeforeAcknowledgement allows requests that are based on a version that was not acknowledged yet. Such a request may correctly be
	// rejected and, if it is sent again, applied; so a model that sets this must not send requests again.
	RequestsBeforeAcknowledgement bool
	// EarlyDisconnects makes clients of evacuations disconnect before their deadline, once their operation has read from a quorum. From then on
	// only the scope guard (register.ScopeGuard) can stop the evacuation.
	EarlyDisconnects bool
	// AtomicRounds delivers all prepares that complete a round as one event.
	AtomicRounds bool
	Protocol     Protocol
}

func (m *RegisterModel) change(o OperatorRequest) register.Change {
	switch o.Kind {
	case Put:
		return m.Protocol.Put(control.Put{ID: o.ID, ExpectedVersion: o.BaseVersion, Document: []byte(o.ID)})
	case Edit:
		return m.Protocol.Edit(control.Edit{ID: o.ID, BaseRevision: o.BaseVersion, Apply: o.apply})
	}
	return nil
}

// apply appends the id of the edit to the document if the document is still at the base revision.
func (o OperatorRequest) apply(document []byte) ([]byte, error) {
	if revision := uint64(len(document)); revision != o.BaseVersion {
		return nil, &register.ConflictError{Version: revision}
	}
	return append(slices.Clone(document), o.ID...), nil
}

// baseReached reports whether a value is at or after the base of the request.
func (o OperatorRequest) baseReached(v *register.Value) bool {
	if o.Kind == Edit {
		return uint64(len(v.Document)) >= o.BaseVersion
	}
	return v.Version >= o.BaseVersion
}

// recordedIn reports whether the order log of a value contains the request.
func (o OperatorRequest) recordedIn(v *register.Value) bool {
	if o.Kind == Edit {
		return v.AppliedEdit(o.BaseVersion, o.ID)
	}
	_, recorded := v.AppliedAt(o.ID)
	return recorded
}
