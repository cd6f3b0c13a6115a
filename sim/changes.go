package sim

import (
	"fmt"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
)

// A look is a request that nobody misses: it shows which document a node goes by.
type configurationProbe struct{ revision uint64 }

const bigRoutes = 400

func isIdle(r config.Route) bool { return len(r.Name) > 4 && r.Name[:4] == "idle" }

// vary moves, splits, adds and drops idle routes, and changes time-outs of all.
func (o *operators) vary(c *config.Config) {
	rng, spec := o.rng, o.s.spec
	for i := range c.Routes {
		r := &c.Routes[i]
		switch {
		case !isIdle(*r):
			if rng.IntN(4) == 0 {
				r.Timeout += time.Duration(rng.IntN(200)) * time.Millisecond
			}
		case rng.IntN(3) == 0:
			other := spec.Services[rng.IntN(len(spec.Services))].Name
			r.TrafficSplit = []config.WeightedService{{Service: other, Weight: 1}}
		case rng.IntN(4) == 0:
			r.TrafficSplit = nil
			for _, x := range spec.Services {
				r.TrafficSplit = append(r.TrafficSplit, config.WeightedService{Service: x.Name, Weight: float64(1 + rng.IntN(9))})
			}
		}
	}
	if rng.IntN(2) == 0 {
		if at := slices.IndexFunc(c.Routes, isIdle); at >= 0 {
			c.Routes = slices.Delete(c.Routes, at, at+1)
		}
	}
	if rng.IntN(2) == 0 {
		c.Routes = append(c.Routes, spec.idle(fmt.Sprintf("idle%d", 100+o.n), rng.IntN(len(spec.Services))))
	}
}

func (o *operators) grow(c *config.Config) {
	for i := range bigRoutes {
		c.Routes = append(c.Routes, o.s.spec.idle(fmt.Sprintf("idle-big%d.%d", o.n, i), i))
	}
}

// change has one document after the other taken, with looks at what differs.
func (o *operators) change(until, gap time.Duration, vary func(c *config.Config)) {
	if o.s.w.Now >= until {
		return
	}
	base := o.base()
	o.put(vary, func(v *version, ok bool) {
		if ok && base != nil {
			o.looks(base, v)
		}
		o.s.w.After(gap, func() { o.change(until, gap, vary) })
	})
}

// race has several operators change the same version at once, at different nodes.
func (o *operators) race(times int, gap time.Duration) {
	if times == 0 {
		return
	}
	if base := o.base(); base != nil {
		for range 2 + o.rng.IntN(2) {
			o.put2(base, o.revision(), o.vary, func(v *version, ok bool) {
				if ok {
					o.looks(base, v)
				}
			})
		}
	}
	o.s.w.After(gap, func() { o.race(times-1, gap) })
}

// flawed sends documents that must not be taken, each invalid in another way.
func (o *operators) flawed() {
	base := o.base()
	if base == nil {
		return
	}
	violations := []func(c *config.Config){
		func(c *config.Config) {
			c.Routes[0].TrafficSplit = []config.WeightedService{{Service: "nobody", Weight: 1}}
		},
		func(c *config.Config) {
			c.Routes[1].TrafficSplit = []config.WeightedService{{Service: o.s.spec.Services[0].Name}}
		},
		func(c *config.Config) { c.Routes[2].Timeout = 0 },
		func(c *config.Config) { c.Routes[0].Prefix = c.Routes[1].Prefix },
		func(c *config.Config) { c.Revision = base.revision },
	}
	for i, flaw := range violations {
		c := base.clone()
		c.Revision = o.last + 1 + uint64(i)
		flaw(&c)
		v := &version{revision: c.Revision, doc: c, raw: writeDocument(c), flawed: true}
		o.send(&order{op: control.Edit{ID: o.id(), BaseRevision: base.revision, Apply: putEdit(base.revision, v.raw)}, v: v, base: base.revision})
	}
	o.last += uint64(len(violations))
}

// looks asks every node for the routes that two versions differ in, soon after the change and when it must be obeyed.
func (o *operators) looks(was, is *version) {
	paths := changedPaths(was, is)
	o.rng.Shuffle(len(paths), func(i, j int) { paths[i], paths[j] = paths[j], paths[i] })
	paths = append(paths[:min(len(paths), 3)], prefixOf("never")+"x")
	for _, d := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, o.s.spec.Bounds.Apply + 50*time.Millisecond} {
		o.s.w.After(d, func() {
			for _, n := range o.s.w.Nodes {
				for _, path := range paths {
					o.s.lookAt(n, path, is.revision)
				}
			}
		})
	}
}

// changedPaths are paths of idle routes that two versions send elsewhere, or that one of them lacks; some twenty at most.
func changedPaths(was, is *version) []string {
	var paths []string
	for _, r := range append(was.clone().Routes, is.doc.Routes...) {
		path := prefixOf(r.Name) + "x"
		if !isIdle(r) || slices.Contains(paths, path) || len(paths) > 20 {
			continue
		}
		a, b := was.route(path), is.route(path)
		if a == nil || b == nil || !slices.Equal(a.TrafficSplit, b.TrafficSplit) {
			paths = append(paths, path)
		}
	}
	return paths
}

func (s *site) lookAt(n *Node, path string, revision uint64) {
	if !n.Alive {
		return
	}
	s.load.n++
	q := &clientRequest{
		s: s, id: fmt.Sprintf("look%d", s.load.n), class: &s.probeClass, path: path, domain: n.Zone, at: s.w.Now, deadline: s.w.Now + time.Second, events: 1, prompt: 1,
		work: 5 * time.Millisecond, attempts: 1,
	}
	c := &clientAttempt{request: q, id: q.id, n: n, path: path, sent: s.w.Now, timeout: time.Second, probe: &configurationProbe{revision: revision}}
	s.rules.submitted(c)
	c.start()
}
