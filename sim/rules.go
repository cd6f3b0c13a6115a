package sim

import (
	"fmt"
	"net/http"
	"time"
)

// Rules that nodes must keep on a site, as named in breaches.
const (
	RuleMixedResponses    = "mixed answers"
	RuleRanTwice          = "ran twice"
	RuleRanThoughRejected = "ran and was refused"
	RuleWronglyRejected   = "proper request denied"
	RuleNoRoute           = "no configuration allows it"
	RuleDrain             = "sent to a draining replica"
	RuleLostInPlannedStop = "answer lost in planned work"
	RuleConfigNotApplied  = "configuration not obeyed"
	RuleConfigWentBack    = "older configuration came back"
	RuleInvalidAccepted   = "flawed or lost configuration taken"
	RuleRetryBudget       = "too many second attempts"
	RuleBrokenStream      = "stream broken"
	RuleWarmup            = "cold replica flooded"
	RuleEvacuation        = "evacuation not obeyed"
	RuleOrderLost         = "acknowledged order lost"
	RuleRecovery          = "service did not recover"
	RuleNotAcknowledged   = "order not acknowledged"
	RuleTooManyAttempts   = "sent to too many replicas"
	RuleTooFewServed      = "too little served"
	RuleStaleRead         = "old configuration handed out"
	RuleAcceptedRejected  = "taken order refused"
	RuleNeedlessRejection = "order refused though nothing else was taken"
)

// rules checks the rules of a site by what clients, replicas, operators and the platform observe.
type rules struct {
	s      *site
	faults []*fault
	// versions are all configurations that operators sent.
	versions []*version
	// evacuations are the current ones, also those that operators are ending.
	evacuations map[string]*evacuation
	// requests and retries are the times of each service's requests and of the retries at its replicas.
	requests map[string][]time.Duration
	retries  map[string][]time.Duration
	// versionFloors contains the versionFloor of each incarnation of a node.
	versionFloors map[uint64]versionFloor
	// restored are the zones whose evacuation was ended with an acknowledgement and that were not evacuated again.
	restored map[string]bool
	Refused  int
}

// evacuation was acknowledged at ackedAt; restored is set once operators ask to end it.
type evacuation struct {
	ackedAt  time.Duration
	restored bool
}

func newRules(s *site) *rules {
	return &rules{
		s: s, evacuations: map[string]*evacuation{}, requests: map[string][]time.Duration{}, retries: map[string][]time.Duration{}, versionFloors: map[uint64]versionFloor{}, restored: map[string]bool{},
	}
}

func (r *rules) breach(kind, subject, format string, args ...any) {
	r.s.w.Audit.breach(kind, subject, fmt.Sprintf(format, args...))
}

// attemptSubmitted counts a request for each service that may get it.
func (r *rules) attemptSubmitted(c *clientAttempt) {
	for _, service := range r.servicesFor(c.path) {
		r.requests[service] = append(r.requests[service], r.s.w.Now)
	}
}

// requestArrived checks a request that arrived at the instance that it was meant for.
func (r *rules) requestArrived(i *Instance, q *sentRequest) {
	now, n := r.s.w.Now, q.node
	r.checkRoute(i, q)
	if at := i.listedAsLeavingAt(); q.inTouch && at < now && r.s.listReadableSince(at) > r.s.spec.Bounds.Drain {
		r.breach(RuleDrain, i.ID, "%s sent a request %s after the list showed the replica as draining or gone", n.Name, now-at)
	}
	if e := r.evacuations[i.Zone]; e != nil && e.ackedAt > 0 && !e.restored {
		if bound, binding := r.applyBoundFor(n, q, evacuateWithin); binding && now > e.ackedAt+bound {
			r.breach(RuleEvacuation, i.Zone, "%s sent to %s, %s after the evacuation was acknowledged", n.Name, i.ID, now-e.ackedAt)
		}
	}
	r.checkWarmup(i, q)
	if q.retried {
		r.checkRetryBudget(i.service.Name)
	}
}

