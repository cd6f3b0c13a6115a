package register

import "time"

// Submit queues an operation: a change, or a read if change is nil. It ends at the first Tick after its
// deadline at the latest. A change that was not proposed to voters before its deadline is never proposed.
func (p *Proposer) Submit(now, deadline time.Duration, id uint64, change Change) {
	p.queue = append(p.queue, &operation{id: id, change: unguarded(change), deadline: deadline})
	p.startNext(now)
}

// SubmitFull is like Submit for an operation that asks all voters, not only a majority, and updates those that lag to the newest value.
func (p *Proposer) SubmitFull(now, deadline time.Duration, id uint64, change Change) {
	p.queue = append(p.queue, &operation{id: id, change: unguarded(change), deadline: deadline, full: true})
	p.startNext(now)
}

// SubmitGuarded is like Submit for a change with a ScopeGuard.
func (p *Proposer) SubmitGuarded(now, deadline time.Duration, id uint64, change GuardedChange) {
	p.queue = append(p.queue, &operation{id: id, change: change, deadline: deadline})
	p.startNext(now)
}

// Cancel ends an operation whose client has disconnected, as its deadline would: a change that was not proposed to voters yet is never
// proposed.
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

// Bootstrap queues the bootstrap of the register with its first value. All voters of that value must reply.
func (p *Proposer) Bootstrap(now, deadline time.Duration, id uint64, first *Value) {
	change := func(_ *Value) (*Value, error) { return first, nil }
	p.queue = append(p.queue, &operation{id: id, change: unguarded(change), deadline: deadline, bootstrapValue: first})
	p.known = first
	p.startNext(now)
}
