package quota

import (
	"maps"
	"slices"
	"time"
)

// silentFor is how long an owner that didn't answer is asked last.
const silentFor = time.Second

// Request is the cost of a tenant's request, numbered by its router.
type Request struct {
	ID     uint64
	Tenant string
	Cost   float64
}

// Outcome is how a Request ended. A granted one may run until Until. Unanswered: it is not granted because owners were silent. The client may come
// back after RetryAfter; no other request of the tenant is granted within EmptyFor.
type Outcome struct {
	ID                   uint64
	Granted              bool
	Until                time.Duration
	Unanswered           bool
	RetryAfter, EmptyFor time.Duration
}

// GrantRequest is a message to the owner at the address To.
type GrantRequest struct {
	To     string
	ID     uint64
	Tenant string
	Cost   float64
}

// GrantResponse is a message of an owner: what became of the Ask with that number.
type GrantResponse struct {
	ID    uint64
	Grant Grant
}

// ownerOf names the owner of a tenant's share.
type ownerOf struct{ owner, tenant string }

// Requester asks the owners of a limit's shares one after the other until one grants the request. A request that none grants is gathered from all of
// them, where together they can. What is granted and not used stays for other requests of the tenant as long as it may be used.
type Requester struct {
	next        uint64
	open        map[uint64]*openRequest
	waiting     map[uint64]openAsk
	kept        map[string]*grants
	roundTrips  map[string]*roundTrip
	silentUntil map[string]time.Duration
	emptyUntil  map[ownerOf]time.Duration
	usage       map[string]*usage
	asks        []GrantRequest
	outcomes    []Outcome
}

// NewRequester numbers its asks from first, which differs from one process of a node to the next, so that no late answer fits.
func NewRequester(first uint64) *Requester {
	return &Requester{
		next: first, open: map[uint64]*openRequest{}, waiting: map[uint64]openAsk{}, kept: map[string]*grants{}, roundTrips: map[string]*roundTrip{},
		silentUntil: map[string]time.Duration{}, emptyUntil: map[ownerOf]time.Duration{}, usage: map[string]*usage{},
	}
}

// Request begins to ask the owners, in their order but for those that were silent lately, unless enough is left of earlier grants.
func (r *Requester) Request(now time.Duration, q Request, owners []string) {
	r.next++
	id := r.next
	if kept := r.kept[q.Tenant]; kept != nil {
		if until, enough := kept.take(now, q.Cost); enough {
			r.usageOf(q.Tenant).reused++
			r.end(id, &openRequest{Request: q}, Outcome{ID: q.ID, Granted: true, Until: until})
			return
		}
	}
	o := &openRequest{Request: q, left: map[string]float64{}, retryAfter: longestRetry, emptyFor: longestRetry, silent: len(owners) == 0}
	var silent []string
	for _, owner := range owners {
		if now < r.silentUntil[owner] {
			silent = append(silent, owner)
			continue
		}
		o.owners = append(o.owners, owner)
	}
	r.open[id] = o
	o.owners = append(o.owners, silent...)
	r.askNext(now, id, o)
}

// ask sends an Ask and gives its number.
func (r *Requester) ask(now time.Duration, id uint64, o *openRequest, owner string, cost float64) uint64 {
	r.next++
	r.waiting[r.next] = openAsk{request: id, owner: owner, tenant: o.Tenant, cost: cost, at: now}
	r.asks = append(r.asks, GrantRequest{To: owner, ID: r.next, Tenant: o.Tenant, Cost: cost})
	o.waiting++
	return r.next
}

// askNext asks the next owner that may have something left. Where there is none the request waits for answers that are late, and is gathered where
// that is possible.
func (r *Requester) askNext(now time.Duration, id uint64, o *openRequest) {
	o.current = 0
	for len(o.owners) > 0 {
		owner := o.owners[0]
		o.owners = o.owners[1:]
		if until := r.emptyUntil[ownerOf{owner, o.Tenant}]; now < until {
			o.noteRefusal(Grant{RetryAfter: until - now, EmptyFor: until - now})
			continue
		}
		o.current = r.ask(now, id, o, owner, o.Cost)
		return
	}
	if o.waiting == 0 && !r.gather(now, id, o) {
		r.refuse(now, id, o)
	}
}