// checkWarmup limits the requests that a replica in warm-up gets within a second. It counts those that were both sent and received within the
// last second.
func (r *rules) checkWarmup(i *Instance, q *sentRequest) {
	if !i.warmingUp() {
		return
	}
	now, count := r.s.w.Now, 1
	for x := len(i.arrivals) - 1; x >= 0 && now-i.arrivals[x].at < time.Second; x-- {
		if now-i.arrivals[x].sent < time.Second && i.arrivals[x].at >= i.warmupFrom {
			count++
		}
	}
	if limit := i.service.WarmupRate*warmupTolerance + warmupSlack; float64(count) > limit {
		r.breach(RuleWarmup, i.ID, "%d requests within a second, at most %g allowed, the last from %s", count, limit, q.node.Name)
	}
}

// countIn counts the times after from and up to until.
func countIn(ts []time.Duration, from, until time.Duration) int {
	var n int
	for x := len(ts) - 1; x >= 0 && ts[x] > from; x-- {
		if ts[x] <= until {
			n++
		}
	}
	return n
}

// checkRetryBudget limits retries to a ratio of the requests in this window, the previous one or the one half a window ago, whichever has the
// most requests.
func (r *rules) checkRetryBudget(service string) {
	now := r.s.w.Now
	r.retries[service] = append(r.retries[service], now)
	r.s.report.Retries++
	most := 0
	for _, offset := range []time.Duration{0, retryWindow / 2, retryWindow} {
		most = max(most, countIn(r.requests[service], now-offset-retryWindow, now-offset))
	}
	if n := countIn(r.retries[service], now-retryWindow, now); float64(n) > retryRatio*float64(most)+float64(r.s.spec.Bounds.RetryExtra) {
		r.breach(RuleRetryBudget, service, "%d retries for %d requests", n, most)
	}
}

// runStarted checks that an attempt that is not idempotent runs once, and not at all after a rejection.
func (r *rules) runStarted(i *Instance, q *sentRequest) {
	c := q.client
	c.runsStarted++
	if c.request.class.Repeatable {
		return
	}
	if c.runsStarted > 1 {
		r.breach(RuleRanTwice, c.id, "runs again at %s, sent by %s", i.ID, q.node.Name)
	}
	if c.rejected {
		r.breach(RuleRanThoughRejected, c.id, "runs at %s after it was rejected, sent by %s", i.ID, q.node.Name)
	}
}

// eventMade records that a replica produced the n-th event.
func (r *rules) eventMade(q *sentRequest, n int) {
	c := q.client
	c.lastEventMade, c.madeAt = n, r.s.w.Now
}

// eventForwarded counts events that reached the client later than allowed.
func (r *rules) eventForwarded(c *clientAttempt, n int) {
	if n == c.lastEventMade && r.s.w.Now-c.madeAt > forwardWithin {
		r.s.report.LateEvents++
	}
}

// attemptRejected records a node's promise that an attempt has not run and never will.
func (r *rules) attemptRejected(c *clientAttempt, n *Node) {
	c.rejected = true
	if c.runsStarted > 0 && !c.request.class.Repeatable {
		r.breach(RuleRanThoughRejected, c.id, "rejected by %s, though it ran", n.Name)
	}
}

// nodeResponded checks a response that a node made itself.
func (r *rules) nodeResponded(t *proxyRequest, status int) {
	c := t.attempt
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		r.attemptRejected(c, t.n)
	case http.StatusNotFound:
		r.routeNotFound(c, t.n)
	}
}

// attemptEnded checks how an attempt ended for its client. A lost response is excused unless the only cause is a planned stop of the node. It
// is also excused in the second half of the grace period if a replica was still running an attempt sent soon after the order to stop.
func (r *rules) attemptEnded(c *clientAttempt, outcome string) {
	r.s.report.Outcomes[outcome]++
	if c.fault != "" {
		rule := RuleMixedResponses
		if c.request.class.Streaming {
			rule = RuleBrokenStream
		}
		r.breach(rule, c.id, "%s, from %s", c.fault, c.node.Name)
	}
	if outcome != "cut" || !c.accepted || c.replicaFailed {
		return
	}
	now := r.s.w.Now
	since, planned := r.plannedStop(c.node.Name, c.acceptedAt, now)
	if !planned || r.hadUnplannedFault(c.acceptedAt, now) || (now > since+shutdownGrace/2 && c.replicaWorking && c.sent <= since+excusedFor) {
		return
	}
	r.breach(RuleLostInPlannedStop, c.id, "accepted by %s %s before, sent to %d replicas", c.node.Name, now-c.acceptedAt, c.sends)
}
