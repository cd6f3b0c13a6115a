package sim

import (
	"fmt"
	"net/http"
	"time"
)

// Rules that a site keeps its nodes to, as named in breaches.
const (
	RuleMixed   = "mixed answers"
	RuleTwice   = "ran twice"
	RuleRefused = "ran and was refused"
	RuleDenied  = "proper request denied"
	RuleRoute   = "no configuration allows it"
	RuleDrain   = "sent to a draining replica"
	RuleLost    = "answer lost in planned work"
	RuleConfig  = "configuration not obeyed"
	RuleBack    = "older configuration came back"
	RuleTaken   = "flawed or lost configuration taken"
	RuleBudget  = "too many second attempts"
	RuleOrder   = "stream broken"
	RuleCold    = "cold replica flooded"
	RuleEvac    = "evacuation not obeyed"
	RuleKept    = "acknowledged order lost"
	RuleRecover = "service did not recover"
	RuleAcks    = "order not acknowledged"
	RuleTries   = "sent to too many replicas"
	RuleServed  = "too little served"
	RuleStale   = "old configuration handed out"
	RuleAgain   = "taken order refused"
	RuleDenies  = "order refused though nothing else was taken"
)

// rules judges by what user agents, replicas, operators and the platform see.
type rules struct {
	s        *site
	troubles []*trouble
	versions []*version
	evacs    map[string]*evacuation
	asked    map[string][]time.Duration
	again    map[string][]time.Duration
	floors   map[uint64]floor
	// reopened are the domains whose evacuation was taken back, as acknowledged, and that nobody evacuated since.
	reopened map[string]bool
	Refused  int
}

type evacuation struct {
	acked  time.Duration
	lifted bool
}

func newRules(s *site) *rules {
	return &rules{
		s: s, evacs: map[string]*evacuation{}, asked: map[string][]time.Duration{}, again: map[string][]time.Duration{}, floors: map[uint64]floor{}, reopened: map[string]bool{},
	}
}

func (r *rules) breach(what, who, format string, args ...any) {
	r.s.w.Audit.breach(what, who, fmt.Sprintf(format, args...))
}

func (r *rules) submitted(c *try) {
	for _, offer := range r.offers(c.path) {
		r.asked[offer] = append(r.asked[offer], r.s.w.now)
	}
}

// arrived judges a request at a replica that takes it for its own.
func (r *rules) arrived(i *Instance, q *request) {
	now, n := r.s.w.now, q.n
	r.config(i, q)
	if at := i.shown(); q.calm && at < now && r.s.since(at) > r.s.spec.Bounds.Drain {
		r.breach(RuleDrain, i.ID, "%s, %s after the list showed it", n.Name, now-at)
	}
	if e := r.evacs[i.Domain]; e != nil && e.acked > 0 && !e.lifted {
		if bound, must := r.within(n, q, evacWithin); must && now > e.acked+bound {
			r.breach(RuleEvac, i.Domain, "%s sends to %s, %s after it was acknowledged", n.Name, i.ID, now-e.acked)
		}
	}
	r.cold(i, q)
	if q.again {
		r.second(i.offer.Name)
	}
}

// cold counts what a cold replica gets within a second: sent and arrived in it.
func (r *rules) cold(i *Instance, q *request) {
	if !i.cold() {
		return
	}
	now, count := r.s.w.now, 1
	for x := len(i.arrivals) - 1; x >= 0 && now-i.arrivals[x].at < time.Second; x-- {
		if now-i.arrivals[x].sent < time.Second && i.arrivals[x].at >= i.chilled {
			count++
		}
	}
	if most := i.offer.ColdRate*coldOver + coldSlack; float64(count) > most {
		r.breach(RuleCold, i.ID, "%d requests in a second, at most %g, last from %s", count, most, q.n.Name)
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
func (r *rules) second(offer string) {
	now := r.s.w.now
	r.again[offer] = append(r.again[offer], now)
	r.s.report.Seconds++
	most := 0
	for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
		most = max(most, countIn(r.asked[offer], now-back-retryWindow, now-back))
	}
	if n := countIn(r.again[offer], now-retryWindow, now); float64(n) > retryShare*float64(most)+float64(r.s.spec.Bounds.RetryExtra) {
		r.breach(RuleBudget, offer, "%d for %d requests", n, most)
	}
}

func (r *rules) began(i *Instance, q *request) {
	c := q.try
	c.began++
	if c.want.class.Repeatable {
		return
	}
	if c.began > 1 {
		r.breach(RuleTwice, c.id, "at %s from %s", i.ID, q.n.Name)
	}
	if c.refused {
		r.breach(RuleRefused, c.id, "runs at %s after it was refused by %s", i.ID, q.n.Name)
	}
}

// made notes that a replica produced its n-th event.
func (r *rules) made(q *request, n int) {
	c := q.try
	c.made, c.madeAt = n, r.s.w.now
}

// passed counts events that came later to the user agent than they may.
func (r *rules) passed(c *try, n int) {
	if n == c.made && r.s.w.now-c.madeAt > passWithin {
		r.s.report.LateEvents++
	}
}

// refused notes a node's promise that a try has not run and never will.
func (r *rules) refused(c *try, n *Node) {
	c.refused = true
	if c.began > 0 && !c.want.class.Repeatable {
		r.breach(RuleRefused, c.id, "refused by %s, though it ran", n.Name)
	}
}

// finished judges what a node answers by itself.
func (r *rules) finished(t *trip, status int) {
	c := t.c
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		r.refused(c, t.n)
	case http.StatusNotFound:
		r.unknown(c, t.n)
	}
}

// ended judges how a try ended for its user agent.
func (r *rules) ended(c *try, how string) {
	r.s.report.Outcomes[how]++
	if c.fault != "" {
		what := RuleMixed
		if c.want.class.Streaming {
			what = RuleOrder
		}
		r.breach(what, c.id, "%s by %s", c.fault, c.n.Name)
	}
	if how != "cut" || !c.read || c.harmed {
		return
	}
	now := r.s.w.now
	since, planned := r.leaving(c.n.Name, c.took, now)
	if !planned || r.unplanned(c.took, now) || (now > since+grace/2 && c.working && c.sent <= since+excusedFor) {
		return
	}
	r.breach(RuleLost, c.id, "read by %s %s before, sent to %d replicas", c.n.Name, now-c.took, c.passes)
}
