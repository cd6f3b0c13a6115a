package rehearsal

import (
	"io"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
)

// quotaRule is what the nodes are told, and what is judged.
var quotaRule = ledger.QuotaRule{Window: 8 * time.Second, Overage: 0.1, Slack: 15000}

// QuotaOptions are what a rehearsal of quotas is run with.
type QuotaOptions struct {
	// Dir takes the nodes' settings, disks and logs. Binary is the program that they run.
	Dir, Binary string
	// Seed draws the faults, their times, the changes, and what clients ask for.
	Seed uint64
	// Duration is how long clients ask.
	Duration                 time.Duration
	Nodes, Replicas, Clients int
	// NoFaults leaves out the faults of nodes and replicas, FixedConfiguration the changes of the configuration.
	NoFaults, FixedConfiguration bool
	// Ledger gets a line for each request that a replica ran.
	Ledger io.Writer
}

// QuotaReport counts what happened.
type QuotaReport struct {
	// Requests are requests that clients sent, Runs those that a replica began to run, OverQuota those answered 429, Unauthorized
	// those answered 401 since a change left their tenant out, Failed the others without a 200.
	Requests, Runs, OverQuota, Unauthorized, Failed int
	// FaultCounts are the faults of nodes and of replicas, Revisions the changes acknowledged.
	FaultCounts
	Revisions int
	// DataRaces are the reports of the race detector in the nodes' logs.
	DataRaces int
	// CompliantRejectRatio is the part of requests answered 429 of those that were sent a window or more after their tenant last asked for too much.
	CompliantRejectRatio float64
	Windows              []ledger.QuotaWindow
	Breaches             []ledger.Breach
}

// The tenants of a rehearsal. The limits of the first bear about twenty requests a second.
const (
	largeTenant, smallTenant, freeTenant = "large", "small", "free"
	largeRate, smallRate                 = 60000, 4000
	// usualPart of its limit is what a tenant asks for in usual times, and hotTimes as much in others.
	usualPart = 0.77
	hotTimes  = 10
	// freeRate is what the tenant without a limit asks for, in tokens a second.
	freeRate = 10000
)

func keyOf(tenant string) string { return "key-of-" + tenant }

// quotaTenants is the tenants' part of a document: the large one's limit is multiplied, the small one may be left out.
func quotaTenants(times float64, withSmall bool) []tenantDocument {
	all := []tenantDocument{
		{Name: largeTenant, Keys: []string{keyOf(largeTenant)}, Rate: times * largeRate, Burst: times * largeRate, Unit: "tokens", UncachedTokens: 200},
		{Name: freeTenant, Keys: []string{keyOf(freeTenant)}},
	}
	if withSmall {
		all = append(all, tenantDocument{Name: smallTenant, Keys: []string{keyOf(smallTenant)}, Rate: smallRate, Burst: smallRate, Unit: "tokens", UncachedTokens: 200})
	}
	return all
}
