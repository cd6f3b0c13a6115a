package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// QuotaRun is a request of a tenant that a replica ran.
type QuotaRun struct {
	AtMs   int64   `json:"atMs"`
	Tenant string  `json:"tenant"`
	Cost   float64 `json:"cost"`
}

// QuotaLimit is a tenant's limit, and the time within which a window may begin that it bounds.
type QuotaLimit struct {
	Tenant      string  `json:"tenant"`
	FromMs      int64   `json:"fromMs"`
	UntilMs     int64   `json:"untilMs"`
	Rate, Burst float64 `json:",omitempty"`
}

// QuotaRule bounds what may run in any window: (rate x window + burst) x (1 + overage) + slack.
type QuotaRule struct {
	Window         time.Duration
	Overage, Slack float64
}

func (r QuotaRule) allowed(l QuotaLimit) float64 {
	return (l.Rate*r.Window.Seconds()+l.Burst)*(1+r.Overage) + r.Slack
}

// QuotaWindow is the fullest window of a tenant, as a part of what was allowed.
type QuotaWindow struct {
	Tenant       string
	FromMs       int64
	Ran, Allowed float64
}

// Utilization is what ran, as a part of what was allowed.
func (w QuotaWindow) Utilization() float64 { return w.Ran / w.Allowed }

func (w QuotaWindow) breach() Breach {
	return Breach{Kind: OverQuota, Request: w.Tenant, Detail: fmt.Sprintf("%.0f ran in the window from %d, %.0f are allowed", w.Ran, w.FromMs, w.Allowed)}
}

// FullestWindows gives each limited tenant's fullest window, by name. Where a limit changes, the larger one is allowed.
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

// CheckQuotas gives a breach for each window that is too full.
func CheckQuotas(windows []QuotaWindow) []Breach {
	var breaches []Breach
	for _, w := range windows {
		if w.Ran > w.Allowed {
			breaches = append(breaches, w.breach())
		}
	}
	return breaches
}
