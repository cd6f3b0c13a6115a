package scheduler

import "time"

// RequestClass is a class of requests to a service. A route is a class of each service that it may go to.
type RequestClass struct {
	// Value and Urgency multiply a request's priority.
	Value, Urgency float64
	// FirstTokenTarget is the aim for the first token, from the arrival.
	FirstTokenTarget time.Duration
	Idempotent       bool
	// Removed: the class is no longer in the configuration; its row may go to another once no request refers to it.
	Removed bool

	// MaxAttempts is the most sends of one request; above 0 for routes, whose request ids never return.
	MaxAttempts int
	// Timeout bounds a routed request as a whole.
	Timeout   time.Duration
	Resumable bool
}

func (c *RequestClass) routed() bool { return c.MaxAttempts > 0 }

// Service is a model service and what its replicas have in common.
type Service struct {
	Name    string
	Classes []RequestClass
	// Replicas are the indices of its listed replicas.
	Replicas []int
	// WarmupCapacity is how many requests a replica that warms up bears from all routers together; it grows to the replica's capacity over
	// SlowStart.
	WarmupCapacity int
	SlowStart      time.Duration
	// BaseLatency and LatencyPerToken estimate the time to the first token of an idle replica.
	BaseLatency, LatencyPerToken time.Duration
	// CrossZoneCost is added for replicas of other zones, in units of the bound on the first token.
	CrossZoneCost float64
	// RetryRatio is the most retries a first attempt, RetryAllowance the most in hand over all routers.
	RetryRatio     float64
	RetryAllowance int
	// SplitRoles: some replicas only read prompts, for others that answer.
	SplitRoles bool

	// Queues: replicas queue beyond their room and tell their load, so room is not divided.
	Queues bool
	// MaxConns is the most connections that a replica bears; 0: no bound.
	MaxConns int
	// Batches: replicas read prompts in pieces between the tokens of others.
	Batches bool
	// pace is how many nanoseconds they are seen to read a token in.
	pace float64
	// WarmupRate is how many starts a second a replica that warms up bears from all routers together; 0: no bound.
	WarmupRate float64

	retryBudget retryBudget
	arrivals    arrivalRate
	// holdTime is how long a request occupies a slot, a moving mean.
	holdTime                               time.Duration
	FirstAttempts, Retries, RetriesRefused uint64
}

// SetBatching says whether the service's replicas batch; what was learned of their pace stays.
func (svc *Service) SetBatching(yes bool) {
	svc.Batches = yes
	if svc.pace == 0 {
		svc.pace = float64(svc.LatencyPerToken)
	}
}
