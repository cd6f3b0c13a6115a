package register

import (
	"errors"
	"testing"
	"time"
)

// proposerPair runs two competing proposers and three disks step by step, with a clock of its own.
type proposerPair struct {
	t     *testing.T
	now   time.Duration
	disks map[string]*Acceptor
	x, y  *Proposer
	// reachable are the disks that get messages.
	reachable map[string]bool
	// dropAccepted drops the replies to Accept.
	dropAccepted bool
	// last is the result of the operation that ended last.
	last Result
}

const operationTimeout = 900 * time.Millisecond

func newProposerPair(t *testing.T) *proposerPair {
	d := &proposerPair{t: t, disks: map[string]*Acceptor{}, reachable: map[string]bool{}}
	var vs []Voter
	for _, disk := range []string{"a", "b", "c"} {
		d.disks[disk] = &Acceptor{State{Disk: disk}}
		vs = append(vs, Voter{Disk: disk})
	}
	first := &Value{Fleet: "f", Voters: vs}
	d.x, d.y = NewProposer("x", 1), NewProposer("y", 2)
	d.setReachable("a", "b", "c")
	d.x.Bootstrap(0, time.Hour, 1, first)
	d.run(d.x, 100*time.Millisecond)
	d.y.LearnVoters(first)
	return d
}

// setReachable makes the disks the only reachable ones.
func (d *proposerPair) setReachable(disks ...string) {
	clear(d.reachable)
	for _, disk := range disks {
		d.reachable[disk] = true
	}
}

// edit returns an order that sets the document to text on the revision base. It is logged in EditLog as operators' edits are.
func edit(base uint64, text string) Change {
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

// deliver passes the messages of a proposer to the reachable disks, and the replies back unless dropAccepted drops them.
func (d *proposerPair) deliver(p *Proposer) {
	sends, results := p.TakeOutput()
	for _, r := range results {
		d.last = r
	}
	for _, s := range sends {
		if !d.reachable[s.Disk] {
			continue
		}
		switch m := s.Msg.(type) {
		case Prepare:
			r, _ := d.disks[s.Disk].Prepare(m)
			p.OnPromise(d.now, r)
		case Accept:
			r, _ := d.disks[s.Disk].Accept(m)
			if !d.dropAccepted {
				p.OnAccepted(d.now, r)
			}
		}
	}
}

// run runs a proposer for a time span.
func (d *proposerPair) run(p *Proposer, span time.Duration) {
	for end := d.now + span; d.now < end; d.now += 10 * time.Millisecond {
		p.Tick(d.now)
		d.deliver(p)
	}
}

// submitAndWait submits a change or a read and runs the proposer until it has ended.
func (d *proposerPair) submitAndWait(p *Proposer, change Change) error {
	p.Submit(d.now, d.now+operationTimeout, 7, change)
	return d.waitForResult(p)
}

// waitForResult runs a proposer until an operation has ended, and returns its error.
func (d *proposerPair) waitForResult(p *Proposer) error {
	d.last = Result{}
	for range 200 {
		d.run(p, 10*time.Millisecond)
		if d.last.ID != 0 {
			return d.last.Err
		}
	}
	d.t.Fatal("the operation did not end")
	return nil
}

// proposeTo lets x prepare on all disks and propose its order to the named disks only, whose replies are lost.
func (d *proposerPair) proposeTo(base uint64, disks ...string) {
	d.x.Submit(d.now, d.now+operationTimeout, 9, edit(base, "mine"))
	sends, _ := d.x.TakeOutput()
	for _, s := range sends {
		if r, _ := d.disks[s.Disk].Prepare(s.Msg.(Prepare)); d.x.phase == preparing {
			d.x.OnPromise(d.now, r)
		}
	}
	d.setReachable(disks...)
	d.dropAccepted = true
	d.deliver(d.x)
	d.dropAccepted = false
	if d.x.phase != accepting {
		d.t.Fatal("nothing was proposed")
	}
}

// outcome returns the HTTP status that belongs to the result of an operation, and what is known of its effect.
func outcome(err error) string {
	var unknown *OutcomeUnknownError
	var noQuorum *NoQuorumError
	switch {
	case err == nil:
		return "200"
	case errors.As(err, &unknown):
		return "503 unknown"
	case errors.As(err, &noQuorum):
		return "503 unchanged"
	}
	return rejectionStatus(err)
}
