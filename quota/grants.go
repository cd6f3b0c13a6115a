package quota

import (
	"slices"
	"time"
)

// grant is a number of tokens that may be used until a time.
type grant struct {
	tokens float64
	until  time.Duration
}

// grants holds unused granted tokens of one tenant, those that expire first at the front.
type grants []grant

// roundingTolerance is the fraction of a cost that may be missing when its parts are added up.
const roundingTolerance = 1e-9

// take uses up tokens for a cost if there are enough. It returns until when they may be used.
func (g *grants) take(now time.Duration, cost float64) (time.Duration, bool) {
	g.expire(now)
	var sum float64
	for i, each := range *g {
		sum += each.tokens
		if sum < cost*(1-roundingTolerance) {
			continue
		}
		until := (*g)[0].until
		(*g)[i].tokens = sum - cost
		*g = slices.Delete(*g, 0, i)
		if (*g)[0].tokens <= cost*roundingTolerance {
			*g = slices.Delete(*g, 0, 1)
		}
		return until, true
	}
	return 0, false
}

func (g *grants) sum() float64 {
	var sum float64
	for _, each := range *g {
		sum += each.tokens
	}
	return sum
}

func (g *grants) add(added grant) {
	at, _ := slices.BinarySearchFunc(*g, added, func(a, b grant) int { return int(a.until - b.until) })
	*g = slices.Insert(*g, at, added)
}

// expire drops grants that may no longer be used.
func (g *grants) expire(now time.Duration) {
	*g = slices.DeleteFunc(*g, func(each grant) bool { return now > each.until })
}

// keepGrants keeps unused grants for other requests of the tenant.
func (r *Requester) keepGrants(tenant string, all ...grant) {
	for _, each := range all {
		r.unusedOf(tenant).add(each)
	}
}

func (r *Requester) unusedOf(tenant string) *grants {
	if r.unusedGrants[tenant] == nil {
		r.unusedGrants[tenant] = &grants{}
	}
	return r.unusedGrants[tenant]
}
