package router

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

// Config is the configuration of a Router.
type Config struct {
	// Self is the router's name, which is unique in the fleet, and Zone the zone that it runs in. BootID is new at each start, so that attempt
	// IDs are never used again.
	Self      string
	BootID    string
	Zone      string
	Scheduler scheduler.Config
	// SentRequestTTL is how long a request that was sent is remembered, MaxSentRequests how many are at most.
	SentRequestTTL  time.Duration
	MaxSentRequests int
}

// Defaults returns the configuration that production nodes use.
func Defaults(self, boot, zone string) Config {
	return Config{
		Self: self, BootID: boot, Zone: zone, Scheduler: scheduler.Defaults(self, zone), SentRequestTTL: 10 * time.Minute, MaxSentRequests: 100000,
	}
}

// replicaEntry contains the router's own data on a replica. The scheduler's row has the same index.
type replicaEntry struct {
	name, addr, instance string
	// operatorState is the state that operators set.
	operatorState ListingState

	// discovered is set if the replica came from the platform's list, whose last entry for it was listedAs. removedSince is when it was first
	// missing from the list, 0 if it is listed.
	discovered   bool
	listedAs     Instance
	removedSince time.Duration
}

// liveRequest is a request that the scheduler has not ended. route is nil if it is of the product's own interface.
type liveRequest struct {
	request string
	route   *config.Route
	// tenant is nil if the request has no tenant's key.
	tenant *config.Tenant
	// cost is what each attempt costs of the tenant's quota, grant the last grant for an attempt.
	cost  float64
	grant quotaGrant
}

// classKey identifies a request class of a service: a class of the configuration document, or a route at one priority.
type classKey struct {
	name     string
	route    bool
	priority int
}

// Router is the routing state machine of one node or embedding program. It converts events to calls of the scheduler, and the scheduler's
// actions, which use indexes, to decisions, which use names. It does no I/O and is not safe for concurrent use; a Loop owns it. All times are
// on the caller's clock and count from its start.
type Router struct {
	cfg       Config
	scheduler *scheduler.Scheduler
	snapshot  *config.Snapshot

	// services and replicaIDs contain the scheduler's indexes by name. classes contains, by the index of a service, the indexes of its classes.
	services   map[string]int
	classes    []map[classKey]int
	replicaIDs map[string]int
	replicas   []replicaEntry
	// requestIDs contains the scheduler's IDs of live requests by the client's; requests is keyed by the scheduler's.
	requestIDs map[string]int
	requests   map[int]liveRequest
	// routesByHost contains the routes of each host, with the longest path prefix first.
	routesByHost map[string][]*config.Route
	tenantsByKey map[config.KeyHash]*config.Tenant
	quotas       quotaGate

	// replicaList is the platform's latest list, which was read at listReadAt.
	replicaList ReplicaList
	listReadAt  time.Duration
	listKnown   bool

	alreadyRan *sentRequests
	// attemptPrefix is the prefix of all attempt IDs of this router.
	attemptPrefix string
}

// New returns a router that rejects all requests until it has received a snapshot and a ControlStatus.
func New(cfg Config) *Router {
	return &Router{
		cfg: cfg, scheduler: scheduler.New(cfg.Scheduler), services: map[string]int{}, replicaIDs: map[string]int{},
		requestIDs: map[string]int{}, requests: map[int]liveRequest{}, alreadyRan: newSentRequests(cfg.SentRequestTTL, cfg.MaxSentRequests),
		attemptPrefix: cfg.Self + "." + cfg.BootID + ".", quotas: newQuotaGate(),
	}
}

// Version returns the version of the snapshot in force, or 0 before the first one.
func (r *Router) Version() uint64 {
	if r.snapshot == nil {
		return 0
	}
	return r.snapshot.Version
}

// Counters returns the scheduler's counters.
func (r *Router) Counters() scheduler.Counters { return r.scheduler.Counters }

// IndexStats returns the prefix index's counters and how long a prediction is currently trusted.
func (r *Router) IndexStats() (prefixindex.Counters, time.Duration) {
	return r.scheduler.Index.Counters, r.scheduler.Index.TTL()
}

// Alerts reports whether, recently, too many predictions of the prefix index were confirmed only after they had expired (early), or were never
// confirmed (stale).
func (r *Router) Alerts() (early, stale bool) { return r.scheduler.Index.Alerts() }

// NotServing returns the reason why no requests may be served now, or "" if they may.
func (r *Router) NotServing(now time.Duration) string { return r.scheduler.NotServingReason(now) }

// NotReady returns the reason why requests should be sent to another node, or "" if there is none.
func (r *Router) NotReady(now time.Duration) string {
	if why := r.scheduler.NotServingReason(now); why != "" {
		return why
	}
	return r.scheduler.NoCapacityReason(now)
}

// TrustedInstance returns the instance that is known to run at the replica, or "" while the replica is down, unknown or may have restarted.
func (r *Router) TrustedInstance(replica string) string {
	id, ok := r.replicaIDs[replica]
	if !ok || !r.scheduler.Replicas[id].Up || r.scheduler.Replicas[id].RestartSuspectedAt > 0 {
		return ""
	}
	return r.replicas[id].instance
}

// NextTick returns when the router must be stepped next if no event arrives before, and whether there is such a time.
func (r *Router) NextTick(now time.Duration) (time.Duration, bool) { return r.scheduler.NextTick(now) }

// ActiveRequests returns the number of requests that have not ended.
func (r *Router) ActiveRequests() int { return len(r.requestIDs) }

// UnsentRequests returns the number of requests whose current attempt has not been sent. A node that stops waits for these.
func (r *Router) UnsentRequests() int { return r.scheduler.Unsent() }

// StopQueueing makes the router reject requests that cannot be placed at once. A node that shuts down calls it.
func (r *Router) StopQueueing() { r.scheduler.StopQueueing() }

// SetCrossZoneWait sets how much longer a routed request may wait for its first token to be placed in the router's own zone, and what each
// token of its prompt adds to that.
func (r *Router) SetCrossZoneWait(wait, perToken time.Duration) {
	r.scheduler.SetCrossZoneWait(wait, perToken)
}

// DisableIndex makes the prefix index find nothing from now on, for comparisons with and without it.
func (r *Router) DisableIndex() { r.scheduler.Index.Disabled = true }

// EnableRoundRobin makes the scheduler place requests on replicas with free capacity in turn, for comparisons with its normal
// placement.
func (r *Router) EnableRoundRobin() { r.scheduler.EnableRoundRobin() }
