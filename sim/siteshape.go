package sim

import (
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/sim/engine"
	"github.com/mallowbridge/mallowbridge/sim/shape"
)

// ServiceSpec is a service whose replicas the platform lists.
type ServiceSpec struct {
	Name string
	engine.Spec
	Replicas int
	// MaxConns is how many connections a replica accepts from all nodes together.
	MaxConns int
	// WarmupTime is how long a replica warms up after its start; in that time it may get WarmupRate requests per second.
	WarmupTime time.Duration
	WarmupRate float64
	// Slowdowns are factors for all times of a replica, assigned to the replicas in turn.
	Slowdowns []float64
}

// TrafficClass is a request class with its own route.
type TrafficClass struct {
	Name, Service string
	// Rate is in requests per second.
	Rate                  float64
	Streaming, Repeatable bool
	Resumable             bool
	Priority, MaxAttempts int
	// LatencyTarget is for the time to the first event, TargetGap for the time between events.
	LatencyTarget, TargetGap, Deadline time.Duration
	// WorkTime is the mean time that a request takes at a replica that generates no tokens.
	WorkTime time.Duration
	// Prompts begin with one of SystemPrompts blocks of SystemTokens tokens, followed by one of SharedPrefixes blocks of SharedTokens tokens.
	SystemPrompts, SystemTokens  int
	SharedPrefixes, SharedTokens int
	// UniqueTokens is the mean length of the rest of the prompt, Events the mean number of events of a response.
	UniqueTokens, Events int
}

// SiteSpec describes a platform: its machines, services, traffic and bounds.
type SiteSpec struct {
	Shape    shape.Shape
	Services []ServiceSpec
	Classes  []TrafficClass
	// CrossZoneDelay is the one-way delay between zones.
	CrossZoneDelay time.Duration
	// IdleRoutes is the number of routes without traffic, which only configuration probes use.
	IdleRoutes int
	// Bounds are those of the rules that nodes must keep.
	Bounds Bounds
	// FaultTolerance is how many core machines may be lost at the same time.
	FaultTolerance int
	// ListRate is how many calls per second the platform's list accepts.
	ListRate int
}

// Times and limits that are the same on all sites.
const (
	// seedLag is how long after the replacement of a machine nodes receive the new seeds.
	seedLag = 3 * time.Second
	// addressReuseAfter is how long an address stays unused after its instance ended.
	addressReuseAfter = 2 * time.Second
	// shutdownGrace is the grace period of a process after the order to stop.
	shutdownGrace = 8 * time.Second
	// A response lost in the second half of the grace period is excused if the client sent the request at most excusedFor after SIGTERM.
	excusedFor = 3 * time.Second
	// oldVersionSlack is how long after a node first applied a version requests that clients send to it may still be handled with an older
	// one; eight times that if the node is disturbed.
	oldVersionSlack = 250 * time.Millisecond
	// A service may get retryRatio retries per request within a retryWindow, plus Bounds.RetryExtra.
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	// A replica in warm-up may get warmupTolerance times its rate plus warmupSlack requests in a second.
	warmupTolerance = 1.5
	warmupSlack     = 5
	// evacuateWithin is how long after its acknowledgement an evacuation must be applied.
	evacuateWithin = 5 * time.Second
	// forwardWithin is how long an event may take from the replica to the client.
	forwardWithin = 120 * time.Millisecond
	// listStaleness is how old the platform's list is when it is read.
	listStaleness = 800 * time.Millisecond
	// trafficStart is when clients begin to send requests.
	trafficStart = 10 * time.Second
)

// llmService returns a service that generates tokens, with the given KV cache memory per replica in tokens.
func llmService(name string, replicas, memory int) ServiceSpec {
	return ServiceSpec{
		Name: name, Replicas: replicas, MaxConns: 640, WarmupTime: 3 * time.Second, WarmupRate: 20, Slowdowns: []float64{1, 1, 1.3},
		Spec: engine.Spec{
			Slots: 128, QueueLimit: 384, SetupTime: 31 * time.Millisecond, StepTime: 3410 * time.Microsecond, StepTimePerSlot: 97 * time.Microsecond, PrefillRate: 112,
			PrefillChunk: 1024, MemoryTokens: memory, Stride: 6,
		},
	}
}

// plainService returns a service that generates no tokens.
func plainService(name string, replicas int) ServiceSpec {
	return ServiceSpec{Name: name, Replicas: replicas, MaxConns: 130, Slowdowns: []float64{1}, Spec: engine.Spec{Slots: 6, QueueLimit: 24}}
}

// siteTraffic contains the differences between the sites' traffic: the two services, the names of two streaming classes and of the plain one, the factor for
// all rates, and the latency target, mean work time and deadline of the plain class.
type siteTraffic struct {
	llm, plain             string
	classes                [3]string
	scale                  float64
	target, work, deadline time.Duration
}

