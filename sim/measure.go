package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/sim/shape"
	"github.com/mallowbridge/mallowbridge/sim/workload"
)

// Measurement is a named series of measured values, mostly times in milliseconds.
type Measurement struct {
	Name string
	Ms   []int64
}

// measurement runs the measurements of one shape; seed is the current one.
type measurement struct {
	shape   shape.Shape
	seed    uint64
	results []Measurement
}

// Measure injects one fault at a time into an otherwise undisturbed fleet under load and measures how long the fleet takes to react, for each
// seed.
func Measure(shape shape.Shape, from, seeds uint64) []Measurement {
	g := &measurement{shape: shape}
	for g.seed = from; g.seed < from+seeds; g.seed++ {
		g.failureDetection("killed", func(n *Node) { n.kill() })
		g.failureDetection("frozen", func(n *Node) { n.freeze() })
		g.failureDetection("cut off", func(n *Node) { n.w.isolateNodes([]*Node{n}, time.Minute, true, false) })
		g.isolation()
		g.wakeup()
		g.configPut()
		g.roleHandover()
		g.replicaRestart()
		g.fullStop()
		g.ttlTracking()
		g.falsePredictions()
	}
	return g.results
}

// world returns a fleet that has been running under load for 7 s.
func (g *measurement) world() *World {
	w := New(Scenario{Seed: g.seed, Shape: g.shape, Load: workload.Load{Classes: g.shape.Classes, Rate: 60, PrefixesPerClass: 24, HotRatio: 0.1}})
	w.Boot()
	w.SubmitLoad(5*time.Second, 4*time.Minute)
	w.Run(12 * time.Second)
	return w
}

// timeUntil runs the world until the condition holds, for at most 30 s after from, and adds the time since from under the name.
func (g *measurement) timeUntil(name string, w *World, from time.Duration, until func() bool) {
	for !until() && w.Now < from+30*time.Second {
		w.Run(w.Now + 5*time.Millisecond)
	}
	g.add(name, (w.Now - from).Milliseconds())
}

func (g *measurement) add(name string, ms int64) {
	for i := range g.results {
		if g.results[i].Name == name {
			g.results[i].Ms = append(g.results[i].Ms, ms)
			return
		}
	}
	g.results = append(g.results, Measurement{Name: name, Ms: []int64{ms}})
}

// checkOthers reports whether the test holds for all (or, if all is false, any) live nodes other than n.
func (w *World) checkOthers(n *Node, all bool, test func(o *Node) bool) bool {
	for _, o := range w.Nodes {
		if o != n && o.Alive && !o.frozen && test(o) != all {
			return !all
		}
	}
	return all
}

// failureDetection measures when the first and the last node consider a node dead.
func (g *measurement) failureDetection(name string, inject func(n *Node)) {
	w := g.world()
	n := w.Nodes[w.rng.IntN(len(w.Nodes))]
	from := w.Now
	inject(n)
	dead := func(o *Node) bool {
		m, _ := o.node.Members.Table.Get(n.Name)
		return m.State == membership.Dead
	}
	g.timeUntil(name+": first node knows", w, from, func() bool { return w.checkOthers(n, false, dead) })
	g.timeUntil(name+": all nodes know", w, from, func() bool { return w.checkOthers(n, true, dead) })
}

// isolation measures when a node that is cut off stops serving, and when it serves again after the partition.
func (g *measurement) isolation() {
	w := g.world()
	n := w.Nodes[w.rng.IntN(len(w.Nodes))]
	from := w.Now
	w.isolateNodes([]*Node{n}, 6*time.Second, true, false)
	g.timeUntil("cut off: it denies", w, from, func() bool { return n.router.NotReady(n.localTime()) != "" })
	w.Run(from + 6*time.Second)
	g.timeUntil("cut healed: it serves", w, w.Now, func() bool { return n.router.NotReady(n.localTime()) == "" })
}

// wakeup measures when a node serves again after it was frozen for 6 s.
func (g *measurement) wakeup() {
	w := g.world()
	n := w.Nodes[w.rng.IntN(len(w.Nodes))]
	n.freeze()
	w.Run(w.Now + 6*time.Second)
	n.thaw()
	w.Run(w.Now + 100*time.Millisecond)
	g.timeUntil("woken: it serves", w, w.Now-100*time.Millisecond, func() bool { return n.router.NotReady(n.localTime()) == "" })
}

// configPut measures when a put is accepted and when all nodes apply it.
func (g *measurement) configPut() {
	w := g.world()
	version := uint64(0)
	from := w.Now
	w.Put(w.someNode(), w.Nodes[0].router.Version(), w.nextConfig(false), func(a control.Answer) {
		if a.Err == nil {
			version = a.Value.Version
		}
	})
	g.timeUntil("put: accepted", w, from, func() bool { return version > 0 })
	g.timeUntil("put: all nodes obey, after yes", w, w.Now, func() bool {
		return w.checkOthers(nil, true, func(o *Node) bool { return o.router.Version() >= version })
	})
}

// roleHandover measures when another node holds the lease of a killed node's singleton role.
func (g *measurement) roleHandover() {
	w := g.world()
	role := "probe/" + g.shape.Zones[w.rng.IntN(len(g.shape.Zones))]
	holder := func() *Node {
		for _, o := range w.Nodes {
			for _, d := range o.node.HeldRoles(o.localTime()) {
				if o.Alive && d == role {
					return o
				}
			}
		}
		return nil
	}
	n := holder()
	if n == nil {
		return
	}
	from := w.Now
	n.kill()
	g.timeUntil("duty: held by another", w, from, func() bool { return holder() != nil })
}

// replicaRestart measures when all nodes distrust a crashed replica's instance, and when they trust the new one.
func (g *measurement) replicaRestart() {
	w := g.world()
	r := w.Replicas[w.rng.IntN(len(w.Replicas))]
	old := r.model.Instance
	r.crash()
	from := w.Now
	distrusts := func(o *Node) bool { return o.router.TrustedInstance(r.Name) != old }
	g.timeUntil("replica crashed: all nodes see it", w, from, func() bool { return w.checkOthers(nil, true, distrusts) })
	w.Run(w.Now + time.Second)
	from = w.Now
	r.start(w.Now)
	g.timeUntil("replica is back: all nodes see it", w, from, func() bool {
		return w.checkOthers(nil, true, func(o *Node) bool { return o.router.TrustedInstance(r.Name) == r.model.Instance })
	})
}

// fullStop measures when the first and the last node serve after all lost power.
func (g *measurement) fullStop() {
	w := g.world()
	for _, n := range w.Nodes {
		n.kill()
		if n.Disk != nil {
			n.Disk.PowerLoss()
		}
	}
	w.Run(w.Now + 5*time.Second)
	from := w.Now
	for _, n := range w.Nodes {
		w.After(time.Duration(w.rng.Int64N(int64(time.Second))), n.start)
	}
	isReady := func(n *Node) bool { return n.router.NotReady(n.localTime()) == "" }
	g.timeUntil("full stop: first node serves", w, from, func() bool { return w.checkOthers(nil, false, isReady) })
	g.timeUntil("full stop: all nodes serve", w, from, func() bool { return w.Now > from+time.Second && w.checkOthers(nil, true, isReady) })
}
