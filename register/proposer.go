package register

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Change returns the next value, which it makes from cur, a copy of the current value. It may run several times, also on a value that
// already contains the change. It returns nil and no error if there is nothing to change.
type Change func(cur *Value) (*Value, error)

// Result is the result of the operation that was submitted as ID: the chosen value that it read or made, or the error. Value is also set if
// the operation's Change rejected that value with an error.
type Result struct {
	ID    uint64
	Value *Value
	Err   error
}

// Send is a message to a disk.
type Send struct {
	Disk string
	Msg  Message
}

// operation is a submitted read (a nil change), change or bootstrap.
type operation struct {
	id       uint64
	change   GuardedChange
	guard    ScopeGuard
	deadline time.Duration
	// proposed means that a value with the change was proposed; proposedBallot is the ballot under which that happened last.
	proposed       bool
	proposedBallot Ballot
	// bootstrapValue is the value to bootstrap the register with; nil for other operations, and once a register is known.
	bootstrapValue *Value
	// full means that all voters must reply and that those that lag are updated (SubmitFull).
	full bool
	// urgent means that the operation must not be starved (SubmitUrgent).
	urgent bool
	// readOnlyFailed means that a read-only round found no chosen value, so that the read goes on with ballots.
	readOnlyFailed bool
}

// phase is what the proposer does for the current operation.
type phase uint8

const (
	idle phase = iota
	preparing
	accepting
	backingOff
)

// readOnlyTimeout is the timeout of the first read-only round, which makes the voters write nothing. It doubles with each lost round, up to
// RoundTimeout.
const readOnlyTimeout = 80 * time.Millisecond

// Proposer runs the operations of one node, one after another.
type Proposer struct {
	// ID must differ between all proposers and between all incarnations of a proposer.
	ID string
	// RoundTimeout is the maximum time to wait for the replies of a round (0.4 s from NewProposer).
	RoundTimeout time.Duration
	rng          *rand.Rand

	// known is the newest value that the proposer knows, chosen or not; messages go to its voters.
	known *Value
	// chosen is the newest value that is known to be chosen (LearnChosen).
	chosen  *Value
	queue   []*operation
	current *operation

	phase phase
	// ballot is the ballot of the current round, highestBallot the highest ballot number that was used or received.
	ballot        Ballot
	highestBallot uint64
	// requestID is the ID of the messages of the current round.
	requestID uint64
	// nextActionAt is when the round times out or the backoff ends.
	nextActionAt time.Duration
	// lostRounds is the number of rounds that the current operation has lost.
	lostRounds int
	// readOnly means that the round asks with read-only prepares.
	readOnly bool
	// promises, acceptedBy and asked are by disk: the promises, the accepted replies, and the disks that a prepare was sent to.
	promises   map[string]Promise
	acceptedBy map[string]bool
	asked      map[string]bool
	askedAt    time.Duration
	// roundTrip is the moving average of the time until a majority has replied.
	roundTrip time.Duration
	// proposed is the value that the accept round proposes.
	proposed *Value

	// results and sends are the output since the last call of TakeOutput.
	results []Result
	sends   []Send
}

// NewProposer returns a proposer that does not know any voters yet.
func NewProposer(by string, seed uint64) *Proposer {
	return &Proposer{ID: by, RoundTimeout: 400 * time.Millisecond, rng: rand.New(rand.NewPCG(seed, 7)), requestID: firstRequestID(by), roundTrip: initialRoundTrip}
}

// firstRequestID returns a different start of the request IDs for each incarnation. Otherwise a late reply to the previous incarnation, from
// a voter that was frozen, could match a round of the current one.
func firstRequestID(by string) uint64 { return xxhash.Sum64String(by) >> droppedHashBits }

// droppedHashBits is how many bits of the hash are dropped, so that request IDs are short when encoded and never wrap around.
const droppedHashBits = 16

// LearnVoters passes a chosen value, whose voters the proposer then uses if the value is newer than those it knows.
func (p *Proposer) LearnVoters(v *Value) {
	if v != nil && v.Newer(p.known) {
		p.known = v
	}
}

// LearnChosen passes a value that a majority is known to have accepted. The proposer then never returns an older value or builds on one, even
// if no majority has the value any more because a disk was restored from an older copy of its files.
func (p *Proposer) LearnChosen(v *Value) {
	if v.Newer(p.chosen) {
		p.chosen = v
	}
	p.LearnVoters(v)
}

// TakeOutput returns the messages to send and the results of operations since the last call.
func (p *Proposer) TakeOutput() ([]Send, []Result) {
	sends, results := p.sends, p.results
	p.sends, p.results = nil, nil
	return sends, results
}

// endIfExpired ends the current operation and returns true if its deadline has passed. It is called before each step of the operation, so that a
// proposer that was frozen doesn't continue an operation whose client no longer waits.
func (p *Proposer) endIfExpired(now time.Duration) bool {
	if now < p.current.deadline {
		return false
	}
	if p.current.proposed {
		p.endOperation(now, nil, &OutcomeUnknownError{})
		return true
	}
	p.endOperation(now, nil, &NoQuorumError{})
	return true
}

// expireQueue ends queued operations whose deadline has passed.
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

// startNext starts the next queued operation if none is current.
func (p *Proposer) startNext(now time.Duration) {
	p.expireQueue(now)
	for p.current == nil && len(p.queue) > 0 {
		p.current, p.queue = p.queue[0], p.queue[1:]
		p.lostRounds = 0
		p.prepare(now)
	}
}

// endOperation reports the result of the current operation and starts the next one.
func (p *Proposer) endOperation(now time.Duration, v *Value, err error) {
	p.results = append(p.results, Result{ID: p.current.id, Value: v, Err: err})
	p.current, p.phase = nil, idle
	p.startNext(now)
}

// prepare starts a round for the current operation.
func (p *Proposer) prepare(now time.Duration) {
	if p.known == nil {
		p.endOperation(now, nil, &NotBootstrappedError{})
		return
	}
	p.convertBootstrap()
	p.requestID++
	p.readOnly = p.current.change == nil && !p.current.full && !p.current.readOnlyFailed
	if !p.readOnly {
		p.highestBallot++
	}
	p.ballot = Ballot{N: p.highestBallot, By: p.ID}
	p.phase, p.nextActionAt, p.askedAt = preparing, now+p.RoundTimeout, now
	if p.readOnly {
		p.nextActionAt = now + min(readOnlyTimeout<<min(p.lostRounds, 8), p.RoundTimeout)
	}
	p.promises, p.acceptedBy, p.asked = map[string]Promise{}, map[string]bool{}, map[string]bool{}
	p.sendPrepares(p.known.AllVoters())
}

// sendPrepares sends a Prepare to those of the voters that were not asked in this round.
func (p *Proposer) sendPrepares(voters []Voter) {
	for _, v := range voters {
		if !p.asked[v.Disk] {
			p.asked[v.Disk] = true
			p.sends = append(p.sends, Send{Disk: v.Disk, Msg: Prepare{RequestID: p.requestID, Disk: v.Disk, Ballot: p.ballot, ReadOnly: p.readOnly}})
		}
	}
}

// Tick handles everything that is due at now: deadlines, timeouts of rounds, and the ends of backoffs.
func (p *Proposer) Tick(now time.Duration) {
	p.expireQueue(now)
	if p.current == nil || p.endIfExpired(now) || now < p.nextActionAt {
		return
	}
	switch p.phase {
	case backingOff:
		p.prepare(now)
	case preparing, accepting:
		p.finishRound(now)
	}
}
