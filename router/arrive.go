package router

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

const reasonAlreadyRunning = "request is already running here"

// arrive passes a new request to the scheduler. It returns true and a decision if the request is rejected at once.
func (r *Router) arrive(now time.Duration, e Arrival) (Decision, bool) {
	if r.snapshot == nil {
		return e.unconfigured(), true
	}
	if _, running := r.requestIDs[e.Request]; running {
		return e.duplicate(reasonAlreadyRunning), true
	}
	if e.Service == "" {
		return r.arriveRouted(now, e)
	}
	return r.arriveDirect(now, e)
}

// arriveDirect handles a request of the product's own interface, which names a service and a request class.
func (r *Router) arriveDirect(now time.Duration, e Arrival) (Decision, bool) {
	service, ok := r.services[e.Service]
	if !ok {
		return e.invalid("no such offer"), true
	}
	class, ok := r.classes[service][classKey{name: e.Class}]
	row := &r.scheduler.Services[service]
	if !ok || row.Classes[class].Removed {
		return e.invalid("no such kind"), true
	}
	if !row.Classes[class].Idempotent && r.alreadyRan.has(now, e.Request) {
		return e.duplicate(scheduler.AlreadyRan), true
	}
	blocks, err := prefixindex.Parse(r.model(e.Service), e.Prefix)
	if err != nil {
		return e.invalid(err.Error()), true
	}
	r.schedule(now, e, scheduler.Request{Service: service, Class: class, PrefixBlocks: blocks}, liveRequest{})
	var d Decision
	return d, false
}

// arriveRouted handles a request whose route is chosen by host and path. A prefix that cannot be parsed is ignored.
func (r *Router) arriveRouted(now time.Duration, e Arrival) (Decision, bool) {
	route := r.matchRoute(e.Host, e.Path)
	if route == nil {
		return e.invalid("no such route"), true
	}
	tenant, allowed := r.authorize(&e, route)
	if !allowed {
		return e.unauthorized(), true
	}
	name := pickService(route, e.Request)
	service, ok := r.services[name]
	if !ok {
		return e.invalid("no such offer"), true
	}
	if wait := r.quotas.exhaustedFor(now, tenant); wait > 0 {
		return e.overQuota(wait), true
	}
	model := e.Model
	if model == "" {
		model = r.model(name)
	}
	blocks, err := prefixindex.Parse(model, e.Prefix)
	if err != nil {
		blocks = nil
	}
	class := r.classes[service][classKey{name: route.Name, route: true, priority: tenant.PriorityOf(route)}]
	r.schedule(now, e, scheduler.Request{Service: service, Class: class, PrefixBlocks: blocks}, liveRequest{route: route, tenant: tenant, cost: costOf(tenant, &e)})
	var d Decision
	return d, false
}

// schedule passes a request to the scheduler and records it as live.
func (r *Router) schedule(now time.Duration, e Arrival, req scheduler.Request, live liveRequest) {
	req.TailTokens, req.ClientTimeout = e.tailTokens(req.PrefixBlocks), e.Timeout
	id := r.scheduler.Arrive(now, req)
	r.requestIDs[e.Request] = id
	live.request = e.Request
	r.requests[id] = live
}

// duplicate returns a rejection of a request that is a repeat of one that runs or ran here.
func (e Arrival) duplicate(reason string) Decision {
	return Decision{Verdict: Reject, Request: e.Request, Reason: reason, RetryAfter: scheduler.MinRetryAfter, Duplicate: true}
}

// unconfigured returns a rejection by a router that has just started and has no configuration. When it will is not known,
// and after a loss of power the other routers have none either, so the client waits as for a list of replicas.
func (e Arrival) unconfigured() Decision {
	return Decision{Verdict: Reject, Request: e.Request, Reason: "no configuration yet", RetryAfter: scheduler.RefreshInterval}
}

// invalid returns a rejection of a request that cannot be served because of what it asks for.
func (e Arrival) invalid(reason string) Decision {
	return Decision{Verdict: Reject, Request: e.Request, Reason: reason, Invalid: true}
}

func (e Arrival) unauthorized() Decision {
	return Decision{Verdict: Reject, Request: e.Request, Reason: "no tenant has the key", Unauthorized: true}
}

func (e Arrival) overQuota(retryAfter time.Duration) Decision {
	return Decision{Verdict: Reject, Request: e.Request, Reason: reasonOverQuota, RetryAfter: retryAfter, OverQuota: true}
}

// tailTokens returns the number of prompt tokens that follow the prefix.
func (e Arrival) tailTokens(blocks []prefixindex.Block) int {
	if e.PromptTokens == 0 {
		return e.TailTokens
	}
	return max(e.PromptTokens-prefixindex.Tokens(blocks), 0)
}

// AlreadyRan returns why a repeated request must not be rejected as not run: it is running here, or it was sent before and is not idempotent.
// It returns "" if neither is the case. The HTTP interface calls it before it rejects a request without passing it to the router.
func (r *Router) AlreadyRan(serviceName, className, request string) string {
	if _, running := r.requestIDs[request]; running {
		return reasonAlreadyRunning
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

// model returns the model of a service, or "" if there is no such service.
func (r *Router) model(service string) string {
	for i := range r.snapshot.Config.Services {
		if r.snapshot.Config.Services[i].Name == service {
			return r.snapshot.Config.Services[i].Model
		}
	}
	return ""
}
