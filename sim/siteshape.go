package sim

import (
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/sim/engine"
	"github.com/mallowbridge/mallowbridge/sim/shape"
)

// ServiceSpec is a group of alike replicas that the platform lists.
type ServiceSpec struct {
	Name string
	engine.Spec
	Replicas int
	// MaxConns is how many connections a replica takes from all nodes together.
	MaxConns   int
	WarmupTime time.Duration
	WarmupRate float64
	// Slowdowns multiplies the time that everything takes, replica by replica in turn.
	Slowdowns []float64
}

// TrafficClass is one kind of request, with a route of its own.
type TrafficClass struct {
	Name, Service                      string
	Rate                               float64
	Streaming, Repeatable              bool
	Resumable                          bool
	Priority, MaxAttempts              int
	LatencyTarget, TargetGap, Deadline time.Duration
	// WorkTime is how long a request takes where nothing is generated.
	WorkTime time.Duration
	// SystemPrompts and Shared are parts that many requests begin with: so many of them, of so many tokens.
	SystemPrompts, SystemTokens  int
	SharedPrefixes, SharedTokens int
	UniqueTokens, Events         int
}

// SiteSpec is what a platform brings.
type SiteSpec struct {
	Shape    shape.Shape
	Services []ServiceSpec
	Classes  []TrafficClass
	// CrossZoneDelay is the time between zones, one way.
	CrossZoneDelay time.Duration
	// IdleRoutes is how many routes nobody uses but who looks which configuration is in force.
	IdleRoutes int
	// Bounds are those of the rules that the platform keeps its nodes to.
	Bounds Bounds
	// FaultTolerance is how many machines with a disk may be lost together.
	FaultTolerance int
	// ListRate is how many calls a second the platform's list takes.
	ListRate int
}

// Times of the platform that are alike on all sites.
const (
	seedLag    = 3 * time.Second
	reuseAfter = 2 * time.Second
	grace      = 8 * time.Second
	// excusedFor is how long after SIGTERM a request may be sent for its end in the second half of the grace period to be excused.
	excusedFor    = 3 * time.Second
	backSlack     = 250 * time.Millisecond
	retryRatio    = 0.2
	retryWindow   = 10 * time.Second
	warmupOverage = 1.5
	warmupSlack   = 5
	evacWithin    = 5 * time.Second
	passWithin    = 120 * time.Millisecond
	listBehind    = 800 * time.Millisecond
	trafficFrom   = 10 * time.Second
)

func llmService(name string, replicas, memory int) ServiceSpec {
	return ServiceSpec{
		Name: name, Replicas: replicas, MaxConns: 640, WarmupTime: 3 * time.Second, WarmupRate: 20, Slowdowns: []float64{1, 1, 1.3},
		Spec: engine.Spec{
			Slots: 128, QueueLimit: 384, SetupTime: 31 * time.Millisecond, StepTime: 3410 * time.Microsecond, StepTimePerSlot: 97 * time.Microsecond, PrefillRate: 112,
			PrefillChunk: 1024, MemoryTokens: memory, Stride: 6,
		},
	}
}

func plainService(name string, replicas int) ServiceSpec {
	return ServiceSpec{Name: name, Replicas: replicas, MaxConns: 130, Slowdowns: []float64{1}, Spec: engine.Spec{Slots: 6, QueueLimit: 24}}
}

// siteTraffic is what the sites' traffic differs in. classes are the names of two streaming classes and of the plain one; scale multiplies
// all rates; target, work and deadline are those of the plain class.
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

// TramitesSite is one of the two small sites of the users' platform.
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

// AtlasSite is the other small site of the users' platform.
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

// SiteByName finds a site by name, with all its traffic at so many requests a second, or at its own rate for 0.
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
	for _, o := range s.Services {
		s.Shape.OtherTargets = append(s.Shape.OtherTargets, o.Name)
	}
	return s, true
}

// SiteFaultKinds are the kinds of fault that a site knows.
func SiteFaultKinds() []string {
	return []string{
		Kill, Power, WipeDisk, ClockBack, AllPowerOff, Relocate, Freeze, PartitionNode, PartitionControl, SplitCore, SlowDisk, StallDisk, FullDisk, Upgrade, EvacuateFault, PutStorm, ChangeConfig,
		LargePuts, ConcurrentPuts, InvalidPuts, ListUnavailable, BurstFault, HotKey, ReplicaCrash, ReplicaUnreachable, Release, ScaleIn, ScaleOut, CorruptResponses,
	}
}

// siteNodes are machines over zones in turn, the first of each with a disk; three of those are the seeds.
func siteNodes(name string, nodes, domains, disks int) shape.Shape {
	s := shape.Shape{Name: name}
	for i := range domains {
		s.Zones = append(s.Zones, string(rune('a'+i)))
	}
	for i := range nodes {
		s.Nodes = append(s.Nodes, shape.Node{Name: fmt.Sprintf("n%d", i+1), Zone: s.Zones[i%domains], Disk: i < disks})
	}
	return s
}
