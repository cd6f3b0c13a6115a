package scheduler

import "time"

// RequestClass is a class of requests to a service. A route is represented by one class in each service that it may use.
type RequestClass struct {
	// Value and Urgency together say which requests go first: those with the higher product.
	Value, Urgency float64
	// FirstTokenTarget is the latency target for the first token, counted from the arrival.
	FirstTokenTarget time.Duration
	Idempotent       bool
	// Removed: the configuration no longer contains the class. Its row may be reused once no request refers to it.
	Removed bool

	// MaxAttempts is the maximum number of sends of one request. It is 0 for classes that are not routes. The request
	// ids of routed requests never recur, so these need no witnesses.
	MaxAttempts int
	// Timeout limits the total time of a routed request. SilenceTimeout is how long clients wait for the next event of a
	// stream; 0 means until the request's deadline.
	Timeout, SilenceTimeout time.Duration
	Resumable               bool
}

func (c *RequestClass) routed() bool { return c.MaxAttempts > 0 }

// Service is a model service and the properties that its replicas have in common.
type Service struct {
	Name    string
	Classes []RequestClass
	// Replicas holds the indices of the service's listed replicas.
	Replicas []int
	// WarmupCapacity is how many requests a replica may have from all routers together when its slow start begins. The
	// limit grows to the replica's capacity over SlowStart.
	WarmupCapacity int
	SlowStart      time.Duration
	// BaseLatency and LatencyPerToken estimate the time to the first token of an idle replica.
	BaseLatency, LatencyPerToken time.Duration
	// CrossZoneCost is added to the cost of replicas in other zones. A cost of 1 corresponds to the first-token target.
	CrossZoneCost float64
	// RetryRatio is the number of retries that each first attempt permits. RetryAllowance is the maximum number of
	// unused retries over all routers.
	RetryRatio     float64
	RetryAllowance int
	// SplitRoles: some replicas only prefill prompts, for other replicas that decode.
	SplitRoles bool

	// Queues: replicas queue requests beyond their capacity and report their load, so their capacity is not divided
	// among routers.
	Queues bool
	// MaxConns is the maximum number of connections to a replica; 0 means no limit.
	MaxConns int
	// Batches: replicas prefill prompts in chunks between the decoding steps of other requests.
	Batches bool
	// nanosPerToken is the measured time in which replicas prefill a token, in nanoseconds.
	nanosPerToken float64
	// WarmupRate is the maximum number of requests per second that all routers together may start at a warming replica;
	// 0 means no limit.
	WarmupRate float64

	retryBudget retryBudget
	arrivals    arrivalRate
	// holdTime is the moving mean of the time for which a request occupies a slot.
	holdTime time.Duration
	// FirstAttempts and Retries count sends by this router, RetriesRefused the retries that the budget did not permit.
	FirstAttempts, Retries, RetriesRefused uint64
}

// SetBatching sets whether the service's replicas batch. The measured prefill speed is kept.
func (svc *Service) SetBatching(batches bool) {
	svc.Batches = batches
	if svc.nanosPerToken == 0 {
		svc.nanosPerToken = float64(svc.LatencyPerToken)
	}
}
