package quota

import "time"

// Limit is what a tenant may use over all routers, in requests or in tokens: Rate per second, and Burst on top of that.
// A Rate of 0 means no limit.
type Limit struct{ Rate, Burst float64 }

// Rule is the tolerance for limits: within any Window, at most (Rate x Window + Burst) x (1 + Overage) + Slack may run.
// Overage is a fraction, and Slack has the unit of the limit.
type Rule struct {
	Window         time.Duration
	Overage, Slack float64
}

// DefaultRule returns the rule that applies unless another one is configured.
func DefaultRule() Rule { return Rule{Window: 8 * time.Second, Overage: 0.1} }

// GrantLifetime is how long a grant may be used, counted from when it was requested.
const GrantLifetime = 500 * time.Millisecond

// Allowed returns the maximum that may run within a window.
func (r Rule) Allowed(l Limit) float64 {
	return (l.Rate*r.Window.Seconds()+l.Burst)*(1+r.Overage) + r.Slack
}

// share is a zone's part of a limit: the parameters of a token bucket. The bucket may grant a request that costs more
// than it contains, because a share can be smaller than a request. It then owes up to debt, which must be refilled
// before the next grant. Within a window, a zone can use at most its capacity, its debt, and what is refilled during the
// window and the GrantLifetime before it, since grants can be used that long. The sum over all zones is what the rule
// allows.
type share struct{ rate, capacity, debt float64 }

func (r Rule) share(l Limit, zones int) share {
	n := float64(max(zones, 1))
	spare := max(r.Allowed(l)-l.Rate*(r.Window+GrantLifetime).Seconds()-l.Burst, 0) / 2
	return share{rate: l.Rate / n, capacity: max(l.Burst+spare, l.Rate*GrantLifetime.Seconds()) / n, debt: spare / n}
}
