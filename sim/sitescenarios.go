package sim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// SiteScenario is a named set of faults for a site.
type SiteScenario struct {
	Name string
	// MinServed is the share of requests that must be served.
	MinServed float64
	Faults    func(s SiteSpec, rng *rand.Rand) []Fault
	// Duration is the length of the run before ClosingFaults; scenarioLasts if 0.
	Duration time.Duration
	// ClosingFaults, if any, returns faults that begin right after the last acknowledgement of a change; acked is the node that sent it.
	ClosingFaults func(s SiteSpec, rng *rand.Rand, acked string) []Fault
	// LossRatio is the share of messages between nodes that are lost.
	LossRatio float64
	// TrafficRatio is the share of the site's traffic that is simulated; 0 means all.
	TrafficRatio float64
	// MixPreviousBuild makes every other node report the previous build.
	MixPreviousBuild bool
}

const scenarioLasts = 32 * sec

// Scenario returns the scenario for a site and a seed.
func (d SiteScenario) Scenario(spec SiteSpec, seed uint64) Scenario {
	rng := rand.New(rand.NewPCG(seed, 73))
	if d.TrafficRatio > 0 {
		spec = spec.withTrafficRatio(d.TrafficRatio)
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
			w.At(at, func() { w.site.injectAfterAck(func(acked string) []Fault { return d.ClosingFaults(spec, rng, acked) }) })
		}
	}
	return s
}

func (s SiteSpec) withTrafficRatio(ratio float64) SiteSpec {
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		s.Classes[i].Rate *= ratio
	}
	return s
}

// injectAfterAck makes a change and injects the faults at the moment of its acknowledgement.
func (s *site) injectAfterAck(faults func(acked string) []Fault) {
	s.operators.onNextAck = func(n *Node) {
		for _, f := range faults(n.Name) {
			s.w.Inject(f)
			s.report.recoverBy = max(s.report.recoverBy, s.w.Now+f.For+s.spec.Bounds.Recovery)
		}
	}
	s.operators.put(s.operators.varyRoutes, nil)
}

// diskNodes returns the names of the nodes with a disk.
func diskNodes(s SiteSpec) []string {
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

// repeatedFault is a fault of one kind that begins times times, a gap apart. Each time it affects a number of random victims out of names.
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
		fs = append(fs, newFault(r.kind, 12*sec+time.Duration(i)*r.gap, r.duration, pickSome(rng, r.names, r.victims)...))
	}
	return fs
}

// SiteScenarios returns the scenarios that the tests play on the small sites.
func SiteScenarios() []SiteScenario {
	return append(append(append(replicaScenarios(), nodeScenarios()...), orderScenarios()...), streamScenarios()...)
}

// streamScenarios returns scenarios in which streams break in ways that a replica's HTTP framing does not reveal.
func streamScenarios() []SiteScenario {
	inside := newFault(CorruptResponses, 12*sec, 12*sec, truncatedEvent)
	return []SiteScenario{
		{Name: "streams end inside an event", Faults: fixedFaults(inside)},
		{Name: "streams end inside an event in a release", Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			service := s.Services[0].Name
			return []Fault{inside, newFault(Release, 13*sec, 0, service), newFault(ReplicaCrash, 16*sec, 3*sec, service)}
		}},
	}
}

func replicaScenarios() []SiteScenario {
	llm := func(kind string, d time.Duration, at ...time.Duration) func(SiteSpec, *rand.Rand) []Fault {
		return func(s SiteSpec, _ *rand.Rand) []Fault {
			var fs []Fault
			for _, t := range at {
				fs = append(fs, newFault(kind, t, d, s.Services[0].Name))
			}
			return fs
		}
	}
	corrupted := func(kind string) func(SiteSpec, *rand.Rand) []Fault {
		return fixedFaults(newFault(CorruptResponses, 12*sec, 10*sec, kind))
	}
	return []SiteScenario{
		{Name: "calm", MinServed: 0.99},
		{Name: "release", MinServed: 0.95, Faults: llm(Release, 0, 12*sec, 20*sec)},
		{Name: "release of the other offer", MinServed: 0.9, Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			return []Fault{newFault(Release, 12*sec, 0, s.Services[1].Name), newFault(Release, 19*sec, 0, s.Services[0].Name)}
		}},
		{Name: "replicas crash", Faults: llm(ReplicaCrash, 3*sec, 12*sec, 17*sec, 22*sec)},
		{Name: "replicas are lost for good", Faults: llm(ReplicaCrash, -1, 13*sec)},
		{Name: "replicas go dark", Faults: llm(ReplicaUnreachable, 5*sec, 12*sec, 20*sec)},
		{Name: "scale in and out", MinServed: 0.9, Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			return []Fault{newFault(ScaleIn, 12*sec, 0, s.Services[0].Name), newFault(ScaleOut, 18*sec, 0)}
		}},
		{Name: "burst", Faults: fixedFaults(newFault(BurstFault, 13*sec, 5*sec))},
		{Name: "hot key", MinServed: 0.95, Faults: fixedFaults(newFault(HotKey, 13*sec, 8*sec))},
		{Name: "answers are cut", Faults: corrupted("cut")},
		{Name: "answers are followed by others", Faults: corrupted("surplus")},
		{Name: "answers are followed late", Faults: corrupted("late")},
		{Name: "answers are junk", Faults: corrupted("junk")},
		{Name: "answers are lost by reset", Faults: corrupted("reset")},
		{Name: "answers never come", Faults: corrupted("silent")},
		{Name: "replicas break every answer", Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			return []Fault{newFault(CorruptResponses, 13*sec, 7*sec, "reset", "all"), newFault(BurstFault, 13*sec, 7*sec, s.Classes[2].Name)}
		}},
		{Name: "list is down in a release", MinServed: 0.9, Faults: func(s SiteSpec, _ *rand.Rand) []Fault {
			return []Fault{newFault(Release, 11*sec, 0, s.Services[1].Name), newFault(ListUnavailable, 13*sec, 7*sec), newFault(ScaleOut, 19600*ms, 0)}
		}},
	}
}
