package mallowbridge

import (
	"time"

	"gopkg.in/tomb.v2"
)

// deskMessage is an event, with a channel for its decisions if it is an arrival; or a look at the router.
type deskMessage struct {
	event     Event
	decisions chan Decision
	look      func(r *Router)
	done      chan struct{}
}

// Desk owns one Router in one goroutine; events go in by Tell, a request's decisions come back on its own channel.
type Desk struct {
	tomb        *tomb.Tomb
	clock       func() time.Duration
	inbox       chan deskMessage
	router      *Router
	subscribers map[string]chan Decision
	every       time.Duration
	// announce is told of prompts that other routers should know of; it must not wait.
	announce func(p Prefill)
	// Failures carries what the router would tell others of failing replicas; what nobody takes in time is dropped.
	Failures chan Failures
}

// Idle is how long a desk sleeps at most.
const Idle = 250 * time.Millisecond

// deskQueue is how many events may wait for the desk.
const deskQueue = 1024

// NewDesk starts the goroutine, which ends with the tomb; it sleeps until the router needs the time, and never longer than every.
func NewDesk(t *tomb.Tomb, r *Router, clock func() time.Duration, every time.Duration) (d *Desk) {
	d = &Desk{
		tomb: t, clock: clock, inbox: make(chan deskMessage, deskQueue), router: r, subscribers: map[string]chan Decision{}, every: every,
		Failures: make(chan Failures, 1),
	}
	t.Go(d.run)
	return d
}

func (d *Desk) run() (err error) {
	wake := time.NewTimer(d.every)
	defer wake.Stop()
	for {
		select {
		case <-d.tomb.Dying():
			for req := range d.subscribers {
				d.endRequest(req)
			}
			return nil
		case <-wake.C:
			d.deliver(d.router.Step(d.clock(), Tick{}))
		case a := <-d.inbox:
			d.handle(a)
		}
		d.reportFailures()
		wake.Reset(d.pause())
	}
}

func (d *Desk) reportFailures() {
	f, any := d.router.Failures(d.clock())
	if !any {
		return
	}
	select {
	case d.Failures <- f:
	default:
	}
}

const shortestPause = time.Millisecond

// pause is how long the desk may sleep.
func (d *Desk) pause() (t time.Duration) {
	now := d.clock()
	at, any := d.router.Next(now)
	if !any {
		return d.every
	}
	return min(max(at-now, shortestPause), d.every)
}

func (d *Desk) handle(m deskMessage) {
	if m.look != nil {
		m.look(d.router)
		close(m.done)
		return
	}
	if e, ok := m.event.(Arrive); ok && !d.subscribe(e, m.decisions) {
		return
	}
	d.deliver(d.router.Step(d.clock(), m.event))
	if e, ok := m.event.(Hangup); ok {
		d.endRequest(e.Request)
	}
}

// subscribe gives a request its channel, or rejects it where its id runs already.
func (d *Desk) subscribe(e Arrive, decisions chan Decision) (ok bool) {
	if d.subscribers[e.Request] != nil {
		decisions <- e.denied(runningHere, true)
		close(decisions)
		return false
	}
	d.subscribers[e.Request] = decisions
	return true
}

func (d *Desk) endRequest(request string) {
	if decisions := d.subscribers[request]; decisions != nil {
		delete(d.subscribers, request)
		close(decisions)
	}
}

func (d *Desk) deliver(decisions []Decision) {
	for _, one := range decisions {
		if one.Unread > 0 && d.announce != nil {
			d.announce(Prefill{Replica: one.Replica, Tokens: one.Unread})
		}
		if d.subscribers[one.Request] != nil {
			d.deliverTo(d.subscribers[one.Request], one)
		}
	}
}

// deliverTo ends a request whose decisions nobody reads.
func (d *Desk) deliverTo(subscriber chan Decision, one Decision) {
	select {
	case subscriber <- one:
	default:
		d.endRequest(one.Request)
		d.deliver(d.router.Step(d.clock(), Hangup{Request: one.Request}))
		return
	}
	if one.Verdict.final() {
		d.endRequest(one.Request)
	}
}

func (d *Desk) post(a deskMessage) (ok bool) {
	select {
	case d.inbox <- a:
		return true
	case <-d.tomb.Dying():
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
	case d.inbox <- deskMessage{event: ev}:
	default:
	}
}

// Tell gives an event; it waits while the desk is behind, and drops the event once the desk has ended.
func (d *Desk) Tell(ev Event) { d.post(deskMessage{event: ev}) }

// decisionRoom is how many decisions of a request may wait to be read.
const decisionRoom = 64

// Submit gives the channel of a request's decisions; it is closed after the last, and early when nobody reads it.
func (d *Desk) Submit(a Arrive) (decisions <-chan Decision) {
	sub := make(chan Decision, decisionRoom)
	if !d.post(deskMessage{event: a, decisions: sub}) {
		close(sub)
	}
	return sub
}

// Look calls look in the desk's goroutine and waits for it; look must not wait for the desk. It is not called once the desk has ended.
func (d *Desk) Look(look func(r *Router)) {
	done := make(chan struct{})
	if !d.post(deskMessage{look: look, done: done}) {
		return
	}
	select {
	case <-done:
	case <-d.tomb.Dying():
	}
}
