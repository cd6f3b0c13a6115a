package router

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/quota"
)

const (
	reasonOverQuota       = "the tenant's quota is used up"
	reasonQuotaUnanswered = "no owner of the tenant's quota answers"
)

// quotaGrant is a grant of a tenant's quota for one attempt of a request. It can be used again while no replica can have run the request.
type quotaGrant struct {
	// unspent is set while no replica can have run the request under this grant.
	unspent bool
	// until is the last time at which an attempt may be sent under this grant.
	until time.Duration
}

func (g quotaGrant) usable(now time.Duration) bool { return g.unspent && now <= g.until }

// quotaWait is an attempt that waits for a grant of its tenant's quota.
type quotaWait struct {
	request, attemptID string
}

// quotaGate holds back attempts until they are granted their cost from their tenants' quotas.
type quotaGate struct {
	// limited contains the tenants of the configuration in force, and whether each has a limit.
	limited map[string]bool
	// waits contains the waiting attempts by the ID of their quota request; lastID is the last ID that was used.
	waits  map[uint64]quotaWait
	lastID uint64
	// requests contains the quota requests that TakeQuotaRequests has not returned yet.
	requests []quota.Request
	// exhaustedUntil contains, by tenant, the time until which the quota is used up.
	exhaustedUntil map[string]time.Duration
}

func newQuotaGate() quotaGate {
	return quotaGate{waits: map[uint64]quotaWait{}, exhaustedUntil: map[string]time.Duration{}}
}

// exhaustedFor returns how much longer the tenant's quota is used up; it is not positive if requests may be granted.
func (g *quotaGate) exhaustedFor(now time.Duration, tenant *config.Tenant) time.Duration {
	if tenant == nil || !g.limited[tenant.Name] {
		return 0
	}
	return g.exhaustedUntil[tenant.Name] - now
}

// needsGrant reports whether an attempt of the request needs a grant before it may be sent.
func (g *quotaGate) needsGrant(now time.Duration, live liveRequest) bool {
	return live.tenant != nil && g.limited[live.tenant.Name] && live.cost > 0 && !live.grant.usable(now)
}

// requestGrant queues a request for the cost of an attempt.
func (g *quotaGate) requestGrant(live liveRequest, attemptID string) {
	g.lastID++
	g.waits[g.lastID] = quotaWait{request: live.request, attemptID: attemptID}
	g.requests = append(g.requests, quota.Request{ID: g.lastID, Tenant: live.tenant.Name, Cost: live.cost})
}

// costOf returns what each attempt of a request costs of its tenant's quota.
func costOf(tenant *config.Tenant, e *Arrival) float64 {
	if tenant == nil {
		return 0
	}
	return tenant.Cost(e.PromptTokens + e.MaxOutputTokens)
}

// TakeQuotaRequests returns the new quota requests, which the caller must pass to the owners of the quotas.
func (r *Router) TakeQuotaRequests() []quota.Request {
	requests := r.quotas.requests
	r.quotas.requests = nil
	return requests
}

// readyToSend lets an attempt be sent, or first requests its cost from its tenant's quota. It returns false if the attempt is unknown.
func (r *Router) readyToSend(now time.Duration, e ReadyToSend) bool {
	live := r.requests[r.requestIDs[e.Request]]
	if live.request == e.Request && r.quotas.needsGrant(now, live) {
		r.quotas.requestGrant(live, e.AttemptID)
		return true
	}
	return r.authorizeSend(now, e.Request, e.AttemptID)
}

// authorizeSend lets an attempt be sent, unless it is unknown.
func (r *Router) authorizeSend(now time.Duration, request, attemptID string) bool {
	return r.withAttempt(request, attemptID, func(id int, attempt uint64) { r.scheduler.AuthorizeSend(now, id, attempt) })
}

// quotaDecided lets the waiting attempt be sent, or rejects its request. If the grant arrived too late to be used, it is requested again.
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
		r.refuseSend(now, wait, reasonQuotaUnanswered, quota.TakeoverDelay)
	default:
		if request.tenant != nil {
			r.quotas.exhaustedUntil[request.tenant.Name] = now + e.EmptyFor
		}
		r.refuseSend(now, wait, reasonOverQuota, e.RetryAfter)
	}
}

// refuseSend rejects the request of a waiting attempt.
func (r *Router) refuseSend(now time.Duration, wait quotaWait, reason string, retryAfter time.Duration) {
	r.withAttempt(wait.request, wait.attemptID, func(id int, attempt uint64) { r.scheduler.RefuseSend(now, id, attempt, reason, retryAfter) })
}

// expireQuotaWaits rejects the requests that could not be answered any more before their clients leave, even if their quota were granted now.
func (r *Router) expireQuotaWaits(now time.Duration) {
	for id, wait := range r.quotas.waits {
		request, live := r.requestIDs[wait.request]
		if live && r.scheduler.CanStillAnswer(now, request) {
			continue
		}
		delete(r.quotas.waits, id)
		r.refuseSend(now, wait, reasonQuotaUnanswered, quota.TakeoverDelay)
	}
}

// spendGrant records that an attempt is sent, after which a replica may run it.
func (r *Router) spendGrant(id int) {
	live := r.requests[id]
	live.grant.unspent = false
	r.requests[id] = live
}

// attemptEnded passes the result of an attempt to the scheduler. If no replica ran the attempt, the request's next attempt can use its grant.
func (r *Router) attemptEnded(now time.Duration, e AttemptEnded) {
	if id, known := r.requestIDs[e.Request]; known && (e.Result == Refused || e.Result == NotSent) {
		live := r.requests[id]
		live.grant.unspent = live.grant.until > 0
		r.requests[id] = live
	}
	r.withAttempt(e.Request, e.AttemptID, func(id int, attempt uint64) { r.scheduler.EndAttempt(now, id, attempt, attemptResults[e.Result]) })
}
