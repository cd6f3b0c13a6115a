package router

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

// Config holds what a router is told at its start.
type Config struct {
	// Self is the router's name, unique in the fleet; Boot is new at each start, so that attempt ids never return; Zone is where it runs.
	Self      string
	BootID    string
	Zone      string
	Scheduler scheduler.Config
	// SentRequestTTL and RememberSentMax bound the memory of requests that were sent, in time and number.
	SentRequestTTL  time.Duration
	MaxSentRequests int
}

// Defaults are the constants that production nodes use.
func Defaults(self, boot, zone string) Config {
	return Config{
		Self: self, BootID: boot, Zone: zone, Scheduler: scheduler.Defaults(self, zone), SentRequestTTL: 10 * time.Minute, MaxSentRequests: 100000,
	}
}

// replicaEntry is what the router knows of a replica beside the scheduler's row of the same index.
type replicaEntry struct {
	name, addr, instance string
	// platformState is what operators said of it.
	platformState ListingState

	// discovered: it came from the platform's list, where it was listedAs; removedSince is when the list left it out, else 0.
	discovered   bool
	listedAs     Instance
	removedSince time.Duration
}

// liveRequest is a request that the scheduler has not ended; route is nil for the product's own interface.
type liveRequest struct {
	request string
	route   *config.Route
	// tenant is nil where the request has no tenant's key.
	tenant *config.Tenant
	// cost is what each attempt costs of its tenant's quota, grant what it was granted.
	cost  float64
	grant quotaGrant
}

// classKey names a class of a service: a kind of the document, or a route at one priority.
type classKey struct {
	name     string
	route    bool
	priority int
}

// Router is the routing state machine of one node or embedding program. It turns events into calls of the scheduler and the
// scheduler's actions into decisions, by name instead of index. It does no I/O and is not safe for concurrent use; a Loop owns it. All
// times are on the caller's clock, since its start.
type Router struct {
	cfg       Config
	scheduler *scheduler.Scheduler
	snapshot  *config.Snapshot

	// services and replicaIDs give the scheduler's index by name, classes that of a class within a service.
	services   map[string]int
	classes    []map[classKey]int
	replicaIDs map[string]int
	replicas   []replicaEntry
	// requestIDs gives the scheduler's id by the client's, requests the other way.
	requestIDs map[string]int
	requests   map[int]liveRequest
	// routesByHost has the longest path prefix first.
	routesByHost map[string][]*config.Route
	tenantsByKey map[config.KeyHash]*config.Tenant
	quotas       quotaGate

	replicaList ReplicaList
	listReadAt  time.Duration
	listKnown   bool

	alreadyRan    *sentRequests
	attemptPrefix string
}

// New gives a router that rejects all requests until it has a snapshot and a ControlStatus.
func New(cfg Config) *Router {
	return &Router{
		cfg: cfg, scheduler: scheduler.New(cfg.Scheduler), services: map[string]int{}, replicaIDs: map[string]int{},
		requestIDs: map[string]int{}, requests: map[int]liveRequest{}, alreadyRan: newRequestMemory(cfg.SentRequestTTL, cfg.MaxSentRequests),
		attemptPrefix: cfg.Self + "." + cfg.BootID + ".", quotas: newQuotaGate(),
	}
}

// Version is the version of the snapshot in force, 0 before the first.
func (r *Router) Version() uint64 {
	if r.snapshot == nil {
		return 0
	}
	return r.snapshot.Version
}

// Counters are the scheduler's.
func (r *Router) Counters() scheduler.Counters { return r.scheduler.Counters }

// IndexStats gives the prefix index's counters and how long a prediction is trusted now.
func (r *Router) IndexStats() (prefixindex.Counters, time.Duration) {
	return r.scheduler.Index.Counters, r.scheduler.Index.TTL()
}

// Alerts tells whether too many predictions expired early or stale lately.
func (r *Router) Alerts() (early, stale bool) { return r.scheduler.Index.Alerts() }

// NotServing tells why nothing may be served now, or "".
func (r *Router) NotServing(now time.Duration) string { return r.scheduler.NotServingReason(now) }

// NotReady tells why requests should be sent elsewhere, or "".
func (r *Router) NotReady(now time.Duration) string {
	if why := r.scheduler.NotServingReason(now); why != "" {
		return why
	}
	return r.scheduler.NoCapacityReason(now)
}

// TrustedInstance names the instance that the replica is held to be, or "" while it is down or may have restarted.
func (r *Router) TrustedInstance(replica string) string {
	id, ok := r.replicaIDs[replica]
	if !ok || !r.scheduler.Replicas[id].Up || r.scheduler.Replicas[id].RestartSuspectedAt > 0 {
		return ""
	}
	return r.replicas[id].instance
}

// NextTick is when the router needs the time again without an event, if ever.
func (r *Router) NextTick(now time.Duration) (time.Duration, bool) { return r.scheduler.NextTick(now) }

// ActiveRequests counts requests that are not ended.
func (r *Router) ActiveRequests() int { return len(r.requestIDs) }

// UnsentRequests counts requests whose current attempt has not been sent; a node that stops waits for these.
func (r *Router) UnsentRequests() int { return r.scheduler.Unsent() }

// DisableIndex has the prefix index find nothing from now on, for comparisons.
func (r *Router) DisableIndex() { r.scheduler.Index.Disabled = true }

// EnableRoundRobin places requests in turn wherever there is room, for comparisons.
func (r *Router) EnableRoundRobin() { r.scheduler.EnableRoundRobin() }
