package sim

import "time"

// Bounds are the times and counts in the rules of a platform.
type Bounds struct {
	// Settle is how long a machine must have been undisturbed before its data must be current.
	Settle time.Duration
	// Ack is how long the acknowledgement of an order may take while the core is undisturbed.
	Ack time.Duration
	// Apply is how long after its acknowledgement a configuration must be applied.
	Apply time.Duration
	// UnsettledExtra is added to Apply and other bounds while the core is not settled.
	UnsettledExtra time.Duration
	// Drain is how long requests may still be sent to a draining replica.
	Drain time.Duration
	// CatchUp is how long after its return a machine still counts as lost.
	CatchUp time.Duration
	// Recovery is how long after a closing fault requests must be served again.
	Recovery time.Duration
	// RetryExtra is how many retries a service may get within a retry window in addition to retryRatio of its requests.
	RetryExtra int
}

func smallBounds() Bounds {
	return Bounds{
		Settle: 3 * time.Second, Ack: 4 * time.Second, Apply: 2 * time.Second, UnsettledExtra: 5 * time.Second, Drain: 3 * time.Second,
		CatchUp: 4 * time.Second, Recovery: 12 * time.Second, RetryExtra: 62,
	}
}

func grownBounds(retryExtra int) Bounds {
	return Bounds{
		Settle: 4 * time.Second, Ack: 5 * time.Second, Apply: 2500 * time.Millisecond, UnsettledExtra: 6 * time.Second, Drain: 4 * time.Second,
		CatchUp: 6 * time.Second, Recovery: 15 * time.Second, RetryExtra: retryExtra,
	}
}

// AllMachines is the share of a large site's machines and replicas that SiteByName returns. FewMachines is the share in most simulated runs: all
// machines with a disk remain, and only the numbers of other machines, replicas and requests are smaller.
const (
	AllMachines = 1.0
	FewMachines = 0.25
	// trafficScale sets the request rates of a large site relative to those of a small one; it is low because these sites test the control plane.
	trafficScale = 1.5
)

func scaledCount(n int, ratio float64, least int) int { return max(int(float64(n)*ratio), least) }

// GrownTramitesSite returns the large site with two disks in each of three zones, and with a share of its machines and replicas.
func GrownTramitesSite(ratio float64) SiteSpec {
	const nodes, zones, disks, replicas = 88, 3, 6, 89
	s := SiteSpec{
		Shape: siteNodes("grown-tramites site", scaledCount(nodes, ratio, 2*disks), zones, disks), CrossZoneDelay: 500 * time.Microsecond, IdleRoutes: 40,
		Bounds: grownBounds(216), FaultTolerance: 2, ListRate: 310,
		Services: []ServiceSpec{llmService("permisos", scaledCount(replicas, ratio, zones), 437458), plainService("borrador", 4)},
	}
	s.Services[0].Slots, s.Services[0].QueueLimit, s.Services[0].WarmupRate = 24, 72, 18
	s.Classes = siteTraffic{
		llm: "permisos", plain: "borrador", classes: [3]string{"dossier", "zoning", "checklist"}, scale: ratio * trafficScale,
		target: 300 * time.Millisecond, work: 60 * time.Millisecond, deadline: 1500 * time.Millisecond,
	}.trafficClasses()
	return s
}

// GrownAtlasSite returns the large site with one disk in each of five zones, and with a share of its machines and replicas.
func GrownAtlasSite(ratio float64) SiteSpec {
	const nodes, zones, disks, replicas = 72, 5, 5, 60
	s := SiteSpec{
		Shape: siteNodes("grown-atlas site", scaledCount(nodes, ratio, 2*disks), zones, disks), CrossZoneDelay: 1400 * time.Microsecond, IdleRoutes: 40,
		Bounds: grownBounds(184), FaultTolerance: 2, ListRate: 260,
		Services: []ServiceSpec{llmService("logbook", scaledCount(replicas, ratio, zones), 827815), plainService("onair", 5)},
	}
	s.Classes = siteTraffic{
		llm: "logbook", plain: "onair", classes: [3]string{"reconcile", "award", "lookup"}, scale: ratio * trafficScale,
		target: 150 * time.Millisecond, work: 30 * time.Millisecond, deadline: 1500 * time.Millisecond,
	}.trafficClasses()
	s.Classes[1].MaxAttempts = 2
	return s
}

// AllSites returns the four sites of the users' platform, the large ones with that share of their machines.
func AllSites(ratio float64) []SiteSpec {
	return []SiteSpec{TramitesSite(), AtlasSite(), GrownTramitesSite(ratio), GrownAtlasSite(ratio)}
}
