package register

import (
	"fmt"
	"math/rand/v2"
	"time"
)

type ConflictError struct{ Mark uint64 }

func (e *ConflictError) Error() (text string) {
	return fmt.Sprintf("mark is %d by now", e.Mark)
}

type NoQuorumError struct{}

func (e *NoQuorumError) Error() (text string) {
	return "no majority of voters was reached and nothing was changed"
}

type OutcomeUnknownError struct{}

func (e *OutcomeUnknownError) Error() (text string) {
	return "the change may or may not have been accepted"
}

type NotBootstrappedError struct{}

func (e *NotBootstrappedError) Error() (text string) { return "the register has not been founded" }

type Change func(cur *Value) (next *Value, err error)

type Result struct {
	ID    uint64
	Value *Value
	Err   error
}

type Send struct {
	Disk string
	Msg  any
}

type operation struct {
	id         uint64
	change     Change
	deadline   time.Duration
	exposed    bool
	bootstrap  bool
	full       bool
	readFailed bool
}

type phase uint8

const (
	idle phase = iota
	preparing
	accepting
	waiting
)

// lookRound is the first wait for a look's answers, which cost the voters nothing; it doubles up to Round.
const lookRound = 80 * time.Millisecond

type Proposer struct {
	By    string
	Round time.Duration
	rng   *rand.Rand

	voters   *Value
	queue    []*operation
	cur      *operation
	phase    phase
	ballot   Ballot
	top      uint64
	rid      uint64
	until    time.Duration
	tries    int
	look     bool
	got      map[string]Promise
	yes      map[string]bool
	asked    map[string]bool
	proposed *Value
	results  []Result
	sends    []Send
}

func NewProposer(by string, seed uint64) (p *Proposer) {
	return &Proposer{By: by, Round: 400 * time.Millisecond, rng: rand.New(rand.NewPCG(seed, 7))}
}

func (p *Proposer) Learn(v *Value) {
	if v != nil && v.Newer(p.voters) {
		p.voters = v
	}
}

func (p *Proposer) Submit(now, deadline time.Duration, id uint64, change Change, full bool) {
	p.queue = append(p.queue, &operation{id: id, change: change, deadline: deadline, full: full})
	p.next(now)
}

func (p *Proposer) Bootstrap(now, deadline time.Duration, id uint64, first *Value) {
	change := func(cur *Value) (*Value, error) { return first, nil }
	p.queue = append(p.queue, &operation{id: id, change: change, deadline: deadline, bootstrap: true})
	p.voters = first
	p.next(now)
}

func (p *Proposer) TakeOutput() (sends []Send, results []Result) {
	sends, results = p.sends, p.results
	p.sends, p.results = nil, nil
	return sends, results
}

func (p *Proposer) next(now time.Duration) {
	for p.cur == nil && len(p.queue) > 0 {
		p.cur, p.queue = p.queue[0], p.queue[1:]
		p.tries = 0
		p.prepare(now)
	}
}

func (p *Proposer) end(now time.Duration, v *Value, err error) {
	p.results = append(p.results, Result{ID: p.cur.id, Value: v, Err: err})
	p.cur, p.phase = nil, idle
	p.next(now)
}

func (p *Proposer) prepare(now time.Duration) {
	if p.voters == nil {
		p.end(now, nil, &NotBootstrappedError{})
		return
	}
	p.rid++
	p.look = p.cur.change == nil && !p.cur.full && !p.cur.readFailed
	if !p.look {
		p.top++
	}
	p.ballot = Ballot{N: p.top, By: p.By}
	p.phase, p.until = preparing, now+p.Round
	if p.look {
		p.until = now + min(lookRound<<min(p.tries, 8), p.Round)
	}
	p.got, p.yes = map[string]Promise{}, map[string]bool{}
	p.asked = map[string]bool{}
	p.ask(p.voters.All())
}

func (p *Proposer) ask(set []Voter) {
	for _, v := range set {
		if !p.asked[v.Disk] {
			p.asked[v.Disk] = true
			p.sends = append(p.sends, Send{Disk: v.Disk, Msg: Prepare{Rid: p.rid, Disk: v.Disk, Ballot: p.ballot, Look: p.look}})
		}
	}
}

func (p *Proposer) retry(now time.Duration) {
	p.tries++
	p.phase = waiting
	most := int64(20*time.Millisecond) << min(p.tries, 5)
	p.until = now + time.Duration(p.rng.Int64N(most)) + time.Millisecond
}

func (p *Proposer) Tick(now time.Duration) {
	if p.cur == nil {
		return
	}
	if now >= p.cur.deadline {
		if p.cur.exposed {
			p.end(now, nil, &OutcomeUnknownError{})
			return
		}
		p.end(now, nil, &NoQuorumError{})
		return
	}
	if now < p.until {
		return
	}
	switch p.phase {
	case waiting:
		p.prepare(now)
	case preparing, accepting:
		p.settle(now)
	}
}
