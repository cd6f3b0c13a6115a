package config

import "time"

// Replica is a replica of a model, as the document lists it.
type Replica struct {
	// Addr is an IP address and port. Role is "both", "prefill" or "decode": the phases of a request that the replica runs.
	Name, Addr, Zone, Role string
	// Capacity is the number of requests that the replica can run at once.
	Capacity int
}

// RequestClass is a class of requests to a service.
type RequestClass struct {
	Name string
	// Value and Urgency are factors of a request's priority.
	Value   float64
	Urgency float64
	// FirstTokenTarget is the target for the time from a request's arrival to its first token.
	FirstTokenTarget time.Duration
	// Idempotent is set if a request may run more than once, so that it can be retried after an attempt may have run.
	Idempotent bool
}

// Service is a model, its replicas and the settings that they share.
type Service struct {
	Name, Model string
	Replicas    []Replica
	Classes     []RequestClass
	// WarmupCapacity is the number of requests that a new replica may run at once at first. The limit grows to the replica's capacity
	// over SlowStart.
	WarmupCapacity int
	SlowStart      time.Duration
	// RetryRatio is the number of retries that each first attempt permits. RetryAllowance is the maximum number of unused retries over
	// the whole fleet.
	RetryRatio     float64
	RetryAllowance int
	// MaxPredictionTTL is how long a prediction that a replica has a prefix in its cache may be trusted.
	MaxPredictionTTL time.Duration
	// BaseLatency and LatencyPerToken estimate the time to the first token at an idle replica.
	BaseLatency     time.Duration
	LatencyPerToken time.Duration
	// PrefixCacheTokens is the size of a replica's prefix cache in tokens.
	PrefixCacheTokens int
	// CrossZoneCost is added to the cost of replicas in other zones. A cost of 1 corresponds to the first-token target.
	CrossZoneCost float64

	// Discovered is set if the replicas come from the platform's list and Replicas is empty.
	Discovered bool
	// Queues is set if replicas queue requests beyond their capacity and report their load. Their capacity is then not divided among
	// routers.
	Queues bool
	// HealthCheckPath is the path of the replicas' health check, as the document names it. It is not used: no health checks are sent.
	HealthCheckPath string
	// MaxConns is the maximum number of connections to a replica; 0 means no limit.
	MaxConns int
	// WarmupRate is the maximum number of requests per second that all routers together may send to a replica that is warming up; 0
	// means no limit. WarmupTime is how long a replica is warming up.
	WarmupRate float64
	WarmupTime time.Duration
	// MaxTokensPerEvent is the maximum number of tokens in an event of a streamed response; 0 if the replicas do not batch requests.
	MaxTokensPerEvent int
}

// WeightedService gives a service a share of a route's requests. Weights are relative to those of the route's other services.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route assigns the requests of a host and path prefix to services. The route with the longest matching prefix applies.
type Route struct {
	Name, Host, Prefix string
	TrafficSplit       []WeightedService
	// Streaming is set if responses are streams of events. Idempotent is set if a request may run more than once. Resumable is set if
	// another replica can continue a response after the ID of the last event.
	Streaming, Idempotent, Resumable bool
	// Timeout limits the duration of a request. FirstTokenTarget is the latency target for the response, or for its first event if it
	// is a stream. EventGapTarget is the target for the gap before each later event; 0 means none.
	Timeout, FirstTokenTarget, EventGapTarget time.Duration
	// MaxAttempts is the maximum number of replicas that a request is sent to.
	MaxAttempts int
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// Public is set if requests need no tenant's key.
	Public bool
}

const (
	// A client ends a stream that stays silent, before its first event too, for the longest of minSilenceTimeout,
	// silentTargets first-token targets and silentGaps event gap targets (docs/notes/platform.md, What clients wait for).
	minSilenceTimeout = 2 * time.Second
	silentTargets     = 4
	silentGaps        = 8
)

// SilenceTimeout returns how long a client waits for the next event of a stream, or 0 if responses are not streams.
func (r *Route) SilenceTimeout() time.Duration {
	if !r.Streaming {
		return 0
	}
	return max(minSilenceTimeout, silentTargets*r.FirstTokenTarget, silentGaps*r.EventGapTarget)
}

// Limits restrict the size of requests and how long clients may take. The daemon's own limit applies where a field is 0.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of a request's header and body.
	HeaderBytes, BodyBytes int
	// Header is the timeout for reading a request's header, Idle that for a kept connection without a request.
	Header, Idle time.Duration
}

// Config is a complete, validated configuration document. It is immutable.
type Config struct {
	Services []Service
	Routes   []Route
	// Tenants may send requests. If there are none, requests need no tenant's key.
	Tenants []Tenant
	Limits  Limits
	// ReplaceVoterAfter is how long a voter must be lost before another node replaces it; 0 means that voters are never replaced
	// automatically.
	ReplaceVoterAfter time.Duration
	// Revision is the operators' own number of the document; 0 if they do not number it.
	Revision uint64
}

// Reader reads and validates an operators' document. Read is the one for the product's own format. Violations in the document are
// reported as an *InvalidError.
type Reader func(raw []byte) (Config, error)

// Snapshot is the complete configuration at one version, as the voters agreed on it. It is immutable; the control node passes it to
// routers.
type Snapshot struct {
	Version uint64
	Config  Config
	// EvacuatedZones are the names of the zones that get no requests.
	EvacuatedZones []string
}

// Evacuated reports whether a zone is evacuated and gets no requests.
func (s *Snapshot) Evacuated(zone string) bool {
	for _, evacuated := range s.EvacuatedZones {
		if evacuated == zone {
			return true
		}
	}
	return false
}
