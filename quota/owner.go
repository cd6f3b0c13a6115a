package quota

import (
	"math"
	"time"
)

// bucket is a token bucket. filledAt may be in the future; the bucket fills from then on.
type bucket struct {
	tokens   float64
	filledAt time.Duration
	// granted and refused are the total costs since the bucket was created.
	granted, refused float64
}

func (b *bucket) fill(now time.Duration, s share) {
	if now > b.filledAt {
		b.tokens += s.rate * (now - b.filledAt).Seconds()
		b.filledAt = now
	}
	b.tokens = min(b.tokens, s.capacity)
}

// take takes a cost out of the bucket and reports whether it did. It refuses the cost if the bucket is empty, or if it
// would owe more than the share's debt afterwards.
func (b *bucket) take(s share, cost float64) bool {
	if b.tokens <= 0 || b.tokens-cost < -s.debt {
		b.refused += cost
		return false
	}
	b.tokens -= cost
	b.granted += cost
	return true
}

// grantable returns the largest cost that take would grant.
func (b *bucket) grantable(s share) float64 {
	if b.tokens <= 0 {
		return 0
	}
	return b.tokens + s.debt
}

// Owner grants the costs of requests out of its zone's shares of the limits. It does not know what was granted before it
// started, or by another owner, so each bucket is empty when the owner takes it over.
type Owner struct {
	rule   Rule
	limits map[string]Limit
	zones  int
	// from is when the buckets of shares that the owner takes over start to fill.
	from    time.Duration
	buckets map[string]*bucket
}

// NewOwner returns an owner whose buckets are empty until the time from, and fill from then on.
func NewOwner(rule Rule, from time.Duration) *Owner {
	return &Owner{rule: rule, zones: 1, from: from, buckets: map[string]*bucket{}}
}

// SetLimits sets the limits of a configuration, by tenant. A tenant that had no limit before starts with an empty
// bucket.
func (o *Owner) SetLimits(now time.Duration, limits map[string]Limit) {
	previous := o.limits
	o.fillAll(now)
	o.limits = limits
	for tenant := range o.buckets {
		if _, known := limits[tenant]; !known {
			delete(o.buckets, tenant)
		}
	}
	for tenant := range limits {
		if _, known := previous[tenant]; !known && previous != nil {
			o.buckets[tenant] = &bucket{filledAt: max(now, o.from)}
		}
	}
}

// SetZones sets the number of zones that the limits are divided among.
func (o *Owner) SetZones(now time.Duration, zones int) {
	if zones != o.zones {
		o.fillAll(now)
		o.zones = zones
	}
}

// fillAll fills all buckets according to the shares in effect until now.
func (o *Owner) fillAll(now time.Duration) {
	for tenant, b := range o.buckets {
		b.fill(now, o.rule.share(o.limits[tenant], o.zones))
	}
}

// KeepOwned drops the buckets of shares that this owner no longer owns. Buckets that it takes over fill from the time
// from.
func (o *Owner) KeepOwned(from time.Duration, owns func(tenant string) bool) {
	o.from = from
	for tenant := range o.buckets {
		if !owns(tenant) {
			delete(o.buckets, tenant)
		}
	}
}

// Reset drops all buckets, as needed after a pause in which other nodes may have owned them. New buckets fill from the
// time from.
func (o *Owner) Reset(from time.Duration) {
	o.from = from
	o.buckets = map[string]*bucket{}
}

// Grant is an owner's answer. If Granted is set, the cost may be used. Remaining is the largest cost that the owner
// could grant next. After a refusal, the same request may be granted after RetryAfter, and no request of the tenant is
// granted before EmptyFor has passed.
type Grant struct {
	Granted              bool
	Remaining            float64
	RetryAfter, EmptyFor time.Duration
}

// TakeoverDelay is how long a new owner of a share grants nothing, until all nodes know that the previous owner lost it.
const TakeoverDelay = 2 * time.Second

// unknownTenantRetry is the time after which a router may ask again about a tenant whose limit this owner does not know.
// The two then have different configurations.
const unknownTenantRetry = 100 * time.Millisecond

// minRetryAfter and maxRetryAfter limit the RetryAfter of a refusal.
const (
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// validTokens reports whether a number received from another node is a valid number of tokens.
func validTokens(tokens float64) bool { return tokens >= 0 && tokens <= math.MaxFloat64 }

// Take asks for the cost of a request. An invalid cost, as from a damaged message, is refused.
func (o *Owner) Take(now time.Duration, tenant string, cost float64) Grant {
	if !validTokens(cost) {
		return Grant{RetryAfter: maxRetryAfter}
	}
	limit, known := o.limits[tenant]
	if !known {
		return Grant{RetryAfter: unknownTenantRetry, EmptyFor: unknownTenantRetry}
	}
	b := o.buckets[tenant]
	if b == nil {
		b = &bucket{filledAt: o.from}
		o.buckets[tenant] = b
	}
	s := o.rule.share(limit, o.zones)
	b.fill(now, s)
	if b.take(s, cost) {
		return Grant{Granted: true, Remaining: b.grantable(s)}
	}
	untilFilling := max(b.filledAt-now, 0)
	return Grant{Remaining: b.grantable(s), RetryAfter: min(max(untilFilling+s.fillTime(cost-s.debt-b.tokens), minRetryAfter), maxRetryAfter), EmptyFor: untilFilling + s.fillTime(-b.tokens)}
}

// fillTime returns how long the bucket takes to gain that many tokens, limited to maxRetryAfter.
func (s share) fillTime(tokens float64) time.Duration {
	seconds := math.Min(max(tokens, 0)/s.rate, maxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
