package sim

import (
	"fmt"
	"time"
)

// OfferSpec is a group of alike replicas that the platform lists.
type OfferSpec struct {
	Name string
	EngineSpec
	Replicas int
	// MaxConns is how many connections a replica takes from all nodes together.
	MaxConns int
	ColdFor  time.Duration
	ColdRate float64
	// Pace multiplies the time that everything takes, replica by replica in turn.
	Pace []float64
}

// TrafficClass is one kind of request, with a route of its own.
type TrafficClass struct {
	Name, Offer           string
	Rate                  float64
	Streaming, Repeatable bool
	Resumable             bool
	Rank, Attempts        int
	Aim, Gap, Deadline    time.Duration
	// Work is how long a request takes where nothing is generated.
	Work time.Duration
	// System and Shared are parts that many requests begin with: so many of them, of so many tokens.
	System, SystemTokens int
	Shared, SharedTokens int
	Prompt, Events       int
}

// SiteSpec is what a platform brings.
type SiteSpec struct {
	Shape   Shape
	Offers  []OfferSpec
	Classes []TrafficClass
	// Far is the time between domains, one way.
	Far time.Duration
	// Idle is how many routes nobody uses but who looks which configuration is in force.
	Idle int
	// Bounds are those of the rules that the platform keeps its nodes to.
	Bounds Bounds
	// Tolerate is how many machines with a disk may be lost together.
	Tolerate int
	// ListRate is how many calls a second the platform's list takes.
	ListRate int
}

// Times of the platform that are alike on all sites.
const (
	seedLag    = 3 * time.Second
	reuseAfter = 2 * time.Second
	grace      = 8 * time.Second
	// excusedFor is how long after SIGTERM a request may be sent for its end in the second half of the grace period to be excused.
	excusedFor  = 3 * time.Second
	backSlack   = 250 * time.Millisecond
	retryShare  = 0.2
	retryWindow = 10 * time.Second
	coldOver    = 1.5
	coldSlack   = 5
	evacWithin  = 5 * time.Second
	passWithin  = 120 * time.Millisecond
	listBehind  = 800 * time.Millisecond
	trafficFrom = 10 * time.Second
)

func llmOffer(name string, replicas, memory int) OfferSpec {
	return OfferSpec{
		Name: name, Replicas: replicas, MaxConns: 640, ColdFor: 3 * time.Second, ColdRate: 20, Pace: []float64{1, 1, 1.3},
		EngineSpec: EngineSpec{
			Slots: 128, Queue: 384, Setup: 31 * time.Millisecond, Step: 3410 * time.Microsecond, PerSlot: 97 * time.Microsecond, Prefill: 112,
			Chunk: 1024, Memory: memory, Stride: 6,
		},
	}
}

func plainOffer(name string, replicas int) OfferSpec {
	return OfferSpec{Name: name, Replicas: replicas, MaxConns: 130, Pace: []float64{1}, EngineSpec: EngineSpec{Slots: 6, Queue: 24}}
}

func classes(llm, plain string, names [3]string, scale float64, aim, work, deadline time.Duration) []TrafficClass {
	return []TrafficClass{
		{
			Name: names[0], Offer: llm, Rate: 16.2 * scale, Streaming: true, Repeatable: true, Resumable: true, Attempts: 2, Aim: 800 * time.Millisecond,
			Gap: 400 * time.Millisecond, Deadline: 15 * time.Second, System: 3, SystemTokens: 512, Shared: 61, SharedTokens: 4870, Prompt: 6610, Events: 64,
		},
		{
			Name: names[1], Offer: llm, Rate: 75.2 * scale, Streaming: true, Rank: 1, Attempts: 1, Aim: 800 * time.Millisecond,
			Gap: 400 * time.Millisecond, Deadline: 3 * time.Second, System: 8, SystemTokens: 341, Shared: 639, SharedTokens: 227, Prompt: 1800, Events: 4,
		},
		{Name: names[2], Offer: plain, Rate: 22.8 * scale, Repeatable: true, Rank: 2, Attempts: 2, Aim: aim, Deadline: deadline, Work: work},
	}
}

// TramitesSite is one of the two small sites of the users' platform.
func TramitesSite() SiteSpec {
	s := SiteSpec{
		Shape: siteNodes("tramites site", 11, 3, 3), Far: 500 * time.Microsecond, Idle: 8, Bounds: smallBounds(), Tolerate: 1, ListRate: 44,
		Offers: []OfferSpec{llmOffer("permisos", 9, 654078), plainOffer("borrador", 3)},
	}
	s.Classes = classes("permisos", "borrador", [3]string{"dossier", "zoning", "checklist"}, 1, 300*time.Millisecond, 60*time.Millisecond, 1500*time.Millisecond)
	return s
}

// AtlasSite is the other small site of the users' platform.
func AtlasSite() SiteSpec {
	s := SiteSpec{
		Shape: siteNodes("atlas site", 12, 4, 4), Far: 900 * time.Microsecond, Idle: 8, Bounds: smallBounds(), Tolerate: 1, ListRate: 44,
		Offers: []OfferSpec{llmOffer("logbook", 9, 729140), plainOffer("onair", 4)},
	}
	s.Classes = classes("logbook", "onair", [3]string{"reconcile", "award", "lookup"}, 1.04, 100*time.Millisecond, 15*time.Millisecond, time.Second)
	s.Classes[1].Attempts = 2
	s.Offers[0].ColdRate = 6
	return s
}

// SiteOf finds a site by name, with all its traffic at so many requests a second, or at its own rate for 0.
func SiteOf(name string, rate float64) (SiteSpec, bool) {
	var s SiteSpec
	switch name {
	case "tramites site":
		s = TramitesSite()
	case "atlas site":
		s = AtlasSite()
	case "grown-tramites site":
		s = GrownTramitesSite(Whole)
	case "grown-atlas site":
		s = GrownAtlasSite(Whole)
	default:
		return s, false
	}
	own := 0.0
	for _, c := range s.Classes {
		own += c.Rate
	}
	s.Shape.Others = []string{"cut", "junk", "surplus", "late", "reset", "silent", "all"}
	for i := range s.Classes {
		if rate > 0 {
			s.Classes[i].Rate *= rate / own
		}
		s.Shape.Others = append(s.Shape.Others, s.Classes[i].Name)
	}
	for _, o := range s.Offers {
		s.Shape.Others = append(s.Shape.Others, o.Name)
	}
	return s, true
}

// SiteTroubles are the kinds of fault that a site knows.
func SiteTroubles() []string {
	return []string{
		Kill, Power, Wipe, ClockBack, AllDown, Move, Freeze, CutNode, CutControl, SplitCore, SlowDisk, StallDisk, FullDisk, Upgrade, Empty, PutStorm, Change,
		LargePuts, Race, BadPuts, ListDown, Burst, HotKey, RepCrash, RepDark, Release, ScaleIn, ScaleOut, Garble,
	}
}

// siteNodes are machines over domains in turn, the first of each with a disk; three of those are the seeds.
func siteNodes(name string, nodes, domains, disks int) Shape {
	s := Shape{Name: name}
	for i := range domains {
		s.Domains = append(s.Domains, string(rune('a'+i)))
	}
	for i := range nodes {
		s.Nodes = append(s.Nodes, NodeShape{Name: fmt.Sprintf("n%d", i+1), Domain: s.Domains[i%domains], Disk: i < disks})
	}
	return s
}
