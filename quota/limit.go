package quota

import "time"

// Limit is what a tenant may use over all routers: Rate a second and Burst on top, in requests or tokens. A Rate of 0 is no limit.
type Limit struct{ Rate, Burst float64 }

// Rule says how strictly limits are kept: in any Window at most (Rate x Window + Burst) x (1 + Overage) + Slack may run.
type Rule struct {
	Window         time.Duration
	Overage, Slack float64
}

// DefaultRule holds where nothing else is set.
func DefaultRule() Rule { return Rule{Window: 8 * time.Second, Overage: 0.1} }

// GrantLifetime is how long after it was asked for a grant may be used.
const GrantLifetime = 500 * time.Millisecond

// Allowed is the most that may run in a window.
func (r Rule) Allowed(l Limit) float64 {
	return (l.Rate*r.Window.Seconds()+l.Burst)*(1+r.Overage) + r.Slack
}

// share is a zone's part of a limit: a token bucket. It grants a request that costs more than it holds, since a share may be less than a request,
// and pays back its debt. The capacities and debts of all shares, and what fills them within a window and the life of the last grants, are
// together what the rule allows.
type share struct{ rate, capacity, debt float64 }

func (r Rule) share(l Limit, zones int) share {
	n := float64(max(zones, 1))
	spare := max(r.Allowed(l)-l.Rate*(r.Window+GrantLifetime).Seconds()-l.Burst, 0) / 2
	return share{rate: l.Rate / n, capacity: max(l.Burst+spare, l.Rate*GrantLifetime.Seconds()) / n, debt: spare / n}
}
