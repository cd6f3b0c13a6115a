package router

import (
	"time"

	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/quota"
)

// loopMessage is an event, with a channel for its decisions if it is an arrival; or a look at the router.
type loopMessage struct {
	event     Event
	decisions chan Decision
	inspect   func(r *Router)
	done      chan struct{}
}

// Loop owns one Router in one goroutine; events go in by Notify, a request's decisions come back on its own channel.
type Loop struct {
	tomb        *tomb.Tomb
	clock       func() time.Duration
	inbox       chan loopMessage
	router      *Router
	subscribers map[string]chan Decision
	every       time.Duration
	// announce is told of prompts that other routers should know of; it must not wait.
	announce func(p Prefill)
	// Failures carries what the router would tell others of failing replicas; what nobody takes in time is dropped.
	Failures chan Failures
	// QuotaRequests carries what the router asks of tenants' quotas, likewise; what is dropped times out.
	QuotaRequests chan quota.Request
}

// MaxLoopSleep is how long a router loop sleeps at most.
const MaxLoopSleep = 250 * time.Millisecond

// loopQueue is how many events may wait for the loop.
const loopQueue = 1024

// NewLoop starts the goroutine, which ends with the tomb; it sleeps until the router needs the time, and never longer than every.
func NewLoop(t *tomb.Tomb, r *Router, clock func() time.Duration, every time.Duration) *Loop {
	l := &Loop{
		tomb: t, clock: clock, inbox: make(chan loopMessage, loopQueue), router: r, subscribers: map[string]chan Decision{}, every: every,
		Failures: make(chan Failures, 1), QuotaRequests: make(chan quota.Request, loopQueue),
	}
	t.Go(l.run)
	return l
}

func (l *Loop) run() error {
	wake := time.NewTimer(l.every)
	defer wake.Stop()
	for {
		select {
		case <-l.tomb.Dying():
			for req := range l.subscribers {
				l.endRequest(req)
			}
			l.discardInbox()
			return nil
		case <-wake.C:
			l.deliver(l.router.Step(l.clock(), Tick{}))
		case a := <-l.inbox:
			l.handle(a)
		}
		l.reportFailures()
		l.requestQuotas()
		wake.Reset(l.pause())
	}
}

func (l *Loop) reportFailures() {
	f, known := l.router.Failures(l.clock())
	if !known {
		return
	}
	select {
	case l.Failures <- f:
	default:
	}
}

func (l *Loop) requestQuotas() {
	for _, q := range l.router.TakeQuotaRequests() {
		select {
		case l.QuotaRequests <- q:
		default:
		}
	}
}

const shortestPause = time.Millisecond

// pause is how long the loop may sleep.
func (l *Loop) pause() time.Duration {
	now := l.clock()
	at, known := l.router.NextTick(now)
	if !known {
		return l.every
	}
	return min(max(at-now, shortestPause), l.every)
}

func (l *Loop) handle(m loopMessage) {
	if m.inspect != nil {
		m.inspect(l.router)
		close(m.done)
		return
	}
	if e, ok := m.event.(Arrival); ok && !l.subscribe(e, m.decisions) {
		return
	}
	l.deliver(l.router.Step(l.clock(), m.event))
	if e, ok := m.event.(ClientDisconnected); ok {
		l.endRequest(e.Request)
	}
}

// subscribe gives a request its channel, or rejects it where its id runs already.
func (l *Loop) subscribe(e Arrival, decisions chan Decision) bool {
	if l.subscribers[e.Request] != nil {
		decisions <- e.rejected(runningHere, true)
		close(decisions)
		return false
	}
	l.subscribers[e.Request] = decisions
	return true
}

func (l *Loop) endRequest(request string) {
	if decisions := l.subscribers[request]; decisions != nil {
		delete(l.subscribers, request)
		close(decisions)
	}
}

func (l *Loop) deliver(decisions []Decision) {
	for _, one := range decisions {
		if one.UnreadTokens > 0 && l.announce != nil {
			l.announce(Prefill{Replica: one.Replica, Tokens: one.UnreadTokens})
		}
		if l.subscribers[one.Request] != nil {
			l.deliverTo(l.subscribers[one.Request], one)
		}
	}
}

// deliverTo ends a request whose decisions nobody reads.
func (l *Loop) deliverTo(subscriber chan Decision, one Decision) {
	select {
	case subscriber <- one:
	default:
		l.endRequest(one.Request)
		l.deliver(l.router.Step(l.clock(), ClientDisconnected{Request: one.Request}))
		return
	}
	if one.Verdict.final() {
		l.endRequest(one.Request)
	}
}

// post hands a message to the loop. One that was queued after the loop had ended is discarded by its sender.
func (l *Loop) post(m loopMessage) bool {
	select {
	case l.inbox <- m:
	case <-l.tomb.Dying():
		return false
	}
	if !l.tomb.Alive() {
		l.discardInbox()
	}
	return true
}

// discardInbox ends the requests and looks that still wait once the tomb is dying.
func (l *Loop) discardInbox() {
	for {
		select {
		case m := <-l.inbox:
			m.discard()
		default:
			return
		}
	}
}

func (m loopMessage) discard() {
	if m.decisions != nil {
		close(m.decisions)
	}
	if m.done != nil {
		close(m.done)
	}
}

// OnPrefill has tell called for each prompt that other routers should know of; it must not wait.
func (l *Loop) OnPrefill(tell func(p Prefill)) {
	l.Inspect(func(*Router) { l.announce = tell })
}

// NotifyIfIdle gives an event that is worth nothing later: a loop that is busy doesn't get it.
func (l *Loop) NotifyIfIdle(ev Event) {
	select {
	case l.inbox <- loopMessage{event: ev}:
	default:
	}
}

// Notify gives an event; it waits while the loop is behind, and drops the event once the loop has ended.
func (l *Loop) Notify(ev Event) { l.post(loopMessage{event: ev}) }

// decisionBuffer is how many decisions of a request may wait to be read.
const decisionBuffer = 64

// Submit gives the channel of a request's decisions; it is closed after the last, and early when nobody reads it.
func (l *Loop) Submit(a Arrival) <-chan Decision {
	sub := make(chan Decision, decisionBuffer)
	if !l.post(loopMessage{event: a, decisions: sub}) {
		close(sub)
	}
	return sub
}

// Inspect calls look in the loop's goroutine and waits for it; look must not wait for the loop. It is not called once the loop has ended.
func (l *Loop) Inspect(look func(r *Router)) {
	done := make(chan struct{})
	if !l.post(loopMessage{inspect: look, done: done}) {
		return
	}
	select {
	case <-done:
	case <-l.tomb.Dying():
	}
}
