package quota

import (
	"maps"
	"slices"
	"time"
)

// maxGatherRounds is the maximum number of times that the owners are asked for parts of one cost.
const maxGatherRounds = 2

// pendingGrantRequest is a GrantRequest without a response. request is the number of the openRequest that it belongs to.
type pendingGrantRequest struct {
	request uint64
	owner   string
	tenant  string
	cost    float64
	at      time.Duration
}

// until returns when a grant for it expires.
func (a pendingGrantRequest) until() time.Duration { return a.at + GrantLifetime }

// openRequest is a Request whose outcome is not known.
type openRequest struct {
	Request
	// owners holds the owners that have not been asked for the whole cost. remaining holds, for each owner that refused
	// it, how much that owner can grant at once.
	owners    []string
	remaining map[string]float64
	// current is the number of the newest grant request for the whole cost, 0 once no owner is left to ask. waiting counts the
	// grant requests without a response that may still be granted.
	current uint64
	waiting int
	// gathered holds the parts that owners granted of a cost that no single share can grant. gathering is true once the
	// owners were asked for parts.
	gathering bool
	gathered  grants
	// rounds counts how often the owners were asked for parts, up to maxGatherRounds.
	rounds int
	// unresponsive is set if an owner did not respond in time, or if no owner is known.
	unresponsive bool
	// retryAfter and emptyFor are the shortest times that any owner returned.
	retryAfter, emptyFor time.Duration
}

func (o *openRequest) recordRefusal(g Grant) {
	o.retryAfter = max(min(o.retryAfter, g.RetryAfter), minRetryAfter)
	o.emptyFor = min(o.emptyFor, g.EmptyFor)
}

// gather asks the owners for parts of the cost, in proportion to what they can grant. It returns false without asking if
// they cannot grant enough together.
func (r *Requester) gather(now time.Duration, id uint64, o *openRequest) bool {
	var sum float64
	for _, remaining := range o.remaining {
		sum += remaining
	}
	missing := o.Cost - o.gathered.sum()
	if o.rounds == maxGatherRounds || sum < missing {
		return false
	}
	o.gathering = true
	o.rounds++
	for _, owner := range slices.Sorted(maps.Keys(o.remaining)) {
		if part := missing * o.remaining[owner] / sum; part > 0 {
			r.sendGrantRequest(now, id, o, owner, part)
		}
	}
	clear(o.remaining)
	return true
}

// finishGathering ends a request whose parts are complete. Otherwise, once all owners have responded, it asks for what
// is missing.
func (r *Requester) finishGathering(now time.Duration, id uint64, o *openRequest) {
	until, ok := o.gathered.take(now, o.Cost)
	switch {
	case ok:
		r.usageOf(o.Tenant).gathered++
		r.keepGrants(o.Tenant, o.gathered...)
		r.end(id, o, Outcome{ID: o.ID, Granted: true, Until: until})
	case o.waiting == 0 && !r.gather(now, id, o):
		r.refuse(now, id, o)
	}
}