// refuse ends a request that is not granted; parts of it that were granted stay for others.
func (r *Requester) refuse(now time.Duration, id uint64, o *openRequest) {
	r.keep(o.Tenant, o.gathered...)
	r.keptOf(o.Tenant).expire(now)
	r.end(id, o, Outcome{ID: o.ID, Unanswered: o.silent, RetryAfter: o.retryAfter, EmptyFor: o.emptyFor})
}

func (r *Requester) end(id uint64, o *openRequest, outcome Outcome) {
	delete(r.open, id)
	r.outcomes = append(r.outcomes, outcome)
	r.usageOf(o.Tenant).count(outcome)
}

// HandleResponse takes an owner's answer.
func (r *Requester) HandleResponse(now time.Duration, from string, a GrantResponse) {
	ask, known := r.waiting[a.ID]
	if !known || ask.owner != from {
		return
	}
	delete(r.waiting, a.ID)
	delete(r.silentUntil, from)
	r.roundTripOf(from).measured(now - ask.at)
	o := r.open[ask.request]
	if o != nil {
		o.waiting--
		if sensible(a.Grant.Remaining) {
			o.left[from] = a.Grant.Remaining
		}
	}
	if a.Grant.Granted {
		r.granted(now, ask, o)
		return
	}
	r.emptyUntil[ownerOf{from, ask.tenant}] = now + a.Grant.EmptyFor
	if o != nil {
		r.refused(now, a, ask, o)
	}
}

// granted uses a grant for the request that it was asked for, or keeps it.
func (r *Requester) granted(now time.Duration, ask openAsk, o *openRequest) {
	one := grant{tokens: ask.cost, until: ask.until()}
	switch {
	case o == nil:
		r.usageOf(ask.tenant).late++
		r.keep(ask.tenant, one)
		r.keptOf(ask.tenant).expire(now)
	case !o.gathering:
		r.end(ask.request, o, Outcome{ID: o.ID, Granted: true, Until: one.until})
	default:
		o.gathered.add(one)
		r.gatheredPart(now, ask.request, o)
	}
}

// refused goes on after a refusal.
func (r *Requester) refused(now time.Duration, a GrantResponse, ask openAsk, o *openRequest) {
	o.noteRefusal(a.Grant)
	switch {
	case o.gathering:
		r.gatheredPart(now, ask.request, o)
	case a.ID == o.current || o.current == 0:
		r.askNext(now, ask.request, o)
	}
}

// Tick goes on where an owner is silent, and forgets what can't be used any more.
func (r *Requester) Tick(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(r.waiting)) {
		ask := r.waiting[id]
		elapsed, o := now-ask.at, r.open[ask.request]
		if elapsed > GrantLifetime {
			r.lapsed(now, id, ask, o)
			continue
		}
		if o != nil && o.current == id && elapsed >= r.roundTripOf(ask.owner).timeout() {
			r.silent(now, ask, o)
			r.askNext(now, ask.request, o)
		}
	}
	for tenant, kept := range r.kept {
		if kept.expire(now); len(*kept) == 0 {
			delete(r.kept, tenant)
		}
	}
	maps.DeleteFunc(r.silentUntil, func(_ string, until time.Duration) bool { return now >= until })
	maps.DeleteFunc(r.emptyUntil, func(_ ownerOf, until time.Duration) bool { return now >= until })
}

func (r *Requester) silent(now time.Duration, ask openAsk, o *openRequest) {
	o.silent, o.emptyFor = true, 0
	r.silentUntil[ask.owner] = now + silentFor
}

// lapsed gives up an ask whose grant could not be used any more.
func (r *Requester) lapsed(now time.Duration, id uint64, ask openAsk, o *openRequest) {
	delete(r.waiting, id)
	r.roundTripOf(ask.owner).measured(now - ask.at)
	r.usageOf(ask.tenant).lapsed++
	if o == nil {
		return
	}
	o.waiting--
	r.silent(now, ask, o)
	switch {
	case o.gathering:
		r.gatheredPart(now, ask.request, o)
	case o.current == id || o.current == 0:
		r.askNext(now, ask.request, o)
	}
}

// TakeGrantRequests gives the messages that are to be sent.
func (r *Requester) TakeGrantRequests() []GrantRequest {
	asks := r.asks
	r.asks = nil
	return asks
}

// TakeOutcomes gives the requests that ended.
func (r *Requester) TakeOutcomes() []Outcome {
	outcomes := r.outcomes
	r.outcomes = nil
	return outcomes
}
