package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/sim/shape"
	"github.com/mallowbridge/mallowbridge/sim/workload"
)

// Measurement is a name and the times measured under it, in milliseconds.
type Measurement struct {
	Name string
	Ms   []int64
}

type measurement struct {
	shape   shape.Shape
	seed    uint64
	results []Measurement
}

// Measure breaks one thing at a time in a calm fleet under load and times how long the fleet takes, for each seed.
func Measure(shape shape.Shape, from, seeds uint64) []Measurement {
	g := &measurement{shape: shape}
	for g.seed = from; g.seed < from+seeds; g.seed++ {
		g.lost("killed", func(n *Node) { n.kill() })
		g.lost("frozen", func(n *Node) { n.freeze() })
		g.lost("cut off", func(n *Node) { n.w.isolate([]*Node{n}, time.Minute, true, false) })
		g.alone()
		g.wakes()
		g.orders()
		g.handover()
		g.restart()
		g.stop()
		g.tracks()
		g.falseWarm()
	}
	return g.results
}

func (g *measurement) world() *World {
	w := New(Scenario{Seed: g.seed, Shape: g.shape, Load: workload.Load{Classes: g.shape.Classes, Rate: 60, PrefixesPerClass: 24, HotRatio: 0.1}})
	w.Boot()
	w.SubmitLoad(5*time.Second, 4*time.Minute)
	w.Run(12 * time.Second)
	return w
}

func (g *measurement) read(name string, w *World, from time.Duration, until func() bool) {
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

func (w *World) others(n *Node, all bool, test func(o *Node) bool) bool {
	for _, o := range w.Nodes {
		if o != n && o.Alive && !o.frozen && test(o) != all {
			return !all
		}
	}
	return all
}

func (g *measurement) lost(how string, harm func(n *Node)) {
	w := g.world()
	n := w.Nodes[w.rng.IntN(len(w.Nodes))]
	from := w.Now
	harm(n)
	dead := func(o *Node) bool {
		m, _ := o.node.Members.Table.Get(n.Name)
		return m.State == membership.Dead
	}
	g.read(how+": first node knows", w, from, func() bool { return w.others(n, false, dead) })
	g.read(how+": all nodes know", w, from, func() bool { return w.others(n, true, dead) })
}

func (g *measurement) alone() {
	w := g.world()
	n := w.Nodes[w.rng.IntN(len(w.Nodes))]
	from := w.Now
	w.isolate([]*Node{n}, 6*time.Second, true, false)
	g.read("cut off: it denies", w, from, func() bool { return n.router.NotReady(n.local()) != "" })
	w.Run(from + 6*time.Second)
	g.read("cut healed: it serves", w, w.Now, func() bool { return n.router.NotReady(n.local()) == "" })
}

func (g *measurement) wakes() {
	w := g.world()
	n := w.Nodes[w.rng.IntN(len(w.Nodes))]
	n.freeze()
	w.Run(w.Now + 6*time.Second)
	n.thaw()
	w.Run(w.Now + 100*time.Millisecond)
	g.read("woken: it serves", w, w.Now-100*time.Millisecond, func() bool { return n.router.NotReady(n.local()) == "" })
}

func (g *measurement) orders() {
	w := g.world()
	version := uint64(0)
	from := w.Now
	w.Put(w.someNode(), w.Nodes[0].router.Version(), w.varied(false), func(a control.Answer) {
		if a.Err == nil {
			version = a.Value.Version
		}
	})
	g.read("put: accepted", w, from, func() bool { return version > 0 })
	g.read("put: all nodes obey, after yes", w, w.Now, func() bool { return w.others(nil, true, func(o *Node) bool { return o.router.Version() >= version }) })
}

func (g *measurement) handover() {
	w := g.world()
	role := "probe/" + g.shape.Zones[w.rng.IntN(len(g.shape.Zones))]
	holder := func() *Node {
		for _, o := range w.Nodes {
			for _, d := range o.node.HeldRoles(o.local()) {
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
	g.read("duty: held by another", w, from, func() bool { return holder() != nil })
}

func (g *measurement) restart() {
	w := g.world()
	r := w.Replicas[w.rng.IntN(len(w.Replicas))]
	old := r.model.Instance
	r.crash()
	from := w.Now
	doubts := func(o *Node) bool { return o.router.TrustedInstance(r.Name) != old }
	g.read("replica crashed: all nodes see it", w, from, func() bool { return w.others(nil, true, doubts) })
	w.Run(w.Now + time.Second)
	from = w.Now
	r.start(w.Now)
	g.read("replica is back: all nodes see it", w, from, func() bool {
		return w.others(nil, true, func(o *Node) bool { return o.router.TrustedInstance(r.Name) == r.model.Instance })
	})
}

func (g *measurement) stop() {
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
	ready := func(n *Node) bool { return n.router.NotReady(n.local()) == "" }
	g.read("full stop: first node serves", w, from, func() bool { return w.others(nil, false, ready) })
	g.read("full stop: all nodes serve", w, from, func() bool { return w.Now > from+time.Second && w.others(nil, true, ready) })
}
