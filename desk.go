package mallowbridge

import (
	"time"

	"gopkg.in/tomb.v2"
)

type ask struct {
	ev   Event
	sub  chan Decision
	look func(r *Router)
	done chan struct{}
}

// Desk owns one Router in one goroutine; events go in by Tell, a request's decisions come back on its own channel.
type Desk struct {
	t     *tomb.Tomb
	clock func() time.Duration
	in    chan ask
	r     *Router
	subs  map[string]chan Decision
	every time.Duration
	// announce is told of prompts that other routers should know of; it must not wait.
	announce func(p Prefill)
	// Failures carries what the router would tell others of failing replicas; what nobody takes in time is dropped.
	Failures chan Failures
}

// Idle is how long a desk sleeps at most.
const Idle = 250 * time.Millisecond

const deskQueue = 1024

// NewDesk starts the goroutine; it sleeps until the router needs the time, and never longer than every.
func NewDesk(t *tomb.Tomb, r *Router, clock func() time.Duration, every time.Duration) (d *Desk) {
	d = &Desk{t: t, clock: clock, in: make(chan ask, deskQueue), r: r, subs: map[string]chan Decision{}, every: every, Failures: make(chan Failures, 1)}
	t.Go(d.run)
	return d
}

func (d *Desk) run() (err error) {
	wake := time.NewTimer(d.every)
	defer wake.Stop()
	for {
		select {
		case <-d.t.Dying():
			for req := range d.subs {
				d.shut(req)
			}
			return nil
		case <-wake.C:
			d.deal(d.r.Step(d.clock(), Tick{}))
		case a := <-d.in:
			d.take(a)
		}
		d.report()
		wake.Reset(d.pause())
	}
}

func (d *Desk) report() {
	f, any := d.r.Failures(d.clock())
	if !any {
		return
	}
	select {
	case d.Failures <- f:
	default:
	}
}

const shortestPause = time.Millisecond

func (d *Desk) pause() (t time.Duration) {
	now := d.clock()
	at, any := d.r.Next(now)
	if !any {
		return d.every
	}
	return min(max(at-now, shortestPause), d.every)
}

func (d *Desk) take(a ask) {
	if a.look != nil {
		a.look(d.r)
		close(a.done)
		return
	}
	if arr, ok := a.ev.(Arrive); ok {
		if d.subs[arr.Request] != nil {
			a.sub <- Decision{Verdict: Deny, Request: arr.Request, Why: runsHere, Repeat: true}
			close(a.sub)
			return
		}
		d.subs[arr.Request] = a.sub
	}
	d.deal(d.r.Step(d.clock(), a.ev))
	if h, ok := a.ev.(Hangup); ok {
		d.shut(h.Request)
	}
}

func (d *Desk) shut(req string) {
	if sub := d.subs[req]; sub != nil {
		delete(d.subs, req)
		close(sub)
	}
}

func (d *Desk) deal(ds []Decision) {
	for _, x := range ds {
		if x.Unread > 0 && d.announce != nil {
			d.announce(Prefill{Replica: x.Replica, Tokens: x.Unread})
		}
		sub := d.subs[x.Request]
		if sub == nil {
			continue
		}
		select {
		case sub <- x:
		default:
			d.shut(x.Request)
			d.deal(d.r.Step(d.clock(), Hangup{Request: x.Request}))
			continue
		}
		switch x.Verdict {
		case Deny, Unknown, Partial, Done:
			d.shut(x.Request)
		}
	}
}

func (d *Desk) put(a ask) (ok bool) {
	select {
	case d.in <- a:
		return true
	case <-d.t.Dying():
		return false
	}
}

// OnPrefill has tell called for each prompt that other routers should know of; it must not wait.
func (d *Desk) OnPrefill(tell func(p Prefill)) {
	d.Look(func(*Router) { d.announce = tell })
}

// Hint gives an event that is worth nothing later: a desk that is busy doesn't get it.
func (d *Desk) Hint(ev Event) {
	select {
	case d.in <- ask{ev: ev}:
	default:
	}
}

func (d *Desk) Tell(ev Event) { d.put(ask{ev: ev}) }

const subRoom = 64

// Submit gives the channel of a request's decisions; it is closed after the last, and early when nobody reads it.
func (d *Desk) Submit(a Arrive) (decisions <-chan Decision) {
	sub := make(chan Decision, subRoom)
	if !d.put(ask{ev: a, sub: sub}) {
		close(sub)
	}
	return sub
}

func (d *Desk) Look(look func(r *Router)) {
	done := make(chan struct{})
	if !d.put(ask{look: look, done: done}) {
		return
	}
	select {
	case <-done:
	case <-d.t.Dying():
	}
}
