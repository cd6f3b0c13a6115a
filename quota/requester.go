package quota

import (
	"maps"
	"slices"
	"time"
)

// unresponsivePenalty is how long an owner that did not respond is asked after all others.
const unresponsivePenalty = time.Second

// tenantShare identifies the share of a tenant's limit at one owner.
type tenantShare struct{ owner, tenant string }

// Requester asks the owners of a limit's shares one after the other, until one grants the request. If none does, but all
// together can, it gathers the cost from them in parts. Grants that were not used are kept for other requests of the
// tenant until they expire.
type Requester struct {
	// lastNumber is the last number given to an openRequest or a grant request.
	lastNumber        uint64
	openRequests      map[uint64]*openRequest
	pending           map[uint64]pendingGrantRequest
	unusedGrants      map[string]*grants
	roundTrips        map[string]*roundTrip
	unresponsiveUntil map[string]time.Duration
	// emptyUntil is when a share that refused a request will have tokens again.
	emptyUntil    map[tenantShare]time.Duration
	usage         map[string]*usage
	grantRequests []GrantRequest
	outcomes      []Outcome
}

// NewRequester returns a requester whose grant requests have increasing numbers above first. Each process of a node must
// use a different first, so that a delayed response to an earlier process matches no grant request.
func NewRequester(first uint64) *Requester {
	return &Requester{
		lastNumber: first, openRequests: map[uint64]*openRequest{}, pending: map[uint64]pendingGrantRequest{}, unusedGrants: map[string]*grants{}, roundTrips: map[string]*roundTrip{},
		unresponsiveUntil: map[string]time.Duration{}, emptyUntil: map[tenantShare]time.Duration{}, usage: map[string]*usage{},
	}
}

// Request asks the owners, given by address, in their order, except that owners that recently did not respond are asked
// last. It asks none if the unused tokens of earlier grants cover the cost.
func (r *Requester) Request(now time.Duration, request Request, owners []string) {
	r.lastNumber++
	id := r.lastNumber
	if unused := r.unusedGrants[request.Tenant]; unused != nil {
		if until, ok := unused.take(now, request.Cost); ok {
			r.usageOf(request.Tenant).reused++
			r.end(id, &openRequest{Request: request}, Outcome{ID: request.ID, Granted: true, Until: until})
			return
		}
	}
	o := &openRequest{Request: request, remaining: map[string]float64{}, retryAfter: maxRetryAfter, emptyFor: maxRetryAfter, unresponsive: len(owners) == 0}
	var unresponsiveOwners []string
	for _, owner := range owners {
		if now < r.unresponsiveUntil[owner] {
			unresponsiveOwners = append(unresponsiveOwners, owner)
			continue
		}
		o.owners = append(o.owners, owner)
	}
	r.openRequests[id] = o
	o.owners = append(o.owners, unresponsiveOwners...)
	r.askNext(now, id, o)
}

// sendGrantRequest queues a GrantRequest and returns its ID.
func (r *Requester) sendGrantRequest(now time.Duration, id uint64, o *openRequest, owner string, cost float64) uint64 {
	r.lastNumber++
	r.pending[r.lastNumber] = pendingGrantRequest{request: id, owner: owner, tenant: o.Tenant, cost: cost, at: now}
	r.grantRequests = append(r.grantRequests, GrantRequest{To: owner, ID: r.lastNumber, Tenant: o.Tenant, Cost: cost})
	o.waiting++
	return r.lastNumber
}

// askNext asks the next owner that may have tokens left. If there is none, the request waits for pending responses, or
// its cost is gathered in parts if possible.
func (r *Requester) askNext(now time.Duration, id uint64, o *openRequest) {
	o.current = 0
	for len(o.owners) > 0 {
		owner := o.owners[0]
		o.owners = o.owners[1:]
		if until := r.emptyUntil[tenantShare{owner, o.Tenant}]; now < until {
			o.recordRefusal(Grant{RetryAfter: until - now, EmptyFor: until - now})
			continue
		}
		o.current = r.sendGrantRequest(now, id, o, owner, o.Cost)
		return
	}
	if o.waiting == 0 && !r.gather(now, id, o) {
		r.refuse(now, id, o)
	}
}

// refuse ends a request that is not granted. Parts of it that were granted are kept for other requests.
func (r *Requester) refuse(now time.Duration, id uint64, o *openRequest) {
	r.keepGrants(o.Tenant, o.gathered...)
	r.unusedOf(o.Tenant).expire(now)
	r.end(id, o, Outcome{ID: o.ID, Unanswered: o.unresponsive, RetryAfter: o.retryAfter, EmptyFor: o.emptyFor})
}

