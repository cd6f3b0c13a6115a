package register

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ConflictError says that a change builds on another revision (or version) than the current one, which is Version. It can't have been taken
// and never will be.
type ConflictError struct{ Version uint64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("mark is %d by now", e.Version)
}

// NoQuorumError says that no majority answered in time and that the change was proposed to nobody.
type NoQuorumError struct{}

func (*NoQuorumError) Error() string {
	return "no majority of voters was reached and nothing was changed"
}

// OutcomeUnknownError says that the change was proposed to voters and that no majority is known to have accepted it.
type OutcomeUnknownError struct{}

func (*OutcomeUnknownError) Error() string {
	return "the change may or may not have been accepted"
}

// NotBootstrappedError says that there is no register yet, as far as this proposer knows.
type NotBootstrappedError struct{}

func (*NotBootstrappedError) Error() string { return "the register has not been founded" }

// A Change makes the next value of a copy of the current one. It may run several times, also on a value that holds it already. It returns
// nil and no error where nothing is left to do.
type Change func(cur *Value) (*Value, error)

// Result ends a submitted operation: with the chosen value that was read or made, or with an error.
type Result struct {
	ID    uint64
	Value *Value
	Err   error
}

// Send is a message for a disk.
type Send struct {
	Disk string
	Msg  Message
}

type operation struct {
	id       uint64
	change   GuardedChange
	fence    ScopeGuard
	deadline time.Duration
	proposed bool
	// proposed is the ballot under which a value with the change was last proposed.
	proposedBallot Ballot
	// bootstrapValue is the value to bootstrap the register with, until one is found.
	bootstrapValue *Value
	full           bool
	urgent         bool
	readFailed     bool
}

type phase uint8

const (
	idle phase = iota
	preparing
	accepting
	backingOff
)

// cheapReadTimeout is the first wait for a look's answers, which cost the voters nothing; it doubles up to RoundTimeout.
const cheapReadTimeout = 80 * time.Millisecond

// Proposer runs the operations of one node, one after another. By must differ between any two incarnations of any two proposers;
// RoundTimeout is how long answers are waited for (0.4 s).
type Proposer struct {
	ID           string
	RoundTimeout time.Duration
	rng          *rand.Rand

	voters        *Value
	chosen        *Value
	queue         []*operation
	current       *operation
	phase         phase
	ballot        Ballot
	highestBallot uint64
	requestID     uint64
	nextActionAt  time.Duration
	tries         int
	cheapRead     bool
	promises      map[string]Promise
	acceptedBy    map[string]bool
	asked         map[string]bool
	askedAt       time.Duration
	roundTrip     time.Duration
	proposed      *Value
	results       []Result
	sends         []Send
}

// NewProposer makes a proposer that knows no voters yet.
func NewProposer(by string, seed uint64) *Proposer {
	return &Proposer{ID: by, RoundTimeout: 400 * time.Millisecond, rng: rand.New(rand.NewPCG(seed, 7)), requestID: firstRequestID(by), roundTrip: initialRoundTrip}
}

// firstRequestID starts the request IDs of each incarnation elsewhere: an answer to the incarnation before, from a voter that was frozen,
// must match no round.
func firstRequestID(by string) uint64 { return xxhash.Sum64String(by) >> droppedHashBits }

// droppedHashBits are the bits of a hash that a first request ID leaves out, so that ids stay short and never wrap around.
const droppedHashBits = 16

// LearnVoters tells of a chosen value, for its voters.
func (p *Proposer) LearnVoters(v *Value) {
	if v != nil && v.Newer(p.voters) {
		p.voters = v
	}
}

// LearnChosen tells of a value that a majority is known to have accepted. The proposer neither reads less nor builds on less, even where
// a majority has forgotten it: a disk was then set back to an older copy of its files.
func (p *Proposer) LearnChosen(v *Value) {
	if v.Newer(p.chosen) {
		p.chosen = v
	}
	p.LearnVoters(v)
}

// TakeOutput takes what is to be sent and what has ended since the last call.
func (p *Proposer) TakeOutput() ([]Send, []Result) {
	sends, results := p.sends, p.results
	p.sends, p.results = nil, nil
	return sends, results
}

// expired ends the current operation if its deadline has passed. It stands before each step that would go on with it, so that a proposer
// which was frozen doesn't take up what its caller has left.
func (p *Proposer) expired(now time.Duration) bool {
	if now < p.current.deadline {
		return false
	}
	if p.current.proposed {
		p.end(now, nil, &OutcomeUnknownError{})
		return true
	}
	p.end(now, nil, &NoQuorumError{})
	return true
}

// expireQueue ends what was never begun before its deadline.
func (p *Proposer) expireQueue(now time.Duration) {
	kept := p.queue[:0]
	for _, o := range p.queue {
		if now < o.deadline {
			kept = append(kept, o)
			continue
		}
		p.results = append(p.results, Result{ID: o.id, Err: &NoQuorumError{}})
	}
	clear(p.queue[len(kept):])
	p.queue = kept
}

func (p *Proposer) next(now time.Duration) {
	p.expireQueue(now)
	for p.current == nil && len(p.queue) > 0 {
		p.current, p.queue = p.queue[0], p.queue[1:]
		p.tries = 0
		p.prepare(now)
	}
}

func (p *Proposer) end(now time.Duration, v *Value, err error) {
	p.results = append(p.results, Result{ID: p.current.id, Value: v, Err: err})
	p.current, p.phase = nil, idle
	p.next(now)
}

func (p *Proposer) prepare(now time.Duration) {
	if p.voters == nil {
		p.end(now, nil, &NotBootstrappedError{})
		return
	}
	p.joinBootstrapped()
	p.requestID++
	p.cheapRead = p.current.change == nil && !p.current.full && !p.current.readFailed
	if !p.cheapRead {
		p.highestBallot++
	}
	p.ballot = Ballot{N: p.highestBallot, By: p.ID}
	p.phase, p.nextActionAt, p.askedAt = preparing, now+p.RoundTimeout, now
	if p.cheapRead {
		p.nextActionAt = now + min(cheapReadTimeout<<min(p.tries, 8), p.RoundTimeout)
	}
	p.promises, p.acceptedBy, p.asked = map[string]Promise{}, map[string]bool{}, map[string]bool{}
	p.prepareAt(p.voters.AllVoters())
}

func (p *Proposer) prepareAt(set []Voter) {
	for _, v := range set {
		if !p.asked[v.Disk] {
			p.asked[v.Disk] = true
			p.sends = append(p.sends, Send{Disk: v.Disk, Msg: Prepare{RequestID: p.requestID, Disk: v.Disk, Ballot: p.ballot, ReadOnly: p.cheapRead}})
		}
	}
}

// Tick acts on what is due at now: deadlines, rounds without a majority, and pauses before another try.
func (p *Proposer) Tick(now time.Duration) {
	p.expireQueue(now)
	if p.current == nil || p.expired(now) || now < p.nextActionAt {
		return
	}
	switch p.phase {
	case backingOff:
		p.prepare(now)
	case preparing, accepting:
		p.finishRound(now)
	}
}
