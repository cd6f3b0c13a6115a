package register

import "time"

// Submit queues an operation: a read where change is nil. It is answered soon after deadline at the latest; a change that wasn't proposed to
// voters before its deadline never is.
func (p *Proposer) Submit(now, deadline time.Duration, id uint64, change Change) {
	p.queue = append(p.queue, &operation{id: id, change: unfenced(change), deadline: deadline})
	p.next(now)
}

// SubmitFull is Submit for an operation that asks all voters and brings those that lag to the newest value.
func (p *Proposer) SubmitFull(now, deadline time.Duration, id uint64, change Change) {
	p.queue = append(p.queue, &operation{id: id, change: unfenced(change), deadline: deadline, full: true})
	p.next(now)
}

// SubmitGuarded queues a change that keeps a fence; otherwise like Submit.
func (p *Proposer) SubmitGuarded(now, deadline time.Duration, id uint64, change GuardedChange) {
	p.queue = append(p.queue, &operation{id: id, change: change, deadline: deadline})
	p.next(now)
}

// Cancel ends an operation whose caller has left, as its deadline would: what was not proposed to voters by now never is.
func (p *Proposer) Cancel(now time.Duration, id uint64) {
	for _, o := range p.queue {
		o.cancel(now, id)
	}
	if p.current != nil {
		p.current.cancel(now, id)
	}
	p.Tick(now)
}

func (o *operation) cancel(now time.Duration, id uint64) {
	if o.id == id {
		o.deadline = min(o.deadline, now)
	}
}

// Bootstrap queues the bootstrap of the register with its first value; all voters named there must answer.
func (p *Proposer) Bootstrap(now, deadline time.Duration, id uint64, first *Value) {
	change := func(_ *Value) (*Value, error) { return first, nil }
	p.queue = append(p.queue, &operation{id: id, change: unfenced(change), deadline: deadline, bootstrapValue: first})
	p.voters = first
	p.next(now)
}