func (t siteTraffic) trafficClasses() []TrafficClass {
	return []TrafficClass{
		{
			Name: t.classes[0], Service: t.llm, Rate: 16.2 * t.scale, Streaming: true, Repeatable: true, Resumable: true, MaxAttempts: 2, LatencyTarget: 800 * time.Millisecond,
			TargetGap: 400 * time.Millisecond, Deadline: 15 * time.Second, SystemPrompts: 3, SystemTokens: 512, SharedPrefixes: 61, SharedTokens: 4870, UniqueTokens: 6610, Events: 64,
		},
		{
			Name: t.classes[1], Service: t.llm, Rate: 75.2 * t.scale, Streaming: true, Priority: 1, MaxAttempts: 1, LatencyTarget: 800 * time.Millisecond,
			TargetGap: 400 * time.Millisecond, Deadline: 3 * time.Second, SystemPrompts: 8, SystemTokens: 341, SharedPrefixes: 639, SharedTokens: 227, UniqueTokens: 1800, Events: 4,
		},
		{Name: t.classes[2], Service: t.plain, Rate: 22.8 * t.scale, Repeatable: true, Priority: 2, MaxAttempts: 2, LatencyTarget: t.target, Deadline: t.deadline, WorkTime: t.work},
	}
}

// TramitesSite returns one of the two small sites of the users' platform.
func TramitesSite() SiteSpec {
	s := SiteSpec{
		Shape: siteNodes("tramites site", 11, 3, 3), CrossZoneDelay: 500 * time.Microsecond, IdleRoutes: 8, Bounds: smallBounds(), FaultTolerance: 1, ListRate: 44,
		Services: []ServiceSpec{llmService("permisos", 9, 654078), plainService("borrador", 3)},
	}
	s.Classes = siteTraffic{
		llm: "permisos", plain: "borrador", classes: [3]string{"dossier", "zoning", "checklist"}, scale: 1,
		target: 300 * time.Millisecond, work: 60 * time.Millisecond, deadline: 1500 * time.Millisecond,
	}.trafficClasses()
	return s
}

// AtlasSite returns the other small site of the users' platform.
func AtlasSite() SiteSpec {
	s := SiteSpec{
		Shape: siteNodes("atlas site", 12, 4, 4), CrossZoneDelay: 900 * time.Microsecond, IdleRoutes: 8, Bounds: smallBounds(), FaultTolerance: 1, ListRate: 44,
		Services: []ServiceSpec{llmService("logbook", 9, 729140), plainService("onair", 4)},
	}
	s.Classes = siteTraffic{
		llm: "logbook", plain: "onair", classes: [3]string{"reconcile", "award", "lookup"}, scale: 1.04,
		target: 100 * time.Millisecond, work: 15 * time.Millisecond, deadline: time.Second,
	}.trafficClasses()
	s.Classes[1].MaxAttempts = 2
	s.Services[0].WarmupRate = 6
	return s
}

// SiteByName returns the site of that name. Its classes together have the given rate in requests per second, or the site's own rate for 0.
func SiteByName(name string, rate float64) (SiteSpec, bool) {
	var s SiteSpec
	switch name {
	case "tramites site":
		s = TramitesSite()
	case "atlas site":
		s = AtlasSite()
	case "grown-tramites site":
		s = GrownTramitesSite(AllMachines)
	case "grown-atlas site":
		s = GrownAtlasSite(AllMachines)
	default:
		return s, false
	}
	ownRate := 0.0
	for _, c := range s.Classes {
		ownRate += c.Rate
	}
	s.Shape.OtherTargets = []string{"cut", "junk", "surplus", "late", "reset", "silent", "all"}
	for i := range s.Classes {
		if rate > 0 {
			s.Classes[i].Rate *= rate / ownRate
		}
		s.Shape.OtherTargets = append(s.Shape.OtherTargets, s.Classes[i].Name)
	}
	for _, service := range s.Services {
		s.Shape.OtherTargets = append(s.Shape.OtherTargets, service.Name)
	}
	return s, true
}

// SiteFaultKinds returns the kinds of fault that can be named in plans for a site.
func SiteFaultKinds() []string {
	return []string{
		Kill, Power, WipeDisk, ClockBack, AllPowerOff, Relocate, Freeze, PartitionNode, PartitionControl, SplitCore, SlowDisk, StallDisk, FullDisk, Upgrade, EvacuateFault, PutStorm, ChangeConfig,
		LargePuts, ConcurrentPuts, InvalidPuts, ListUnavailable, BurstFault, HotKey, ReplicaCrash, ReplicaUnreachable, Release, ScaleIn, ScaleOut, CorruptResponses,
	}
}

// siteNodes returns a shape with machines assigned to the zones in turn, the first disks of them with a disk.
func siteNodes(name string, nodes, zones, disks int) shape.Shape {
	s := shape.Shape{Name: name}
	for i := range zones {
		s.Zones = append(s.Zones, string(rune('a'+i)))
	}
	for i := range nodes {
		s.Nodes = append(s.Nodes, shape.Node{Name: fmt.Sprintf("n%d", i+1), Zone: s.Zones[i%zones], Disk: i < disks})
	}
	return s
}
