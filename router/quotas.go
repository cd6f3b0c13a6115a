package router

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/quota"
)

const (
	// quotaTimeout is how long an attempt waits for its tenant's quota at most.
	quotaTimeout = time.Second
	// quotaRetryAfter is what a client waits for whose request got no answer of an owner.
	quotaRetryAfter = 500 * time.Millisecond

	overQuota       = "the tenant's quota is used up"
	quotaUnanswered = "no owner of the tenant's quota answers"
)

// quotaGrant is what a request was granted of its tenant's quota, for one attempt that a replica runs.
type quotaGrant struct {
	// unspent: no replica can have run the request on it.
	unspent bool
	until   time.Duration
}

func (g quotaGrant) usable(now time.Duration) bool { return g.unspent && now <= g.until }

// quotaWait is an attempt that may be sent once its tenant's quota is granted.
type quotaWait struct {
	request, attemptID string
	askedAt            time.Duration
}

// quotaGate holds attempts back until their tenants' quotas are granted.
type quotaGate struct {
	// limited are the tenants of the configuration in force, and whether they have a limit.
	limited map[string]bool
	waits   map[uint64]quotaWait
	next    uint64
	// requests are those that control has not been given yet.
	requests []quota.Request
	// emptyUntil is when a tenant's requests may be granted again.
	emptyUntil map[string]time.Duration
}

func newQuotaGate() quotaGate {
	return quotaGate{waits: map[uint64]quotaWait{}, emptyUntil: map[string]time.Duration{}}
}

// emptyFor is how long no request of the tenant will be granted.
func (g *quotaGate) emptyFor(now time.Duration, tenant *config.Tenant) time.Duration {
	if tenant == nil || !g.limited[tenant.Name] {
		return 0
	}
	return g.emptyUntil[tenant.Name] - now
}

// needsGrant tells whether an attempt of the request must be granted before it is sent.
func (g *quotaGate) needsGrant(now time.Duration, live liveRequest) bool {
	return live.tenant != nil && g.limited[live.tenant.Name] && live.cost > 0 && !live.grant.usable(now)
}

// ask begins to ask for an attempt's cost.
func (g *quotaGate) ask(now time.Duration, live liveRequest, attemptID string) {
	g.next++
	g.waits[g.next] = quotaWait{request: live.request, attemptID: attemptID, askedAt: now}
	g.requests = append(g.requests, quota.Request{ID: g.next, Tenant: live.tenant.Name, Cost: live.cost})
}

func costOf(tenant *config.Tenant, e *Arrival) float64 {
	if tenant == nil {
		return 0
	}
	return tenant.Cost(e.PromptTokens + e.MaxOutputTokens)
}

// TakeQuotaRequests gives the requests for quotas that owners are to be asked for.
func (r *Router) TakeQuotaRequests() []quota.Request {
	requests := r.quotas.requests
	r.quotas.requests = nil
	return requests
}

// readyToSend has an attempt sent, or its tenant's quota asked for first. It is false where the attempt is not this router's.
func (r *Router) readyToSend(now time.Duration, e ReadyToSend) bool {
	live := r.requests[r.requestIDs[e.Request]]
	if live.request == e.Request && r.quotas.needsGrant(now, live) {
		r.quotas.ask(now, live, e.AttemptID)
		return true
	}
	return r.authorizeSend(now, e.Request, e.AttemptID)
}

func (r *Router) authorizeSend(now time.Duration, request, attemptID string) bool {
	return r.withAttempt(request, attemptID, func(id int, attempt uint64) { r.scheduler.AuthorizeSend(now, id, attempt) })
}

// quotaDecided has the attempt sent that waited, or ends its request. A grant that came too late is asked for anew.
func (r *Router) quotaDecided(now time.Duration, e QuotaDecided) {
	wait, waits := r.quotas.waits[e.ID]
	id, live := r.requestIDs[wait.request]
	if !waits || !live {
		delete(r.quotas.waits, e.ID)
		return
	}
	delete(r.quotas.waits, e.ID)
	request := r.requests[id]
	switch {
	case e.Granted:
		request.grant = quotaGrant{unspent: true, until: e.Until}
		r.requests[id] = request
		r.readyToSend(now, ReadyToSend{Request: wait.request, AttemptID: wait.attemptID})
	case e.Unanswered:
		r.refuseSend(now, wait, quotaUnanswered, quotaRetryAfter)
	default:
		if request.tenant != nil {
			r.quotas.emptyUntil[request.tenant.Name] = now + e.EmptyFor
		}
		r.refuseSend(now, wait, overQuota, e.RetryAfter)
	}
}

func (r *Router) refuseSend(now time.Duration, wait quotaWait, why string, after time.Duration) {
	r.withAttempt(wait.request, wait.attemptID, func(id int, attempt uint64) { r.scheduler.RefuseSend(now, id, attempt, why, after) })
}

// expireQuotaWaits ends the requests whose quota nobody decided.
func (r *Router) expireQuotaWaits(now time.Duration) {
	for id, wait := range r.quotas.waits {
		if now-wait.askedAt >= quotaTimeout {
			delete(r.quotas.waits, id)
			r.refuseSend(now, wait, quotaUnanswered, quotaRetryAfter)
		}
	}
}

// spendGrant notes that an attempt is sent: its replica may run it.
func (r *Router) spendGrant(id int) {
	live := r.requests[id]
	live.grant.unspent = false
	r.requests[id] = live
}

// attemptEnded leaves a grant to the request's next attempt where no replica ran this one.
func (r *Router) attemptEnded(now time.Duration, e AttemptEnded) {
	if id, known := r.requestIDs[e.Request]; known && (e.Result == Refused || e.Result == NotSent) {
		live := r.requests[id]
		live.grant.unspent = live.grant.until > 0
		r.requests[id] = live
	}
	r.withAttempt(e.Request, e.AttemptID, func(id int, attempt uint64) { r.scheduler.EndAttempt(now, id, attempt, ends[e.Result]) })
}
