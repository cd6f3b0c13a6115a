package quota

import (
	"maps"
	"slices"
	"time"
)

// gatherRounds is how often the owners are asked for parts of one cost.
const gatherRounds = 2

// openAsk is an Ask that has no answer yet; request numbers the openRequest that it is for.
type openAsk struct {
	request uint64
	owner   string
	tenant  string
	cost    float64
	at      time.Duration
}

// until is when what is granted on the ask lapses.
func (a openAsk) until() time.Duration { return a.at + GrantLifetime }

// openRequest is a Request under way.
type openRequest struct {
	Request
	// owners are those that are still to be asked for the whole cost, left is what those that refused it can grant at once.
	owners []string
	left   map[string]float64
	// current numbers the newest ask for the whole cost, waiting counts those without an answer that may still be granted.
	current uint64
	waiting int
	// gathered is what owners granted of a cost that no single share can grant; gathering tells that they were asked for parts.
	gathering bool
	gathered  grants
	rounds    int
	silent    bool
	// retryAfter and emptyFor are the shortest that an owner told.
	retryAfter, emptyFor time.Duration
}

func (o *openRequest) noteRefusal(g Grant) {
	o.retryAfter = max(min(o.retryAfter, g.RetryAfter), leastRetry)
	o.emptyFor = min(o.emptyFor, g.EmptyFor)
}

// gather asks the owners for parts of the cost in proportion to what they can grant, unless that is too little.
func (r *Requester) gather(now time.Duration, id uint64, o *openRequest) bool {
	var sum float64
	for _, left := range o.left {
		sum += left
	}
	missing := o.Cost - o.gathered.sum()
	if o.rounds == gatherRounds || sum < missing {
		return false
	}
	o.gathering = true
	o.rounds++
	for _, owner := range slices.Sorted(maps.Keys(o.left)) {
		if part := missing * o.left[owner] / sum; part > 0 {
			r.ask(now, id, o, owner, part)
		}
	}
	clear(o.left)
	return true
}

// gatheredPart ends a request whose parts are together, or asks for what is missing once all owners have answered.
func (r *Requester) gatheredPart(now time.Duration, id uint64, o *openRequest) {
	until, enough := o.gathered.take(now, o.Cost)
	switch {
	case enough:
		r.usageOf(o.Tenant).gathered++
		r.keep(o.Tenant, o.gathered...)
		r.end(id, o, Outcome{ID: o.ID, Granted: true, Until: until})
	case o.waiting == 0 && !r.gather(now, id, o):
		r.refuse(now, id, o)
	}
}
