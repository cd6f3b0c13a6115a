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
	soloReplicas = 8
	soloEvery    = time.Millisecond
	unbounded    = 1 << 30
)

type headers func(i int) string

func prefixes(i int) string { return fmt.Sprintf("sys/256,shared%d/512", i) }

func sessions(i int) string {
	return fmt.Sprintf("sys/256,shared%d/512,session%d/512", i%100, i)
}

func tenants(i int) string { return fmt.Sprintf("tenant%d/256,task/512", i) }

func evicting(i int) string { return sessions(i) }

// solo takes x requests, each with a prefix of its own, one after another through one router.
func solo(name, axis string, of headers) Sweep {
	keep := unbounded
	if name == "evicting" {
		keep = 65536
	}
	return Sweep{Name: name, Axis: axis, Xs: []float64{1000, 3000, 10000, 30000, 100000}, run: func(clock func() time.Duration, x float64) ([]Point, string) {
		l := newSoloRouter(clock, keep)
		for i := range int(x) {
			l.request(i, of(i))
		}
		r := Result{Plan: Plan{Nodes: 1, Replicas: soloReplicas, Rate: 1 / soloEvery.Seconds(), Measured: time.Second}, Costs: l.costs, Nodes: []*light.Node{l.node}}
		each := l.costs.Of(l.node, Requests).Step / time.Duration(max(l.done, 1))
		l.costs.Reset()
		l.costs.of(l.node, Requests).Step = each
		return r.Points(name, x), fmt.Sprintf("%d of %d requests done, %s of CPU each", l.done, int(x), each)
	}}
}

// A soloRouter is given what its daemon and its connections would tell it.
type soloRouter struct {
	node  *light.Node
	costs *Costs
	clock func() time.Duration
	now   time.Duration
	done  int
}

func newSoloRouter(clock func() time.Duration, keep int) *soloRouter {
	shape := light.Shape(1, soloReplicas, 0, 1, []string{"a1"})
	c, err := config.Read(shape.Config)
	if err != nil {
		panic(err)
	}
	for i := range c.Services {
		c.Services[i].PrefixCacheTokens = keep
	}
	l := &soloRouter{node: &light.Node{Name: "n1", Zone: "a1"}, costs: NewCosts(), clock: clock, now: time.Second}
	l.node.Router = router.New(router.Defaults("n1", "b", "a1"))
	l.step(router.Routers{Names: []string{"n1"}, Zones: []string{"a1"}})
	l.step(router.SnapshotUpdate{Snapshot: &config.Snapshot{Version: 1, Config: c}})
	for i := range soloReplicas {
		l.step(router.LoadReport{Replica: fmt.Sprintf("r%d", i+1), InstanceID: "i1", Age: time.Hour})
	}
	l.now += 5 * time.Second
	l.step(router.Tick{})
	l.costs.Reset()
	return l
}

func (l *soloRouter) step(ev router.Event) []router.Decision {
	from := l.clock()
	ds := l.node.Router.Step(l.now, ev)
	l.costs.Stepped(l.node, ev, l.clock()-from)
	return ds
}

func (l *soloRouter) request(i int, prefix string) {
	l.now += soloEvery
	l.step(router.ControlStatus{})
	req := fmt.Sprintf("q-%08d", i)
	for _, d := range l.step(router.Arrival{Request: req, Service: "model1", Class: "fast", Prefix: prefix, TailTokens: 64}) {
		if d.Verdict != router.Place {
			continue
		}
		l.step(router.ReadyToSend{Request: req, AttemptID: d.AttemptID})
		l.step(router.ResponseHead{Request: req, AttemptID: d.AttemptID, InstanceID: "i1"})
		l.step(router.ResponseStarted{Request: req, AttemptID: d.AttemptID})
		l.step(router.AttemptEnded{Request: req, AttemptID: d.AttemptID, Result: router.Completed})
		l.done++
	}
}

// remembered asks one node as a witness for x requests.
func remembered() Sweep {
	return Sweep{Name: "remembered", Axis: "requests witnessed in ten minutes", Xs: []float64{1000, 3000, 10000, 30000, 100000}, run: func(clock func() time.Duration, x float64) ([]Point, string) {
		n := &light.Node{Name: "n1", Zone: "a1", Router: router.New(router.Defaults("n1", "b", "a1"))}
		n.Control = control.New(0, control.Config{Name: "n1", Addr: "10.0.0.1:1", Zone: "a1", Boot: "b", Membership: membership.Defaults(), Gossip: gossip.Defaults()})
		costs := NewCosts()
		for i := range int(x) {
			in := control.Received{From: "10.0.0.2:1", Msg: control.WitnessQuery{QueryID: uint64(i), Request: fmt.Sprintf("q-%08d", i), By: "n2/b"}}
			from := clock()
			n.Control.Step(time.Second, in)
			costs.Stepped(n, in, clock()-from)
		}
		c := costs.of(n, Witnesses)
		c.Step /= time.Duration(x)
		r := Result{Plan: Plan{Nodes: 1, Rate: x / 600, Measured: time.Second}, Costs: costs, Nodes: []*light.Node{n}}
		return r.Points("remembered", x), fmt.Sprintf("%s of CPU for each", c.Step)
	}}
}
