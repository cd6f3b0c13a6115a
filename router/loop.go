package router

import (
	"time"

	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/quota"
)

// loopMessage is an event, with a channel for its decisions if it is an Arrival; or a function to call with the router, and a channel that is
// closed afterwards.
type loopMessage struct {
	event     Event
	decisions chan Decision
	inspect   func(r *Router)
	done      chan struct{}
}

// Loop owns one Router and runs it in one goroutine. Notify passes events to the router. Submit passes a request and returns the channel of
// its decisions.
type Loop struct {
	tomb   *tomb.Tomb
	clock  func() time.Duration
	inbox  chan loopMessage
	router *Router
	// subscribers contains the channels of the live requests' decisions by request ID.
	subscribers map[string]chan Decision
	// maxSleep is the longest time between two steps of the router.
	maxSleep time.Duration
	// onPrefill is called for prompts that other routers should know of. It must not block.
	onPrefill func(p Prefill)
	// Failures carries the router's reports of failing replicas for other routers. A report that is not received in time is dropped.
	Failures chan Failures
	// QuotaRequests carries the router's requests for tenants' quotas. A request that is dropped because the channel is full times out.
	QuotaRequests chan quota.Request
}

// MaxLoopSleep is the longest time that a router loop sleeps in production.
const MaxLoopSleep = 250 * time.Millisecond

// loopQueueSize is the number of events that may wait for the loop.
const loopQueueSize = 1024

// NewLoop starts a loop, which ends when the tomb is killed. It sleeps until an event arrives or the router's next tick is due, but never
// longer than maxSleep.
func NewLoop(t *tomb.Tomb, r *Router, clock func() time.Duration, maxSleep time.Duration) *Loop {
	l := &Loop{
		tomb: t, clock: clock, inbox: make(chan loopMessage, loopQueueSize), router: r, subscribers: map[string]chan Decision{}, maxSleep: maxSleep,
		Failures: make(chan Failures, 1), QuotaRequests: make(chan quota.Request, loopQueueSize),
	}
	t.Go(l.run)
	return l
}

func (l *Loop) run() error {
	wake := time.NewTimer(l.maxSleep)
	defer wake.Stop()
	for {
		select {
		case <-l.tomb.Dying():
			for request := range l.subscribers {
				l.endRequest(request)
			}
			l.discardInbox()
			return nil
		case <-wake.C:
			l.deliver(l.router.Step(l.clock(), Tick{}))
		case m := <-l.inbox:
			l.handle(m)
		}
		l.reportFailures()
		l.requestQuotas()
		wake.Reset(l.sleepTime())
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

// minSleep keeps a router whose next tick is already due from running the loop without pause.
const minSleep = time.Millisecond

// sleepTime returns how long the loop may sleep.
func (l *Loop) sleepTime() time.Duration {
	now := l.clock()
	next, known := l.router.NextTick(now)
	if !known {
		return l.maxSleep
	}
	return min(max(next-now, minSleep), l.maxSleep)
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

// subscribe records the channel of a request's decisions. It rejects the request if one with the same ID is running.
func (l *Loop) subscribe(e Arrival, decisions chan Decision) bool {
	if l.subscribers[e.Request] != nil {
		decisions <- e.duplicate(reasonAlreadyRunning)
		close(decisions)
		return false
	}
	l.subscribers[e.Request] = decisions
	return true
}

// endRequest closes the channel of a request's decisions.
func (l *Loop) endRequest(request string) {
	if decisions := l.subscribers[request]; decisions != nil {
		delete(l.subscribers, request)
		close(decisions)
	}
}

func (l *Loop) deliver(decisions []Decision) {
	for _, decision := range decisions {
		if decision.UncachedTokens > 0 && l.onPrefill != nil {
			l.onPrefill(Prefill{Replica: decision.Replica, Tokens: decision.UncachedTokens})
		}
		if l.subscribers[decision.Request] != nil {
			l.deliverTo(l.subscribers[decision.Request], decision)
		}
	}
}

// deliverTo sends a decision to a request's channel. If the channel is full, its reader is gone, and the request is ended.
func (l *Loop) deliverTo(subscriber chan Decision, decision Decision) {
	select {
	case subscriber <- decision:
	default:
		l.endRequest(decision.Request)
		l.deliver(l.router.Step(l.clock(), ClientDisconnected{Request: decision.Request}))
		return
	}
	if decision.Verdict.final() {
		l.endRequest(decision.Request)
	}
}

// post queues a message for the loop and reports whether it did. If the loop has ended meanwhile, the sender discards the queue, since nothing
// else would.
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

// discardInbox discards the queued messages once the tomb is dying.
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

// discard closes the message's channels, so that its sender does not wait forever.
func (m loopMessage) discard() {
	if m.decisions != nil {
		close(m.decisions)
	}
	if m.done != nil {
		close(m.done)
	}
}

// OnPrefill sets the function that is called for each prompt that other routers should know of. It must not block.
func (l *Loop) OnPrefill(announce func(p Prefill)) {
	l.Inspect(func(*Router) { l.onPrefill = announce })
}

// NotifyIfIdle passes an event to the router, unless the loop's queue is full. It is for events that are useless when late.
func (l *Loop) NotifyIfIdle(ev Event) {
	select {
	case l.inbox <- loopMessage{event: ev}:
	default:
	}
}

// Notify passes an event to the router. It blocks while the loop's queue is full, and drops the event if the loop has ended.
func (l *Loop) Notify(ev Event) { l.post(loopMessage{event: ev}) }

// decisionBufferSize is the number of decisions of one request that may wait to be read.
const decisionBufferSize = 64

// Submit passes a request to the router and returns the channel of its decisions. The channel is closed after the last decision, or earlier if
// it is full because its decisions are not read.
func (l *Loop) Submit(a Arrival) <-chan Decision {
	decisions := make(chan Decision, decisionBufferSize)
	if !l.post(loopMessage{event: a, decisions: decisions}) {
		close(decisions)
	}
	return decisions
}

// Inspect calls inspect in the loop's goroutine and waits until it returns. inspect must not wait for the loop. It is not called if the loop has
// ended.
func (l *Loop) Inspect(inspect func(r *Router)) {
	done := make(chan struct{})
	if !l.post(loopMessage{inspect: inspect, done: done}) {
		return
	}
	select {
	case <-done:
	case <-l.tomb.Dying():
	}
}
