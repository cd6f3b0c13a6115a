package quota

import (
	"math"
	"time"
)

// bucket is a token bucket. It fills from a time that may lie ahead.
type bucket struct {
	tokens   float64
	filledAt time.Duration
	// granted and refused are costs since the bucket was made.
	granted, refused float64
}

func (b *bucket) fill(now time.Duration, s share) {
	if now > b.filledAt {
		b.tokens += s.rate * (now - b.filledAt).Seconds()
		b.filledAt = now
	}
	b.tokens = min(b.tokens, s.capacity)
}

// take takes a cost out of the bucket, which has to hold something, and may not owe more than its debt afterwards.
func (b *bucket) take(s share, cost float64) bool {
	if b.tokens <= 0 || b.tokens-cost < -s.debt {
		b.refused += cost
		return false
	}
	b.tokens -= cost
	b.granted += cost
	return true
}

// left is the largest cost that take would grant.
func (b *bucket) left(s share) float64 {
	if b.tokens <= 0 {
		return 0
	}
	return b.tokens + s.debt
}

// Owner grants the costs of requests out of its zone's shares of the limits. It knows nothing of what was granted before it began, or by another
// owner: so each bucket is empty when the owner gets to own it.
type Owner struct {
	rule    Rule
	limits  map[string]Limit
	zones   int
	from    time.Duration
	buckets map[string]*bucket
}

// NewOwner owns nothing that was there before the time from.
func NewOwner(rule Rule, from time.Duration) *Owner {
	return &Owner{rule: rule, zones: 1, from: from, buckets: map[string]*bucket{}}
}

// SetLimits follows the limits of a configuration, by tenant. A tenant that is new to them begins with an empty bucket.
func (o *Owner) SetLimits(now time.Duration, limits map[string]Limit) {
	former := o.limits
	o.settle(now)
	o.limits = limits
	for tenant := range o.buckets {
		if _, known := limits[tenant]; !known {
			delete(o.buckets, tenant)
		}
	}
	for tenant := range limits {
		if _, known := former[tenant]; !known && former != nil {
			o.buckets[tenant] = &bucket{filledAt: max(now, o.from)}
		}
	}
}

// SetZones follows the number of zones that the limits are divided among.
func (o *Owner) SetZones(now time.Duration, zones int) {
	if zones != o.zones {
		o.settle(now)
		o.zones = zones
	}
}

// settle fills all buckets by the shares that held until now.
func (o *Owner) settle(now time.Duration) {
	for tenant, b := range o.buckets {
		b.fill(now, o.rule.share(o.limits[tenant], o.zones))
	}
}

// KeepOwned drops the buckets that this owner no longer owns; those that it gets to own fill from the time given.
func (o *Owner) KeepOwned(from time.Duration, owns func(tenant string) bool) {
	o.from = from
	for tenant := range o.buckets {
		if !owns(tenant) {
			delete(o.buckets, tenant)
		}
	}
}

// Reset forgets all buckets, as after a pause in which others may have owned them.
func (o *Owner) Reset(from time.Duration) {
	o.from = from
	o.buckets = map[string]*bucket{}
}

// Grant is an owner's answer: OK where the cost is granted. Up to Left more can be granted at once. A refused
// request may be granted after RetryAfter, any other of its tenant after EmptyFor.
type Grant struct {
	Granted              bool
	Remaining            float64
	RetryAfter, EmptyFor time.Duration
}

// unknownRetry is what a router waits for that asks about a tenant this owner knows no limit of, by another configuration.
const unknownRetry = 100 * time.Millisecond

// leastRetry and longestRetry bound what a refused router is told to wait.
const (
	leastRetry   = 20 * time.Millisecond
	longestRetry = 2 * time.Second
)

// sensible tells whether a number that came from another node may be a number of tokens.
func sensible(tokens float64) bool { return tokens >= 0 && tokens <= math.MaxFloat64 }

// Take asks for the cost of a request. A cost that is none, as of a damaged message, is refused.
func (o *Owner) Take(now time.Duration, tenant string, cost float64) Grant {
	if !sensible(cost) {
		return Grant{RetryAfter: longestRetry}
	}
	limit, known := o.limits[tenant]
	if !known {
		return Grant{RetryAfter: unknownRetry, EmptyFor: unknownRetry}
	}
	b := o.buckets[tenant]
	if b == nil {
		b = &bucket{filledAt: o.from}
		o.buckets[tenant] = b
	}
	s := o.rule.share(limit, o.zones)
	b.fill(now, s)
	if b.take(s, cost) {
		return Grant{Granted: true, Remaining: b.left(s)}
	}
	held := max(b.filledAt-now, 0)
	return Grant{Remaining: b.left(s), RetryAfter: min(max(held+s.fillTime(cost-s.debt-b.tokens), leastRetry), longestRetry), EmptyFor: held + s.fillTime(-b.tokens)}
}

// fillTime is how long the bucket takes to get so many tokens, as far as anybody waits.
func (s share) fillTime(tokens float64) time.Duration {
	seconds := math.Min(max(tokens, 0)/s.rate, longestRetry.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
