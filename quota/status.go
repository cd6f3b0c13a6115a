package quota

import (
	"maps"
	"slices"
	"time"
)

// usage counts the requests of a tenant at this node. granted, refused and unanswered are their outcomes. reused counts
// requests granted out of unused earlier grants, gathered those granted in parts. late counts grants that arrived after
// their request had ended, lapsed grant requests without a response within GrantLifetime.
type usage struct{ granted, refused, unanswered, reused, gathered, late, lapsed uint64 }

func (u *usage) count(o Outcome) {
	switch {
	case o.Granted:
		u.granted++
	case o.Unanswered:
		u.unanswered++
	default:
		u.refused++
	}
}

func (r *Requester) usageOf(tenant string) *usage {
	if r.usage[tenant] == nil {
		r.usage[tenant] = &usage{}
	}
	return r.usage[tenant]
}

// TenantStatus is a node's view of a tenant's limit. Granted, Refused and Unanswered count the attempts for which it
// needed a grant. Reused counts those granted out of unused earlier grants, Gathered those granted in parts by several
// zones. LateGrants counts grants that arrived after their request had ended, LapsedAsks grant requests without a
// response while a grant was usable. If Owned is set, the node owns its zone's share: Tokens is the current content of
// the bucket, TokensGranted and TokensRefused are the costs granted and refused since it took over the share.
type TenantStatus struct {
	Tenant        string  `json:"tenant"`
	Rate          float64 `json:"ratePerS"`
	Burst         float64 `json:"burst"`
	Granted       uint64  `json:"granted"`
	Refused       uint64  `json:"refused"`
	Unanswered    uint64  `json:"unanswered"`
	Reused        uint64  `json:"reused"`
	Gathered      uint64  `json:"gathered"`
	LateGrants    uint64  `json:"lateGrants"`
	LapsedAsks    uint64  `json:"lapsedAsks"`
	Owned         bool    `json:"owned"`
	Tokens        float64 `json:"tokens"`
	TokensGranted float64 `json:"tokensGranted"`
	TokensRefused float64 `json:"tokensRefused"`
}

// Status returns a row for each tenant with a limit, sorted by name.
func Status(now time.Duration, o *Owner, r *Requester) []TenantStatus {
	rows := make([]TenantStatus, 0, len(o.limits))
	for _, tenant := range slices.Sorted(maps.Keys(o.limits)) {
		limit := o.limits[tenant]
		row := TenantStatus{Tenant: tenant, Rate: limit.Rate, Burst: limit.Burst}
		if u := r.usage[tenant]; u != nil {
			row.Granted, row.Refused, row.Unanswered = u.granted, u.refused, u.unanswered
			row.Reused, row.Gathered, row.LateGrants, row.LapsedAsks = u.reused, u.gathered, u.late, u.lapsed
		}
		if b := o.buckets[tenant]; b != nil {
			b.fill(now, o.rule.share(limit, o.zones))
			row.Owned, row.Tokens, row.TokensGranted, row.TokensRefused = true, b.tokens, b.granted, b.refused
		}
		rows = append(rows, row)
	}
	return rows
}
