package capacity

import (
	"time"

	"github.com/mallowbridge/mallowbridge/sim/light"
	"github.com/mallowbridge/mallowbridge/sim/replica"
	"github.com/mallowbridge/mallowbridge/sim/shape"
	"github.com/mallowbridge/mallowbridge/sim/workload"
)

// Plan is one fleet to be measured.
type Plan struct {
	Nodes, Replicas, Disks, Models int
	Zones                          []string
	// Rate is requests a second over the whole fleet.
	Rate     float64
	Prefixes int
	// ConfigBytes pads the configuration; 0: as large as its replicas make it. Changes are puts a second.
	ConfigBytes int
	Changes     float64
	// ZoneDelay is the delay between zones, one way; 0: the simulator's.
	ZoneDelay time.Duration
	// Warm is how long the fleet settles, Measured how long costs are counted after that, in virtual time.
	Warm, Measured time.Duration
	Seed           uint64
	// Clock times the machines' steps.
	Clock func() time.Duration
}

// Zones are eight in two regions, as the users will have them.
func Zones() []string { return []string{"a1", "b1", "a2", "b2", "a3", "b3", "a4", "b4"} }

// Target is the size that the users need.
func Target() Plan {
	return Plan{
		Nodes: 370, Replicas: 600, Disks: 4, Models: 15, Zones: Zones(), Rate: 3800, Prefixes: 60, Warm: 15 * time.Second, Measured: 10 * time.Second, Seed: 1,
	}
}

// Part is the target at another number of nodes, with replicas and requests to match.
func Part(nodes int) Plan {
	p := Target()
	t := p
	p.Nodes = nodes
	p.Replicas = (t.Replicas*nodes + t.Nodes/2) / t.Nodes
	p.Rate = t.Rate * float64(nodes) / float64(t.Nodes)
	return p
}

// Result is what one fleet's run showed.
type Result struct {
	Plan   Plan
	Costs  *Costs
	Nodes  []*light.Node
	Ready  int
	Puts   []time.Duration
	Firsts []time.Duration
	Ends   map[string]int
	// Body is the size of the configuration in force at the end.
	Body int
}

// bootSpread keeps the memory of large fleets' starts down: each replica that is first seen has a node divide all room anew, and keep
// the old division for two seconds.
func (p Plan) bootSpread() time.Duration {
	return max(0, time.Duration(p.Nodes-100)) * 70 * time.Millisecond
}

// Run boots the fleet, lets it settle for Warm and counts for Measured.
func (p Plan) Run() Result {
	shape := light.Shape(p.Nodes, p.Replicas, p.Disks, p.Models, p.Zones)
	plan := p.hollow(&shape)
	r := Result{Plan: p, Costs: NewCosts(), Body: len(shape.Config)}
	plan.Shape, plan.Meter = shape, r.Costs
	h := light.New(plan)
	h.Boot()
	warm := p.Warm + p.bootSpread()
	h.Run(p.bootSpread() + min(8*time.Second, p.Warm/2))
	h.SubmitLoad(warm + p.Measured)
	h.Run(warm)
	r.Costs.Reset()
	h.ApplyTimes, h.FirstTokenTimes = nil, nil
	clear(h.Outcomes)
	h.PutPeriodically()
	h.Run(warm + p.Measured)
	for _, n := range h.Nodes {
		if n.Router.NotReady(h.Now) == "" {
			r.Ready++
		}
	}
	r.Nodes, r.Puts, r.Firsts, r.Ends = h.Nodes, h.ApplyTimes, h.FirstTokenTimes, h.Outcomes
	return r
}

// hollow is the simulator's plan for a shape, whose configuration it pads.
func (p Plan) hollow(shape *shape.Shape) light.Plan {
	plain := *shape
	if p.ConfigBytes > 0 {
		shape.Config = light.Document(plain, 0, p.ConfigBytes)
	}
	m := replica.DefaultModel()
	m.Capacity = light.Capacity
	plan := light.Plan{
		Seed: p.Seed, Model: m, CrossZoneDelay: p.ZoneDelay, WatchSpread: p.bootSpread(), Clock: p.Clock,
		Document: func(n int) []byte { return light.Document(plain, n, p.ConfigBytes) },
	}
	if p.Changes > 0 {
		plan.PutInterval = time.Duration(float64(time.Second) / p.Changes)
	}
	if p.Rate > 0 {
		src := workload.NewSource(workload.Load{Classes: shape.Classes, Rate: p.Rate, PrefixesPerClass: p.Prefixes, HotRatio: 0}, p.Seed, "q")
		plan.NextRequest = src.Next
	}
	return plan
}
