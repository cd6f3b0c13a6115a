package router

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

const runningHere = "request is already running here"

// arrive gives a new request to the scheduler, or answers it at once.
func (r *Router) arrive(now time.Duration, e Arrival) (Decision, bool) {
	if r.snapshot == nil {
		return e.rejected("no configuration yet", false), true
	}
	if _, twice := r.requestIDs[e.Request]; twice {
		return e.rejected(runningHere, true), true
	}
	if e.Service == "" {
		return r.arriveRouted(now, e)
	}
	return r.arriveDirect(now, e)
}

// arriveDirect is for requests of the product's own interface, which name a service and a class.
func (r *Router) arriveDirect(now time.Duration, e Arrival) (Decision, bool) {
	service, ok := r.services[e.Service]
	if !ok {
		return e.bad("no such offer"), true
	}
	class, ok := r.classes[service][classKey{name: e.Class}]
	row := &r.scheduler.Services[service]
	if !ok || row.Classes[class].Removed {
		return e.bad("no such kind"), true
	}
	if !row.Classes[class].Idempotent && r.alreadyRan.has(now, e.Request) {
		return e.rejected(scheduler.AlreadyRan, true), true
	}
	parts, err := prefixindex.Parse(r.model(e.Service), e.Prefix)
	if err != nil {
		return e.bad(err.Error()), true
	}
	r.schedule(now, e, scheduler.Request{Service: service, Class: class, PrefixBlocks: parts}, liveRequest{})
	var d Decision
	return d, false
}

// arriveRouted is for requests of routes, which are chosen by host and path. A prefix that cannot be read counts as none.
func (r *Router) arriveRouted(now time.Duration, e Arrival) (Decision, bool) {
	route := r.matchRoute(e.Host, e.Path)
	if route == nil {
		return e.bad("no such route"), true
	}
	tenant, allowed := r.authorize(&e, route)
	if !allowed {
		return e.unauthorized(), true
	}
	name := pickService(route, e.Request)
	service, ok := r.services[name]
	if !ok {
		return e.bad("no such offer"), true
	}
	if wait := r.quotas.emptyFor(now, tenant); wait > 0 {
		return e.overQuota(wait), true
	}
	model := e.Model
	if model == "" {
		model = r.model(name)
	}
	parts, err := prefixindex.Parse(model, e.Prefix)
	if err != nil {
		parts = nil
	}
	class := r.classes[service][classKey{name: route.Name, route: true, priority: tenant.PriorityOf(route)}]
	r.schedule(now, e, scheduler.Request{Service: service, Class: class, PrefixBlocks: parts}, liveRequest{route: route, tenant: tenant, cost: costOf(tenant, &e)})
	var d Decision
	return d, false
}

func (r *Router) schedule(now time.Duration, e Arrival, req scheduler.Request, live liveRequest) {
	req.TailTokens, req.ClientTimeout = e.tail(req.PrefixBlocks), e.Timeout
	id := r.scheduler.Arrive(now, req)
	r.requestIDs[e.Request] = id
	live.request = e.Request
	r.requests[id] = live
}

func (e Arrival) rejected(why string, repeat bool) Decision {
	return Decision{Verdict: Reject, Request: e.Request, Reason: why, RetryAfter: time.Second, Repeat: repeat}
}

func (e Arrival) bad(why string) Decision {
	return Decision{Verdict: Reject, Request: e.Request, Reason: why, Invalid: true}
}

func (e Arrival) unauthorized() Decision {
	return Decision{Verdict: Reject, Request: e.Request, Reason: "no tenant has the key", Unauthorized: true}
}

func (e Arrival) overQuota(after time.Duration) Decision {
	return Decision{Verdict: Reject, Request: e.Request, Reason: overQuota, RetryAfter: after, OverQuota: true}
}

// tail is how many tokens follow the prefix.
func (e Arrival) tail(parts []prefixindex.Block) int {
	if e.PromptTokens == 0 {
		return e.TailTokens
	}
	return max(e.PromptTokens-prefixindex.Tokens(parts), 0)
}

// AlreadyRan tells why a request that is sent again must not be rejected as not run, or "". The HTTP interface asks before it rejects
// a request without passing it to the router.
func (r *Router) AlreadyRan(serviceName, className, request string) string {
	if _, twice := r.requestIDs[request]; twice {
		return runningHere
	}
	service, known := r.services[serviceName]
	if !known {
		return ""
	}
	class, known := r.classes[service][classKey{name: className}]
	if !known || r.scheduler.Services[service].Classes[class].Idempotent {
		return ""
	}
	if _, ran := r.alreadyRan.seenAt[request]; !ran {
		return ""
	}
	return scheduler.AlreadyRan
}

func (r *Router) model(service string) string {
	for i := range r.snapshot.Config.Services {
		if r.snapshot.Config.Services[i].Name == service {
			return r.snapshot.Config.Services[i].Model
		}
	}
	return ""
}
