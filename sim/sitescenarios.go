package sim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// A SiteScenario is a scenario at a site.
type SiteScenario struct {
	Name string
	// MinServed is the share of requests that must be served.
	MinServed float64
	Faults    func(s SiteSpec, rng *rand.Rand) []Fault
	Duration  time.Duration
	// ClosingFaults comes right after the last acknowledgement of the day.
	ClosingFaults func(s SiteSpec, rng *rand.Rand, acked string) []Fault
	LossRatio     float64
	// TrafficRatio is the share of the site's traffic, all of it for 0.
	TrafficRatio float64
	// MixPreviousBuild has every other node be of the build before.
	MixPreviousBuild bool
}

const scenarioLasts = 32 * sec

// Scenario is the day played at a site with a seed.
func (d SiteScenario) Scenario(spec SiteSpec, seed uint64) Scenario {
	rng := rand.New(rand.NewPCG(seed, 73))
	if d.TrafficRatio > 0 {
		spec = spec.scaled(d.TrafficRatio)
	}
	s := Scenario{Seed: seed, Site: &spec, Duration: scenarioLasts, LossRatio: d.LossRatio, MixPreviousBuild: d.MixPreviousBuild}
	if d.Duration > 0 {
		s.Duration = d.Duration
	}
	if d.Faults != nil {
		s.Faults = d.Faults(spec, rng)
	}
	if d.ClosingFaults != nil {
		at := s.Duration
		s.Duration += 20 * sec
		s.AfterBoot = func(w *World) {
			w.At(at, func() { w.site.closing(func(acked string) []Fault { return d.ClosingFaults(spec, rng, acked) }) })
		}
	}
	return s
}

func (s SiteSpec) scaled(ratio float64) SiteSpec {
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		s.Classes[i].Rate *= ratio
	}
	return s
}

// closing has a document taken, and the fault strike in the same moment.
func (s *site) closing(faults func(acked string) []Fault) {
	s.ops.acked = func(n *Node) {
		for _, f := range faults(n.Name) {
			s.w.Inject(f)
			s.report.after = max(s.report.after, s.w.Now+f.For+s.spec.Bounds.Recovery)
		}
	}
	s.ops.put(s.ops.vary, nil)
}

func disks(s SiteSpec) []string {
	var names []string
	for _, n := range s.Shape.Nodes {
		if n.Disk {
			names = append(names, n.Name)
		}
	}
	return names
}

func fixedFaults(fs ...Fault) func(SiteSpec, *rand.Rand) []Fault {
	return func(SiteSpec, *rand.Rand) []Fault { return fs }
}

// repeatedFault is a fault of one kind that begins anew after each gap, on so many of the names each time.
type repeatedFault struct {
	kind          string
	times         int
	gap, duration time.Duration
	names         []string
	victims       int
}

func (r repeatedFault) draw(rng *rand.Rand) []Fault {
	var fs []Fault
	for i := range r.times {
		fs = append(fs, one(r.kind, 12*sec+time.Duration(i)*r.gap, r.duration, some(rng, r.names, r.victims)...))
	}
	return fs
}

// SiteScenarios are all days that the tests play.
func SiteScenarios() []SiteScenario {
	return append(append(append(replicaScenarios(), nodeScenarios()...), orderScenarios()...), streamScenarios()...)
}

// streamScenarios break streams in ways that a replica's framing doesn't show.
func streamScenarios() []SiteScenario {
	inside := one(CorruptResponses, 12*sec, 12*sec, endsInsideEvent)
	return []SiteScenario{
		{Name: "streams end inside an event", Faults: fixedFaults(inside)},
		{Name: "streams end inside an event in a release", Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			service := s.Services[0].Name
			return []Fault{inside, one(Release, 13*sec, 0, service), one(ReplicaCrash, 16*sec, 3*sec, service)}
		}},
	}
}

func replicaScenarios() []SiteScenario {
	llm := func(kind string, d time.Duration, at ...time.Duration) func(SiteSpec, *rand.Rand) []Fault {
		return func(s SiteSpec, _ *rand.Rand) []Fault {
			var fs []Fault
			for _, t := range at {
				fs = append(fs, one(kind, t, d, s.Services[0].Name))
			}
			return fs
		}
	}
	garble := func(how string) func(SiteSpec, *rand.Rand) []Fault {
		return fixedFaults(one(CorruptResponses, 12*sec, 10*sec, how))
	}
	return []SiteScenario{
		{Name: "calm", MinServed: 0.99},
		{Name: "release", MinServed: 0.95, Faults: llm(Release, 0, 12*sec, 20*sec)},
		{Name: "release of the other offer", MinServed: 0.9, Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			return []Fault{one(Release, 12*sec, 0, s.Services[1].Name), one(Release, 19*sec, 0, s.Services[0].Name)}
		}},
		{Name: "replicas crash", Faults: llm(ReplicaCrash, 3*sec, 12*sec, 17*sec, 22*sec)},
		{Name: "replicas are lost for good", Faults: llm(ReplicaCrash, -1, 13*sec)},
		{Name: "replicas go dark", Faults: llm(ReplicaUnreachable, 5*sec, 12*sec, 20*sec)},
		{Name: "scale in and out", MinServed: 0.9, Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			return []Fault{one(ScaleIn, 12*sec, 0, s.Services[0].Name), one(ScaleOut, 18*sec, 0)}
		}},
		{Name: "burst", Faults: fixedFaults(one(BurstFault, 13*sec, 5*sec))},
		{Name: "hot key", MinServed: 0.95, Faults: fixedFaults(one(HotKey, 13*sec, 8*sec))},
		{Name: "answers are cut", Faults: garble("cut")},
		{Name: "answers are followed by others", Faults: garble("surplus")},
		{Name: "answers are followed late", Faults: garble("late")},
		{Name: "answers are junk", Faults: garble("junk")},
		{Name: "answers are lost by reset", Faults: garble("reset")},
		{Name: "answers never come", Faults: garble("silent")},
		{Name: "replicas break every answer", Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			return []Fault{one(CorruptResponses, 13*sec, 7*sec, "reset", "all"), one(BurstFault, 13*sec, 7*sec, s.Classes[2].Name)}
		}},
		{Name: "list is down in a release", MinServed: 0.9, Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			return []Fault{one(Release, 11*sec, 0, s.Services[1].Name), one(ListUnavailable, 13*sec, 7*sec), one(ScaleOut, 19600*ms, 0)}
		}},
	}
}
