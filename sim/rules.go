package sim

import (
	"fmt"
	"net/http"
	"time"
)

// Rules that a site keeps its nodes to, as named in breaches.
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

// rules judges by what user agents, replicas, operators and the platform see.
type rules struct {
	s              *site
	faults         []*fault
	versions       []*version
	evacs          map[string]*evacuation
	requests       map[string][]time.Duration
	retries        map[string][]time.Duration
	lowestVersions map[uint64]versionFloor
	// reopened are the zones whose evacuation was taken back, as acknowledged, and that nobody evacuated since.
	reopened map[string]bool
	Refused  int
}

type evacuation struct {
	acked  time.Duration
	lifted bool
}

func newRules(s *site) *rules {
	return &rules{
		s: s, evacs: map[string]*evacuation{}, requests: map[string][]time.Duration{}, retries: map[string][]time.Duration{}, lowestVersions: map[uint64]versionFloor{}, reopened: map[string]bool{},
	}
}

func (r *rules) breach(what, who, format string, args ...any) {
	r.s.w.Audit.breach(what, who, fmt.Sprintf(format, args...))
}

func (r *rules) submitted(c *clientAttempt) {
	for _, service := range r.offers(c.path) {
		r.requests[service] = append(r.requests[service], r.s.w.Now)
	}
}

// arrived judges a request at a replica that takes it for its own.
func (r *rules) arrived(i *Instance, q *sentRequest) {
	now, n := r.s.w.Now, q.n
	r.config(i, q)
	if at := i.shown(); q.calm && at < now && r.s.since(at) > r.s.spec.Bounds.Drain {
		r.breach(RuleDrain, i.ID, "%s, %s after the list showed it", n.Name, now-at)
	}
	if e := r.evacs[i.Zone]; e != nil && e.acked > 0 && !e.lifted {
		if bound, must := r.within(n, q, evacWithin); must && now > e.acked+bound {
			r.breach(RuleEvacuation, i.Zone, "%s sends to %s, %s after it was acknowledged", n.Name, i.ID, now-e.acked)
		}
	}
	r.cold(i, q)
	if q.again {
		r.second(i.service.Name)
	}
}

// cold counts what a replica that warms up gets within a second: sent and arrived in it.
func (r *rules) cold(i *Instance, q *sentRequest) {
	if !i.warmingUp() {
		return
	}
	now, count := r.s.w.Now, 1
	for x := len(i.arrivals) - 1; x >= 0 && now-i.arrivals[x].at < time.Second; x-- {
		if now-i.arrivals[x].sent < time.Second && i.arrivals[x].at >= i.warmupFrom {
			count++
		}
	}
	if most := i.service.WarmupRate*warmupOverage + warmupSlack; float64(count) > most {
		r.breach(RuleWarmup, i.ID, "%d requests in a second, at most %g, last from %s", count, most, q.n.Name)
	}
}

func countIn(ts []time.Duration, from, until time.Duration) int {
	var n int
	for x := len(ts) - 1; x >= 0 && ts[x] > from; x-- {
		if ts[x] <= until {
			n++
		}
	}
	return n
}

// second judges a further arrival of one request against those asked for in this window, the one before, or between.
func (r *rules) second(service string) {
	now := r.s.w.Now
	r.retries[service] = append(r.retries[service], now)
	r.s.report.Retries++
	most := 0
	for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
		most = max(most, countIn(r.requests[service], now-back-retryWindow, now-back))
	}
	if n := countIn(r.retries[service], now-retryWindow, now); float64(n) > retryRatio*float64(most)+float64(r.s.spec.Bounds.RetryExtra) {
		r.breach(RuleRetryBudget, service, "%d for %d requests", n, most)
	}
}

func (r *rules) began(i *Instance, q *sentRequest) {
	c := q.try
	c.runsBegun++
	if c.request.class.Repeatable {
		return
	}
	if c.runsBegun > 1 {
		r.breach(RuleRanTwice, c.id, "at %s from %s", i.ID, q.n.Name)
	}
	if c.refused {
		r.breach(RuleRanThoughRejected, c.id, "runs at %s after it was refused by %s", i.ID, q.n.Name)
	}
}

// made notes that a replica produced its n-th event.
func (r *rules) made(q *sentRequest, n int) {
	c := q.try
	c.eventsMade, c.madeAt = n, r.s.w.Now
}

// passed counts events that came later to the user agent than they may.
func (r *rules) passed(c *clientAttempt, n int) {
	if n == c.eventsMade && r.s.w.Now-c.madeAt > passWithin {
		r.s.report.LateEvents++
	}
}

// refused notes a node's promise that a try has not run and never will.
func (r *rules) refused(c *clientAttempt, n *Node) {
	c.refused = true
	if c.runsBegun > 0 && !c.request.class.Repeatable {
		r.breach(RuleRanThoughRejected, c.id, "refused by %s, though it ran", n.Name)
	}
}

// finished judges what a node answers by itself.
func (r *rules) finished(t *proxyRequest, status int) {
	c := t.attempt
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		r.refused(c, t.n)
	case http.StatusNotFound:
		r.unknown(c, t.n)
	}
}

// ended judges how a try ended for its user agent.
func (r *rules) ended(c *clientAttempt, how string) {
	r.s.report.Outcomes[how]++
	if c.fault != "" {
		what := RuleMixedResponses
		if c.request.class.Streaming {
			what = RuleBrokenStream
		}
		r.breach(what, c.id, "%s by %s", c.fault, c.n.Name)
	}
	if how != "cut" || !c.read || c.harmed {
		return
	}
	now := r.s.w.Now
	since, planned := r.leaving(c.n.Name, c.readAt, now)
	if !planned || r.unplanned(c.readAt, now) || (now > since+grace/2 && c.working && c.sent <= since+excusedFor) {
		return
	}
	r.breach(RuleLostInPlannedStop, c.id, "read by %s %s before, sent to %d replicas", c.n.Name, now-c.readAt, c.passes)
}
