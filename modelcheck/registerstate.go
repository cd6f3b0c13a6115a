package modelcheck

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

const (
	numProposers = 2
	// maxLostVoters is how many of three voters may be lost at the same time.
	maxLostVoters = 1
	noDeadline    = time.Hour
)

// envelope is a message in transit: a request from the proposer to the acceptor on the disk, or a reply from there to the proposer.
type envelope struct {
	proposer int
	disk     string
	msg      message
	// hash covers the proposer and the message, but not the disk's id.
	hash uint64
}

func newEnvelope(proposer int, disk string, msg message) envelope {
	return envelope{proposer: proposer, disk: disk, msg: msg, hash: hashMessage(proposer, msg)}
}

// message is one of the four messages of the register: Prepare, Promise, Accept and Accepted.
type message interface {
	AppendFingerprint(b []byte) []byte
}

// operation is an operation that was submitted to a proposer and has no result yet: one attempt of an operator request, or the first or
// second half of a change of voters.
type operation struct {
	id       uint64
	proposer int
	// request is the index of the operator request, or -1 for a change of voters.
	request int
	// newVoters are the next voters in the first half of a change of voters, otherwise nil.
	newVoters []register.Voter
	// minVersion is the newest version that was acknowledged before the operation started.
	minVersion version
}

// requestProgress is the progress of one operator request.
type requestProgress struct {
	// sent is the number of attempts.
	sent                uint8
	confirmed, rejected bool
}

// RegisterState is one state of a RegisterModel.
type RegisterState struct {
	model *RegisterModel
	// budget is what is left of the model's budget of faults.
	budget    Budget
	proposers [numProposers]*register.Proposer
	// boots counts the restarts of each proposer's node; known is the newest chosen value that the node knows.
	boots    [numProposers]uint8
	known    [numProposers]*register.Value
	disks    []disk
	inFlight []envelope
	pending  []operation
	// requests is indexed like the requests of the model, attempts by operation id; only evacuations use attempts.
	requests []requestProgress
	attempts []attempt
	// voterChanges counts the changes of voters that were submitted.
	voterChanges uint64
	// acknowledged are the values that operations returned, by version; latest is the newest of them.
	acknowledged []acknowledged
	latest       *register.Value
	// bootstrap is the first value.
	bootstrap *register.Value
	// replacedDisks are the lost disks that an acknowledged value has removed from the voters.
	replacedDisks   []string
	brokenInvariant error
}

// NewRegisterState returns the first state of a model: the register is bootstrapped, and all voters have accepted its first value.
func NewRegisterState(model RegisterModel) *RegisterState {
	first := &register.Value{Fleet: "f"}
	for _, id := range model.Disks[:model.Voters] {
		first.Voters = append(first.Voters, register.Voter{Disk: id, Name: id})
	}
	s := &RegisterState{model: &model, budget: model.Budget, requests: make([]requestProgress, len(model.Requests)), attempts: make([]attempt, maxAttempts*len(model.Requests)), latest: first, bootstrap: first}
	s.acknowledged = []acknowledged{model.acknowledgedOf(first)}
	for i, id := range model.Disks {
		d := disk{name: id, durable: register.State{Disk: id}}
		if i < model.Voters {
			ballot := register.Ballot{By: "founder"}
			d.durable = register.State{Disk: id, Promised: ballot, Accepted: ballot, Value: first}
		}
		d.acceptor = register.Acceptor{State: d.durable}
		s.disks = append(s.disks, d)
	}
	for i := range s.proposers {
		s.proposers[i], s.known[i] = s.boot(i, first), first
	}
	return s
}

// boot returns a new proposer, with an id that is unique to this boot of its node, that knows the voters of a value.
func (s *RegisterState) boot(proposer int, known *register.Value) *register.Proposer {
	p := register.NewProposer(string(rune('p'+proposer))+string(rune('1'+s.boots[proposer])), 0).Clone()
	p.LearnVoters(known)
	return p
}

// clone copies everything that a step may change, except the proposers, which cloneProposer copies.
func (s *RegisterState) clone() *RegisterState {
	n := &RegisterState{}
	*n = *s
	n.disks = slices.Clone(s.disks)
	n.inFlight = slices.Clone(s.inFlight)
	n.pending = slices.Clone(s.pending)
	n.requests = slices.Clone(s.requests)
	n.attempts = slices.Clone(s.attempts)
	n.acknowledged = slices.Clone(s.acknowledged)
	return n
}

// BrokenInvariant returns the first invariant that was broken on the way to this state, or nil.
func (s *RegisterState) BrokenInvariant() error { return s.brokenInvariant }

// cloneProposer replaces a proposer, which other states may share, by a copy and returns the copy. A step calls it before it changes the proposer.
func (s *RegisterState) cloneProposer(proposer int) *register.Proposer {
	s.proposers[proposer] = s.proposers[proposer].Clone()
	return s.proposers[proposer]
}

// diskIndex returns the index of the disk with that id, or -1 if it was lost.
func (s *RegisterState) diskIndex(id string) int {
	return slices.IndexFunc(s.disks, func(d disk) bool { return d.acceptor.Disk == id })
}

// submit submits an operation to its proposer, with priority for changes of voters. The caller calls cloneProposer before and drainOutput after.
func (s *RegisterState) submit(o operation, change register.Change, full bool) {
	s.addOperation(o)
	if o.request < 0 {
		s.proposers[o.proposer].SubmitUrgent(0, noDeadline, o.id, change)
		return
	}
	if full {
		s.proposers[o.proposer].SubmitFull(0, noDeadline, o.id, change)
		return
	}
	s.proposers[o.proposer].Submit(0, noDeadline, o.id, change)
}

// addOperation adds a pending operation, ordered by id.
func (s *RegisterState) addOperation(o operation) {
	o.minVersion = s.model.versionOf(s.latest)
	s.pending = append(s.pending, o)
	slices.SortFunc(s.pending, func(a, b operation) int { return int(a.id) - int(b.id) })
}

// drainOutput puts the proposer's messages into the network and handles its results, until it has no more output.
func (s *RegisterState) drainOutput(proposer int) {
	for {
		sends, results := s.proposers[proposer].TakeOutput()
		if len(sends)+len(results) == 0 {
			break
		}
		for _, send := range sends {
			if s.diskIndex(send.Disk) >= 0 {
				s.inFlight = append(s.inFlight, newEnvelope(proposer, send.Disk, send.Msg.(message)))
			}
		}
		for _, r := range results {
			s.handleResult(proposer, r)
		}
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, s.isObsolete)
}

// handleResult completes an operation and checks its result. After the first half of a change of voters it submits the second half.
func (s *RegisterState) handleResult(proposer int, r register.Result) {
	i := slices.IndexFunc(s.pending, func(o operation) bool { return o.id == r.ID && o.proposer == proposer })
	if i < 0 {
		return
	}
	o := s.pending[i]
	s.pending = slices.Delete(s.pending, i, i+1)
	if r.Value.Newer(s.known[proposer]) {
		s.known[proposer] = r.Value
		s.proposers[proposer].LearnChosen(r.Value)
	}
	s.checkResult(o, r)
	if o.newVoters != nil && r.Err == nil {
		s.submit(operation{id: o.id + 1, proposer: proposer, request: -1}, s.model.Protocol.FinishVoterChange(r.Value.Epoch), false)
	}
}
