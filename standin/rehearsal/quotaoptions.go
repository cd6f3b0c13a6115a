package rehearsal

import (
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
)

// quotaRule contains the quota parameters that the nodes are configured with and that runs are checked against.
var quotaRule = ledger.QuotaRule{Window: 8 * time.Second, Overage: 0.1, Slack: 15000}

// QuotaOptions configures a rehearsal of quotas.
type QuotaOptions struct {
	Options
	// NoFaults disables the faults of nodes and replicas, FixedConfiguration the changes of the configuration.
	NoFaults, FixedConfiguration bool
}

// QuotaReport contains the counts and the breaches of a rehearsal of quotas.
type QuotaReport struct {
	// Requests counts the requests that clients sent, Runs those that a replica started to run, OverQuota those rejected with status 429, Unauthorized
	// those rejected with status 401 because a change had removed their tenant, Failed all others without a status 200.
	Requests, Runs, OverQuota, Unauthorized, Failed int
	// FaultCounts counts the faults of nodes and replicas, Revisions the acknowledged changes of the configuration.
	FaultCounts
	Revisions int
	// DataRaces counts the race detector's reports in the nodes' logs.
	DataRaces int
	// CompliantRejectRatio is the fraction rejected with status 429 of the requests that were sent at least a quota window after their tenant last
	// exceeded its limit.
	CompliantRejectRatio float64
	// Windows contains the fullest quota window of each tenant.
	Windows  []ledger.QuotaWindow
	Breaches []ledger.Breach
}

// The tenants of a rehearsal and the limits of two of them in tokens per second. The limit of the large tenant allows about twenty requests per
// second.
const (
	largeTenant, smallTenant, unlimitedTenant = "large", "small", "free"
	largeRate, smallRate                      = 60000, 4000
	// normalDemandRatio is the normal demand of a tenant as a fraction of its limit. Under overload, the demand is overloadFactor times as high.
	normalDemandRatio = 0.77
	overloadFactor    = 10
	// unlimitedTenantRate is the demand of the tenant without a limit, in tokens per second.
	unlimitedTenantRate = 10000
)

// apiKeyOf returns the API key of a tenant.
func apiKeyOf(tenant string) string { return "key-of-" + tenant }

// quotaTenants returns the tenants of a document. factor multiplies the limit of the large tenant; withSmall includes the small tenant.
func quotaTenants(factor float64, withSmall bool) []tenantDocument {
	all := []tenantDocument{
		{Name: largeTenant, Keys: []string{apiKeyOf(largeTenant)}, Rate: factor * largeRate, Burst: factor * largeRate, Unit: "tokens", UncachedTokens: 200},
		{Name: unlimitedTenant, Keys: []string{apiKeyOf(unlimitedTenant)}},
	}
	if withSmall {
		all = append(all, tenantDocument{Name: smallTenant, Keys: []string{apiKeyOf(smallTenant)}, Rate: smallRate, Burst: smallRate, Unit: "tokens", UncachedTokens: 200})
	}
	return all
}
