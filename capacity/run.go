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
	Nodes, Replicas, Disks, Services int
	Zones                            []string
	// Rate is requests a second over the whole fleet.
	Rate     float64
	Prefixes int
	// ConfigBytes pads the configuration; 0: as large as its replicas make it. Changes are puts a second.
	ConfigBytes int
	PutRate     float64
	// ZoneDelay is the delay between zones, one way; 0: the simulator's.
	ZoneDelay time.Duration
	// SettleTime is how long the fleet settles, MeasureTime how long costs are counted after that, in virtual time.
	SettleTime, MeasureTime time.Duration
	Seed                    uint64
	// Clock times the machines' steps.
	Clock func() time.Duration
}

// Zones are eight in two regions, as the users will have them.
func Zones() []string { return []string{"a1", "b1", "a2", "b2", "a3", "b3", "a4", "b4"} }

// Target is the size that the users need.
func Target() Plan {
	return Plan{
		Nodes: 370, Replicas: 600, Disks: 4, Services: 15, Zones: Zones(), Rate: 3800, Prefixes: 60, SettleTime: 15 * time.Second, MeasureTime: 10 * time.Second, Seed: 1,
	}
}

// ScaledTarget is the target at another number of nodes, with replicas and requests to match.
func ScaledTarget(nodes int) Plan {
	p := Target()
	t := p
	p.Nodes = nodes
	p.Replicas = (t.Replicas*nodes + t.Nodes/2) / t.Nodes
	p.Rate = t.Rate * float64(nodes) / float64(t.Nodes)
	return p
}

// Result is what one fleet's run showed.
type Result struct {
	Plan            Plan
	Costs           *Costs
	Nodes           []*light.Node
	Ready           int
	ApplyTimes      []time.Duration
	FirstTokenTimes []time.Duration
	Outcomes        map[string]int
	// ConfigBytes is the size of the configuration in force at the end.
	ConfigBytes int
}

// bootSpread keeps the memory of large fleets' starts down: each replica that is first seen has a node divide all room anew, and keep
// the old division for two seconds.
func (p Plan) bootSpread() time.Duration {
	return max(0, time.Duration(p.Nodes-100)) * 70 * time.Millisecond
}

// Run boots the fleet, lets it settle for Warm and counts for Measured.
func (p Plan) Run() Result {
	shape := light.Shape(p.Nodes, p.Replicas, p.Disks, p.Services, p.Zones)
	plan := p.hollow(&shape)
	r := Result{Plan: p, Costs: NewCosts(), ConfigBytes: len(shape.Config)}
	plan.Shape, plan.Meter = shape, r.Costs
	h := light.New(plan)
	h.Boot()
	warm := p.SettleTime + p.bootSpread()
	h.Run(p.bootSpread() + min(8*time.Second, p.SettleTime/2))
	h.Load(warm + p.MeasureTime)
	h.Run(warm)
	r.Costs.Reset()
	h.Puts, h.Firsts = nil, nil
	clear(h.Ends)
	h.Change()
	h.Run(warm + p.MeasureTime)
	for _, n := range h.Nodes {
		if n.Router.NotReady(h.Now) == "" {
			r.Ready++
		}
	}
	r.Nodes, r.ApplyTimes, r.FirstTokenTimes, r.Outcomes = h.Nodes, h.Puts, h.Firsts, h.Ends
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
		Seed: p.Seed, Model: m, Far: p.ZoneDelay, Roll: p.bootSpread(), Clock: p.Clock,
		Body: func(n int) []byte { return light.Document(plain, n, p.ConfigBytes) },
	}
	if p.PutRate > 0 {
		plan.PutEvery = time.Duration(float64(time.Second) / p.PutRate)
	}
	if p.Rate > 0 {
		src := workload.NewSource(workload.Load{Classes: shape.Classes, Rate: p.Rate, Prefixes: p.Prefixes, HotRatio: 0}, p.Seed, "q")
		plan.Next = src.Next
	}
	return plan
}
