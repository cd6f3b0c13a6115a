package capacity

import (
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/light"
)

const (
	singleRouterReplicas = 8
	// requestInterval is the virtual time between two requests.
	requestInterval = time.Millisecond
	// unbounded is a prefix cache size in tokens that no sweep reaches.
	unbounded = 1 << 30
)

// prefixHeader returns the X-Prompt-Prefix header of the i-th request: a list of prefix blocks, each as name/tokens.
type prefixHeader func(i int) string

func sharedPrefixHeader(i int) string { return fmt.Sprintf("sys/256,shared%d/512", i) }

func sessionHeader(i int) string {
	return fmt.Sprintf("sys/256,shared%d/512,session%d/512", i%100, i)
}

func tenantHeader(i int) string { return fmt.Sprintf("tenant%d/256,task/512", i) }

// evictingSessionHeader returns the headers of the sweep called evicting, which sends the same requests as the sweep called sessions.
func evictingSessionHeader(i int) string { return sessionHeader(i) }

// routerSweep returns a sweep that sends x requests, each with its own prefix, one after another through one router. The CPU points of requests
// are microseconds per request, not per second. In the sweep called evicting, the prefix caches are so small that they evict prefixes.
func routerSweep(name, axis string, header prefixHeader) Sweep {
	keepTokens := unbounded
	if name == "evicting" {
		keepTokens = 65536
	}
	return Sweep{Name: name, Axis: axis, Values: []float64{1000, 3000, 10000, 30000, 100000}, run: func(clock func() time.Duration, x float64) ([]Point, string) {
		r := newSingleRouter(clock, keepTokens)
		for i := range int(x) {
			r.serveRequest(i, header(i))
		}
		result := Result{Plan: Plan{Nodes: 1, Replicas: singleRouterReplicas, Rate: 1 / requestInterval.Seconds(), MeasureTime: time.Second}, Costs: r.costs, Nodes: []*light.Node{r.node}}
		each := r.costs.Of(r.node, Requests).StepTime / time.Duration(max(r.done, 1))
		r.costs.Reset()
		r.costs.of(r.node, Requests).StepTime = each
		return result.Points(name, x), fmt.Sprintf("%d of %d requests done, %s of CPU each", r.done, int(x), each)
	}}
}

// singleRouter is a router without a fleet. Its methods feed it the events that its daemon and its connections would send, and measure the time
// of its steps.
type singleRouter struct {
	node  *light.Node
	costs *Costs
	// clock measures CPU time; now is the virtual time that is passed to the router.
	clock func() time.Duration
	now   time.Duration
	// done is the number of completed requests.
	done int
}

// newSingleRouter returns a router with a configuration and healthy replicas, whose prefix caches have keepTokens tokens each.
func newSingleRouter(clock func() time.Duration, keepTokens int) *singleRouter {
	shape := light.Shape(1, singleRouterReplicas, 0, 1, []string{"a1"})
	c, err := config.Read(shape.Config)
	if err != nil {
		panic(err)
	}
	for i := range c.Services {
		c.Services[i].PrefixCacheTokens = keepTokens
	}
	r := &singleRouter{node: &light.Node{Name: "n1", Zone: "a1"}, costs: NewCosts(), clock: clock, now: time.Second}
	r.node.Router = router.New(router.Defaults("n1", "b", "a1"))
	r.step(router.Routers{Names: []string{"n1"}, Zones: []string{"a1"}})
	r.step(router.SnapshotUpdate{Snapshot: &config.Snapshot{Version: 1, Config: c}})
	for i := range singleRouterReplicas {
		r.step(router.LoadReport{Replica: fmt.Sprintf("r%d", i+1), InstanceID: "i1", Age: time.Hour})
	}
	r.now += 5 * time.Second
	r.step(router.Tick{})
	r.costs.Reset()
	return r
}

func (r *singleRouter) step(ev router.Event) []router.Decision {
	from := r.clock()
	ds := r.node.Router.Step(r.now, ev)
	r.costs.Stepped(r.node, ev, r.clock()-from)
	return ds
}

// serveRequest lets the i-th request arrive and, if the router places it, run to completion.
func (r *singleRouter) serveRequest(i int, prefix string) {
	r.now += requestInterval
	r.step(router.ControlStatus{})
	req := fmt.Sprintf("q-%08d", i)
	for _, d := range r.step(router.Arrival{Request: req, Service: "model1", Class: "fast", Prefix: prefix, TailTokens: 64}) {
		if d.Verdict != router.Place {
			continue
		}
		r.step(router.ReadyToSend{Request: req, AttemptID: d.AttemptID})
		r.step(router.ResponseHead{Request: req, AttemptID: d.AttemptID, InstanceID: "i1"})
		r.step(router.ResponseStarted{Request: req, AttemptID: d.AttemptID})
		r.step(router.AttemptEnded{Request: req, AttemptID: d.AttemptID, Result: router.Completed})
		r.done++
	}
}

// witnessSweep returns a sweep that queries one node as a witness about x requests. The CPU points are microseconds per query, not per second.
func witnessSweep() Sweep {
	return Sweep{Name: "remembered", Axis: "requests witnessed in ten minutes", Values: []float64{1000, 3000, 10000, 30000, 100000}, run: func(clock func() time.Duration, x float64) ([]Point, string) {
		n := &light.Node{Name: "n1", Zone: "a1", Router: router.New(router.Defaults("n1", "b", "a1"))}
		n.Control = control.New(0, control.Config{Name: "n1", Addr: "10.0.0.1:1", Zone: "a1", BootID: "b", Membership: membership.Defaults(), Gossip: gossip.Defaults()})
		costs := NewCosts()
		for i := range int(x) {
			in := control.Received{From: "10.0.0.2:1", Msg: control.WitnessQuery{QueryID: uint64(i), Request: fmt.Sprintf("q-%08d", i), By: "n2/b"}}
			from := clock()
			n.Control.Step(time.Second, in)
			costs.Stepped(n, in, clock()-from)
		}
		c := costs.of(n, Witnesses)
		c.StepTime /= time.Duration(x)
		r := Result{Plan: Plan{Nodes: 1, Rate: x / 600, MeasureTime: time.Second}, Costs: costs, Nodes: []*light.Node{n}}
		return r.Points("remembered", x), fmt.Sprintf("%s of CPU for each", c.StepTime)
	}}
}
