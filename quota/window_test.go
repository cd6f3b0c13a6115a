package quota_test

import (
	"time"

	"github.com/mallowbridge/mallowbridge/quota"
)

// charge is the cost of a granted request and the time at which its router could send it.
type charge struct {
	at   time.Duration
	cost float64
}

// maxWindowUsage returns the largest sum of charges within any window, as a fraction of what the rule allows.
func (f *fleet) maxWindowUsage(limit quota.Limit, from time.Duration) float64 {
	allowed := f.rule.Allowed(limit)
	var sum, most float64
	first := 0
	for _, c := range f.charges {
		if c.at < from {
			first++
			continue
		}
		sum += c.cost
		for f.charges[first].at <= c.at-f.rule.Window {
			sum -= f.charges[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most / allowed
}
