package capacity

import (
	"time"

	"github.com/mallowbridge/mallowbridge/sim/light"
	"github.com/mallowbridge/mallowbridge/sim/replica"
	"github.com/mallowbridge/mallowbridge/sim/shape"
	"github.com/mallowbridge/mallowbridge/sim/workload"
)

// Plan describes one simulated fleet to be measured.
type Plan struct {
	// Disks is the number of nodes with a disk; the first three of them vote on the register. Services is the number of services.
	Nodes, Replicas, Disks, Services int
	Zones                            []string
	// Rate is the requests per second over the whole fleet.
	Rate float64
	// Prefixes is the number of different shared prefixes in the requests.
	Prefixes int
	// ConfigBytes is the size that the configuration is padded to; 0 adds no padding, so that its size depends on the replicas.
	ConfigBytes int
	// PutRate is the number of configuration puts per second.
	PutRate float64
	// ZoneDelay is the one-way delay between zones. Values below the simulator's default have no effect.
	ZoneDelay time.Duration
	// SettleTime is how long the fleet runs before costs are counted, MeasureTime how long they are counted, both in virtual time.
	SettleTime, MeasureTime time.Duration
	Seed                    uint64
	// Clock measures the CPU time of the state machines' steps.
	Clock func() time.Duration
}

// Zones returns eight zones in two regions, the zones of the target deployment.
func Zones() []string { return []string{"a1", "b1", "a2", "b2", "a3", "b3", "a4", "b4"} }

// Target returns the plan of the fleet size that the product has to support.
func Target() Plan {
	return Plan{
		Nodes: 370, Replicas: 600, Disks: 4, Services: 15, Zones: Zones(), Rate: 3800, Prefixes: 60, SettleTime: 15 * time.Second, MeasureTime: 10 * time.Second, Seed: 1,
	}
}

// ScaledTarget returns the target plan for another number of nodes, with replicas and request rate in proportion.
func ScaledTarget(nodes int) Plan {
	p := Target()
	t := p
	p.Nodes = nodes
	p.Replicas = (t.Replicas*nodes + t.Nodes/2) / t.Nodes
	p.Rate = t.Rate * float64(nodes) / float64(t.Nodes)
	return p
}

// Result contains the measurements of one fleet's run.
type Result struct {
	Plan  Plan
	Costs *Costs
	Nodes []*light.Node
	// Ready is the number of nodes that were ready to serve at the end.
	Ready int
	// ApplyTimes contains, for each configuration that was put, the time until it was in force on all nodes.
	ApplyTimes []time.Duration
	// FirstTokenTimes contains the requests' times to first token, Outcomes the number of requests by outcome.
	FirstTokenTimes []time.Duration
	Outcomes        map[string]int
	// ConfigBytes is the size of the configuration in force at the end.
	ConfigBytes int
}

// bootSpread returns the time over which the nodes of a large fleet start to probe their replicas. A node that sees a replica for the first time
// divides the whole capacity again and keeps the old division for two seconds; spreading this out bounds the memory that starting takes.
func (p Plan) bootSpread() time.Duration {
	return max(0, time.Duration(p.Nodes-100)) * 70 * time.Millisecond
}

// Run boots the fleet, lets it run for SettleTime (longer if the fleet is large, see bootSpread) and counts costs for MeasureTime.
func (p Plan) Run() Result {
	shape := light.Shape(p.Nodes, p.Replicas, p.Disks, p.Services, p.Zones)
	plan := p.simulatorPlan(&shape)
	r := Result{Plan: p, Costs: NewCosts(), ConfigBytes: len(shape.Config)}
	plan.Shape, plan.Meter = shape, r.Costs
	fleet := light.New(plan)
	fleet.Boot()
	settleTime := p.SettleTime + p.bootSpread()
	fleet.Run(p.bootSpread() + min(8*time.Second, p.SettleTime/2))
	fleet.SubmitLoad(settleTime + p.MeasureTime)
	fleet.Run(settleTime)
	r.Costs.Reset()
	fleet.ApplyTimes, fleet.FirstTokenTimes = nil, nil
	clear(fleet.Outcomes)
	fleet.PutPeriodically()
	fleet.Run(settleTime + p.MeasureTime)
	for _, n := range fleet.Nodes {
		if n.Router.NotReady(fleet.Now) == "" {
			r.Ready++
		}
	}
	r.Nodes, r.ApplyTimes, r.FirstTokenTimes, r.Outcomes = fleet.Nodes, fleet.ApplyTimes, fleet.FirstTokenTimes, fleet.Outcomes
	return r
}

// simulatorPlan returns the simulator's plan for a shape, and pads the shape's configuration to ConfigBytes.
func (p Plan) simulatorPlan(shape *shape.Shape) light.Plan {
	unpadded := *shape
	if p.ConfigBytes > 0 {
		shape.Config = light.Document(unpadded, 0, p.ConfigBytes)
	}
	m := replica.DefaultModel()
	m.Capacity = light.Capacity
	plan := light.Plan{
		Seed: p.Seed, Model: m, CrossZoneDelay: p.ZoneDelay, WatchSpread: p.bootSpread(), Clock: p.Clock,
		Document: func(n int) []byte { return light.Document(unpadded, n, p.ConfigBytes) },
	}
	if p.PutRate > 0 {
		plan.PutInterval = time.Duration(float64(time.Second) / p.PutRate)
	}
	if p.Rate > 0 {
		src := workload.NewSource(workload.Load{Classes: shape.Classes, Rate: p.Rate, PrefixesPerClass: p.Prefixes, HotRatio: 0}, p.Seed, "q")
		plan.NextRequest = src.Next
	}
	return plan
}
