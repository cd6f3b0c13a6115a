package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/router"
)

// site is the platform around the nodes of a world: it lists replicas, distributes clients over nodes, and its operators change the
// configuration.
type site struct {
	w         *World
	spec      SiteSpec
	rng       *rand.Rand
	generator trafficGenerator
	// instanceAt has the newest instance at each address.
	instanceAt map[string]*Instance
	instances  []*Instance
	// lastInstanceID is the last number used in an instance's id or a new address.
	lastInstanceID int
	// seeds are the seed addresses that nodes get at their start; while bootstrapping is set, nodes may bootstrap a new fleet.
	seeds         []string
	bootstrapping bool
	// listCallTimes are the times of the calls of the list within the last second, listOutages the times in which it cannot be read.
	listCallTimes []time.Duration
	listOutages   []window
	// missedPolls counts each node's readiness polls since it was last ready; entryNodes are the nodes that receive clients, by zone.
	missedPolls map[string]int
	entryNodes  map[string][]*Node
	rules       *rules
	operators   operators
	report      SiteReport
	// probeClass is the request class of configuration probes.
	probeClass TrafficClass
}

// attachSite creates the platform and its first instances.
func (w *World) attachSite(spec SiteSpec) {
	s := &site{
		w: w, spec: spec, rng: rand.New(rand.NewPCG(w.Scenario.Seed, 67)), instanceAt: map[string]*Instance{}, missedPolls: map[string]int{}, entryNodes: map[string][]*Node{},
		report: SiteReport{Reasons: map[string]int{}, Outcomes: map[string]int{}},
	}
	w.site = s
	s.rules = newRules(s)
	s.operators = operators{s: s, rng: rand.New(rand.NewPCG(w.Scenario.Seed, 71))}
	s.probeClass = spec.Classes[len(spec.Classes)-1]
	s.probeClass.Name = "look"
	w.Net.ZoneDelay, w.Net.CrossZoneDelay, w.Net.Jitter = 200*time.Microsecond, spec.CrossZoneDelay, 300*time.Microsecond
	for k := range spec.Services {
		service := &spec.Services[k]
		for i := range service.Replicas {
			s.launch(service, spec.Shape.Zones[i%len(spec.Shape.Zones)], fmt.Sprintf("10.9.%d.%d:8080", k, i), service.Slowdowns[i%len(service.Slowdowns)], false)
		}
	}
}

func (s *site) boot() {
	w := s.w
	s.bootstrapping = true
	for _, n := range w.Nodes[:3] {
		s.seeds = append(s.seeds, n.Addr)
	}
	for _, n := range w.Nodes {
		w.After(time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), n.start)
	}
	w.After(2*time.Second, func() { s.bootstrapping = false })
	w.After(600*time.Millisecond, s.operators.putFirst)
	s.pollReadiness()
	w.Audit.checkLeases()
}

// configure adapts a node's settings to the site.
func (s *site) configure(c *control.Config, r *router.Config) {
	c.Read, c.ListEvery, c.FaultTolerance, c.Bootstraps, c.ServesIsolated = readDocument, time.Second, s.spec.FaultTolerance, s.bootstrapping, true
	c.Seeds = slices.Clone(s.seeds)
	r.Scheduler.QueueLimit, r.Scheduler.ControlTimeout = 1024, time.Minute
	if s.w.adjustNode != nil {
		s.w.adjustNode(c, r)
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

func (s *site) activeInstances(service string) []*Instance {
	var instances []*Instance
	for _, i := range s.instances {
		if i.up && (service == "" || i.service.Name == service) && i.drainingSince == never {
			instances = append(instances, i)
		}
	}
	return instances
}

// pollReadiness asks every node each second whether it is ready. A node that is not ready twice in a row gets no more clients.
func (s *site) pollReadiness() {
	s.entryNodes = map[string][]*Node{}
	for _, zone := range s.spec.Shape.Zones {
		s.entryNodes[zone] = s.pollZone(zone)
	}
	s.w.After(time.Second, s.pollReadiness)
}

// pollZone returns the nodes of a zone that receive clients: those that did not miss two polls in a row. If there are
// such nodes, but fewer than half of the zone's nodes, all nodes of the zone receive clients.
func (s *site) pollZone(zone string) []*Node {
	var ready, all []*Node
	for _, n := range s.w.Nodes {
		if n.Zone != zone || n.removed {
			continue
		}
		all = append(all, n)
		s.missedPolls[n.Name]++
		if n.Alive && !n.frozen && !n.shuttingDown && n.router.NotReady(n.localTime()) == "" {
			s.missedPolls[n.Name] = 0
		}
		if s.missedPolls[n.Name] < 2 {
			ready = append(ready, n)
		}
	}
	if len(ready) > 0 && 2*len(ready) < len(all) {
		return all
	}
	return ready
}

// pickEntryNode returns a random node that receives the clients of a zone, of another zone if it has none, or nil.
func (s *site) pickEntryNode(zone string) *Node {
	candidates := s.entryNodes[zone]
	for _, other := range s.spec.Shape.Zones {
		if len(candidates) == 0 {
			candidates = s.entryNodes[other]
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[s.rng.IntN(len(candidates))]
}
