package register

import (
	"errors"
	"testing"
	"time"
)

// A duel drives two proposers over three disks by hand: x proposes an order, and y may be faster.
type duel struct {
	t     *testing.T
	now   time.Duration
	disks map[string]*Acceptor
	x, y  *Proposer
	reach map[string]bool
	deaf  bool
	last  Result
}

const operationTimeout = 900 * time.Millisecond

func newDuel(t *testing.T) *duel {
	d := &duel{t: t, disks: map[string]*Acceptor{}, reach: map[string]bool{}}
	var vs []Voter
	for _, disk := range []string{"a", "b", "c"} {
		d.disks[disk] = &Acceptor{State{Disk: disk}}
		vs = append(vs, Voter{Disk: disk})
	}
	first := &Value{Fleet: "f", Voters: vs}
	d.x, d.y = NewProposer("x", 1), NewProposer("y", 2)
	d.only("a", "b", "c")
	d.x.Bootstrap(0, time.Hour, 1, first)
	d.run(d.x, 100*time.Millisecond)
	d.y.LearnVoters(first)
	return d
}

func (d *duel) only(disks ...string) {
	clear(d.reach)
	for _, disk := range disks {
		d.reach[disk] = true
	}
}

// take is an order on base that writes text, with the memory that operators' orders use.
func take(base uint64, text string) Change {
	return func(cur *Value) (*Value, error) {
		if cur.AppliedEdit(base, text) {
			return nil, nil
		}
		if cur.Version != base {
			return nil, cur.EditRejection(base, cur.Version)
		}
		cur.Version++
		cur.Document = []byte(text)
		cur.LogEdit(base, text)
		return cur, nil
	}
}

// pass carries messages of a proposer to the disks in reach, and the answers back unless it is deaf to Accepted.
func (d *duel) pass(p *Proposer) {
	sends, results := p.TakeOutput()
	for _, r := range results {
		d.last = r
	}
	for _, s := range sends {
		if !d.reach[s.Disk] {
			continue
		}
		switch m := s.Msg.(type) {
		case Prepare:
			r, _ := d.disks[s.Disk].Prepare(m)
			p.OnPromise(d.now, r)
		case Accept:
			r, _ := d.disks[s.Disk].Accept(m)
			if !d.deaf {
				p.OnAccepted(d.now, r)
			}
		}
	}
}

func (d *duel) run(p *Proposer, span time.Duration) {
	for until := d.now + span; d.now < until; d.now += 10 * time.Millisecond {
		p.Tick(d.now)
		d.pass(p)
	}
}

// until runs a proposer until its operation has ended.
func (d *duel) until(p *Proposer, change Change) error {
	p.Submit(d.now, d.now+operationTimeout, 7, change)
	return d.end(p)
}

func (d *duel) end(p *Proposer) error {
	d.last = Result{}
	for range 200 {
		d.run(p, 10*time.Millisecond)
		if d.last.ID != 0 {
			return d.last.Err
		}
	}
	d.t.Fatal("no answer")
	return nil
}

// expose lets x prepare everywhere, and its order reach only the disks named; x hears no answers.
func (d *duel) expose(base uint64, disks ...string) {
	d.x.Submit(d.now, d.now+operationTimeout, 9, take(base, "mine"))
	sends, _ := d.x.TakeOutput()
	for _, s := range sends {
		if r, _ := d.disks[s.Disk].Prepare(s.Msg.(Prepare)); d.x.phase == preparing {
			d.x.OnPromise(d.now, r)
		}
	}
	d.only(disks...)
	d.deaf = true
	d.pass(d.x)
	d.deaf = false
	if d.x.phase != accepting {
		d.t.Fatal("nothing was offered")
	}
}

func fateOf(err error) string {
	var unknown *OutcomeUnknownError
	var none *NoQuorumError
	switch {
	case err == nil:
		return "200"
	case errors.As(err, &unknown):
		return "503 unknown"
	case errors.As(err, &none):
		return "503 unchanged"
	}
	return refused(err)
}