func (r *Requester) end(id uint64, o *openRequest, outcome Outcome) {
	delete(r.openRequests, id)
	r.outcomes = append(r.outcomes, outcome)
	r.usageOf(o.Tenant).count(outcome)
}

// HandleResponse processes an owner's response. It ignores a response that matches no pending grant request to that
// owner.
func (r *Requester) HandleResponse(now time.Duration, from string, a GrantResponse) {
	pending, known := r.pending[a.ID]
	if !known || pending.owner != from {
		return
	}
	delete(r.pending, a.ID)
	delete(r.unresponsiveUntil, from)
	r.roundTripOf(from).observe(now - pending.at)
	o := r.openRequests[pending.request]
	if o != nil {
		o.waiting--
		if validTokens(a.Grant.Remaining) {
			o.remaining[from] = a.Grant.Remaining
		}
	}
	if a.Grant.Granted {
		r.handleGrant(now, pending, o)
		return
	}
	r.emptyUntil[tenantShare{from, pending.tenant}] = now + a.Grant.EmptyFor
	if o != nil {
		r.handleRefusal(now, a, pending, o)
	}
}

// handleGrant uses a grant for its request, or keeps it if the request has ended.
func (r *Requester) handleGrant(now time.Duration, pending pendingGrantRequest, o *openRequest) {
	granted := grant{tokens: pending.cost, until: pending.until()}
	switch {
	case o == nil:
		r.usageOf(pending.tenant).late++
		r.keepGrants(pending.tenant, granted)
		r.unusedOf(pending.tenant).expire(now)
	case !o.gathering:
		r.end(pending.request, o, Outcome{ID: o.ID, Granted: true, Until: granted.until})
	default:
		o.gathered.add(granted)
		r.finishGathering(now, pending.request, o)
	}
}

// handleRefusal gathers or asks the next owner after a refusal.
func (r *Requester) handleRefusal(now time.Duration, a GrantResponse, pending pendingGrantRequest, o *openRequest) {
	o.recordRefusal(a.Grant)
	switch {
	case o.gathering:
		r.finishGathering(now, pending.request, o)
	case a.ID == o.current || o.current == 0:
		r.askNext(now, pending.request, o)
	}
}

// Tick asks the next owner for each request whose current owner did not respond in time. It drops expired grants, and
// grant requests whose grants could no longer be used.
func (r *Requester) Tick(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(r.pending)) {
		pending := r.pending[id]
		elapsed, o := now-pending.at, r.openRequests[pending.request]
		if elapsed > GrantLifetime {
			r.handleExpiry(now, id, pending, o)
			continue
		}
		if o != nil && o.current == id && elapsed >= r.roundTripOf(pending.owner).timeout() {
			r.ownerUnresponsive(now, pending, o)
			r.askNext(now, pending.request, o)
		}
	}
	for tenant, unused := range r.unusedGrants {
		if unused.expire(now); len(*unused) == 0 {
			delete(r.unusedGrants, tenant)
		}
	}
	maps.DeleteFunc(r.unresponsiveUntil, func(_ string, until time.Duration) bool { return now >= until })
	maps.DeleteFunc(r.emptyUntil, func(_ tenantShare, until time.Duration) bool { return now >= until })
}

// ownerUnresponsive records that an owner did not respond in time.
func (r *Requester) ownerUnresponsive(now time.Duration, pending pendingGrantRequest, o *openRequest) {
	o.unresponsive, o.emptyFor = true, 0
	r.unresponsiveUntil[pending.owner] = now + unresponsivePenalty
}

// handleExpiry drops a grant request whose grant could no longer be used.
func (r *Requester) handleExpiry(now time.Duration, id uint64, pending pendingGrantRequest, o *openRequest) {
	delete(r.pending, id)
	r.roundTripOf(pending.owner).observe(now - pending.at)
	r.usageOf(pending.tenant).lapsed++
	if o == nil {
		return
	}
	o.waiting--
	r.ownerUnresponsive(now, pending, o)
	switch {
	case o.gathering:
		r.finishGathering(now, pending.request, o)
	case o.current == id || o.current == 0:
		r.askNext(now, pending.request, o)
	}
}

// TakeGrantRequests returns the messages to send, and clears them.
func (r *Requester) TakeGrantRequests() []GrantRequest {
	requests := r.grantRequests
	r.grantRequests = nil
	return requests
}

// TakeOutcomes returns the outcomes of requests since the last call.
func (r *Requester) TakeOutcomes() []Outcome {
	outcomes := r.outcomes
	r.outcomes = nil
	return outcomes
}
