package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/router"
)

// A site is the platform around the nodes of a world: it lists replicas, hands user agents to nodes, and its operators write documents.
type site struct {
	w          *World
	spec       SiteSpec
	rng        *rand.Rand
	load       traffic
	at         map[string]*Instance
	instances  []*Instance
	born       int
	seeds      []string
	first      bool
	calls      []time.Duration
	downs      []window
	misses     map[string]int
	entries    map[string][]*Node
	rules      *rules
	ops        operators
	report     SiteReport
	probeClass TrafficClass
}

func (w *World) openSite(spec SiteSpec) {
	s := &site{
		w: w, spec: spec, rng: rand.New(rand.NewPCG(w.Scenario.Seed, 67)), at: map[string]*Instance{}, misses: map[string]int{}, entries: map[string][]*Node{},
		report: SiteReport{Reasons: map[string]int{}, Outcomes: map[string]int{}},
	}
	w.site = s
	s.rules = newRules(s)
	s.ops = operators{s: s, rng: rand.New(rand.NewPCG(w.Scenario.Seed, 71))}
	s.probeClass = spec.Classes[len(spec.Classes)-1]
	s.probeClass.Name = "look"
	w.Net.ZoneDelay, w.Net.CrossZoneDelay, w.Net.Jitter = 200*time.Microsecond, spec.CrossZoneDelay, 300*time.Microsecond
	for k := range spec.Services {
		o := &spec.Services[k]
		for i := range o.Replicas {
			s.launch(o, spec.Shape.Zones[i%len(spec.Shape.Zones)], fmt.Sprintf("10.9.%d.%d:8080", k, i), o.Slowdowns[i%len(o.Slowdowns)], false)
		}
	}
}

func (s *site) boot() {
	w := s.w
	s.first = true
	for _, n := range w.Nodes[:3] {
		s.seeds = append(s.seeds, n.Addr)
	}
	for _, n := range w.Nodes {
		w.After(time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), n.start)
	}
	w.After(2*time.Second, func() { s.first = false })
	w.After(600*time.Millisecond, s.ops.open)
	s.poll()
	w.Audit.checkLeases()
}

// configure makes a node's settings those of the ordinary path.
func (s *site) configure(c *control.Config, r *router.Config) {
	c.Read, c.ListEvery, c.FaultTolerance, c.Bootstraps, c.ServesIsolated = readDocument, time.Second, s.spec.FaultTolerance, s.first, true
	c.Seeds = slices.Clone(s.seeds)
	r.Scheduler.QueueLimit, r.Scheduler.ControlTimeout = 1024, time.Minute
	if s.w.tune != nil {
		s.w.tune(c, r)
	}
}

func (s *site) stride(service string) int {
	for i := range s.spec.Services {
		if s.spec.Services[i].Name == service {
			return max(s.spec.Services[i].Stride, 1)
		}
	}
	return 1
}

func (s *site) alive(service string) []*Instance {
	var is []*Instance
	for _, i := range s.instances {
		if i.up && (service == "" || i.service.Name == service) && i.leaves == never {
			is = append(is, i)
		}
	}
	return is
}

// poll asks every node each second whether it is ready; two misses take it out.
func (s *site) poll() {
	s.entries = map[string][]*Node{}
	for _, zone := range s.spec.Shape.Zones {
		s.entries[zone] = s.pollZone(zone)
	}
	s.w.After(time.Second, s.poll)
}

// pollZone gives the machines of a zone that receive clients: those that are in, or all where that is under half of them.
func (s *site) pollZone(zone string) []*Node {
	var in, all []*Node
	for _, n := range s.w.Nodes {
		if n.Zone != zone || n.removed {
			continue
		}
		all = append(all, n)
		s.misses[n.Name]++
		if n.Alive && !n.frozen && !n.shuttingDown && n.router.NotReady(n.local()) == "" {
			s.misses[n.Name] = 0
		}
		if s.misses[n.Name] < 2 {
			in = append(in, n)
		}
	}
	if len(in) > 0 && 2*len(in) < len(all) {
		return all
	}
	return in
}

func (s *site) pick(zone string) *Node {
	ns := s.entries[zone]
	for _, d := range s.spec.Shape.Zones {
		if len(ns) == 0 {
			ns = s.entries[d]
		}
	}
	if len(ns) == 0 {
		return nil
	}
	return ns[s.rng.IntN(len(ns))]
}
