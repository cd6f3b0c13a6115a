package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// QuotaRun is a request of a tenant that a replica started at AtMs, in milliseconds since 1970.
type QuotaRun struct {
	AtMs   int64  `json:"atMs"`
	Tenant string `json:"tenant"`
	// Cost is the number of prompt tokens plus the maximum number of response tokens.
	Cost float64 `json:"cost"`
}

// QuotaLimit is a limit of a tenant: Rate in cost per second, Burst in cost. It applies to windows that start before UntilMs and whose last
// run is not before FromMs, in milliseconds since 1970.
type QuotaLimit struct {
	Tenant      string  `json:"tenant"`
	FromMs      int64   `json:"fromMs"`
	UntilMs     int64   `json:"untilMs"`
	Rate, Burst float64 `json:",omitempty"`
}

// QuotaRule bounds the cost of the requests that may run in any window: (rate x window + burst) x (1 + overage) + slack. Overage is a
// fraction, Slack a cost.
type QuotaRule struct {
	Window         time.Duration
	Overage, Slack float64
}

func (r QuotaRule) allowed(l QuotaLimit) float64 {
	return (l.Rate*r.Window.Seconds()+l.Burst)*(1+r.Overage) + r.Slack
}

// QuotaWindow is a window in which requests of a tenant ran.
type QuotaWindow struct {
	Tenant string
	// FromMs is the start of the window, in milliseconds since 1970.
	FromMs int64
	// Ran is the cost of the requests that ran, Allowed the highest cost that the tenant's limits allow.
	Ran, Allowed float64
}

// Utilization is the cost that ran as a fraction of what is allowed; a value above 1 is a breach.
func (w QuotaWindow) Utilization() float64 { return w.Ran / w.Allowed }

func (w QuotaWindow) breach() Breach {
	return Breach{Kind: OverQuota, Request: w.Tenant, Detail: fmt.Sprintf("cost %.0f ran in the window from %d ms, %.0f is allowed", w.Ran, w.FromMs, w.Allowed)}
}

// FullestWindows returns for each tenant with a limit the window of highest utilization, ordered by tenant. Where several limits apply to a
// window, as when a limit changes, the largest one counts.
func FullestWindows(runs []QuotaRun, limits []QuotaLimit, rule QuotaRule) []QuotaWindow {
	byTenant := map[string][]QuotaRun{}
	for _, r := range runs {
		byTenant[r.Tenant] = append(byTenant[r.Tenant], r)
	}
	var all []QuotaWindow
	for _, tenant := range slices.Sorted(maps.Keys(byTenant)) {
		if w, limited := rule.fullest(byTenant[tenant], limits); limited {
			all = append(all, w)
		}
	}
	return all
}

// fullest returns the window of highest utilization among the runs of one tenant, and whether any limit applied.
func (r QuotaRule) fullest(runs []QuotaRun, limits []QuotaLimit) (QuotaWindow, bool) {
	slices.SortFunc(runs, func(a, b QuotaRun) int { return cmp.Compare(a.AtMs, b.AtMs) })
	var fullest QuotaWindow
	var sum float64
	first := 0
	for _, run := range runs {
		sum += run.Cost
		for ; runs[first].AtMs <= run.AtMs-r.Window.Milliseconds(); first++ {
			sum -= runs[first].Cost
		}
		w := QuotaWindow{Tenant: run.Tenant, FromMs: runs[first].AtMs, Ran: sum}
		for _, l := range limits {
			if l.Tenant == run.Tenant && l.FromMs <= run.AtMs && w.FromMs < l.UntilMs {
				w.Allowed = max(w.Allowed, r.allowed(l))
			}
		}
		if w.Allowed > 0 && (fullest.Allowed == 0 || w.Utilization() > fullest.Utilization()) {
			fullest = w
		}
	}
	return fullest, fullest.Allowed > 0
}

// CheckQuotas returns a breach for each window in which more ran than is allowed.
func CheckQuotas(windows []QuotaWindow) []Breach {
	var breaches []Breach
	for _, w := range windows {
		if w.Ran > w.Allowed {
			breaches = append(breaches, w.breach())
		}
	}
	return breaches
}
