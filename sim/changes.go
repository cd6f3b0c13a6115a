package sim

import (
	"fmt"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
)

// configurationProbe marks a request that is not part of the traffic and shows which configuration a node applies.
type configurationProbe struct{ revision uint64 }

// largeRouteCount is how many routes a large configuration adds.
const largeRouteCount = 400

func isIdle(r config.Route) bool { return len(r.Name) > 4 && r.Name[:4] == "idle" }

// varyRoutes randomly adds, removes and splits idle routes and leads them to other services. Of the routes with traffic it changes only timeouts.
func (o *operators) varyRoutes(c *config.Config) {
	rng, spec := o.rng, o.s.spec
	for i := range c.Routes {
		r := &c.Routes[i]
		switch {
		case !isIdle(*r):
			if rng.IntN(4) == 0 {
				r.Timeout += time.Duration(rng.IntN(200)) * time.Millisecond
			}
		case rng.IntN(3) == 0:
			service := spec.Services[rng.IntN(len(spec.Services))].Name
			r.TrafficSplit = []config.WeightedService{{Service: service, Weight: 1}}
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
		c.Routes = append(c.Routes, spec.idleRoute(fmt.Sprintf("idle%d", 100+o.lastOrder), rng.IntN(len(spec.Services))))
	}
}

// addRoutes makes a configuration large.
func (o *operators) addRoutes(c *config.Config) {
	for i := range largeRouteCount {
		c.Routes = append(c.Routes, o.s.spec.idleRoute(fmt.Sprintf("idle-big%d.%d", o.lastOrder, i), i))
	}
}

// changeRepeatedly makes changes until the given time, each one gap after the previous one was settled. After each accepted change, it sends
// configuration probes for the changed routes.
func (o *operators) changeRepeatedly(until, gap time.Duration, vary func(c *config.Config)) {
	if o.s.w.Now >= until {
		return
	}
	base := o.base()
	o.put(vary, func(v *version, ok bool) {
		if ok && base != nil {
			o.probeChange(base, v)
		}
		o.s.w.After(gap, func() { o.changeRepeatedly(until, gap, vary) })
	})
}

// changeConcurrently lets two or three operators change the same version at once, at different nodes.
func (o *operators) changeConcurrently(times int, gap time.Duration) {
	if times == 0 {
		return
	}
	if base := o.base(); base != nil {
		for range 2 + o.rng.IntN(2) {
			o.putOn(base, o.revision(), o.varyRoutes, func(v *version, ok bool) {
				if ok {
					o.probeChange(base, v)
				}
			})
		}
	}
	o.s.w.After(gap, func() { o.changeConcurrently(times-1, gap) })
}

// sendInvalid sends configurations that must be rejected, each invalid in another way.
func (o *operators) sendInvalid() {
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
	for i, breakRule := range violations {
		c := base.clone()
		c.Revision = o.lastRevision + 1 + uint64(i)
		breakRule(&c)
		v := &version{revision: c.Revision, doc: c, raw: writeDocument(c), invalid: true}
		o.send(&order{op: control.Edit{ID: o.id(), BaseRevision: base.revision, Apply: putEdit(base.revision, v.raw)}, version: v, baseRevision: base.revision})
	}
	o.lastRevision += uint64(len(violations))
}

// probeChange sends every node requests for routes in which two versions differ: soon after the change, and when it must be applied.
func (o *operators) probeChange(before, after *version) {
	paths := changedPaths(before, after)
	o.rng.Shuffle(len(paths), func(i, j int) { paths[i], paths[j] = paths[j], paths[i] })
	paths = append(paths[:min(len(paths), 3)], prefixOf("never")+"x")
	for _, d := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, o.s.spec.Bounds.Apply + 50*time.Millisecond} {
		o.s.w.After(d, func() {
			for _, n := range o.s.w.Nodes {
				for _, path := range paths {
					o.s.probeNode(n, path, after.revision)
				}
			}
		})
	}
}

// changedPaths returns up to 21 paths of idle routes that two versions send to different services, or that one of them lacks.
func changedPaths(before, after *version) []string {
	var paths []string
	for _, r := range append(before.clone().Routes, after.doc.Routes...) {
		path := prefixOf(r.Name) + "x"
		if !isIdle(r) || slices.Contains(paths, path) || len(paths) > 20 {
			continue
		}
		routeBefore, routeAfter := before.route(path), after.route(path)
		if routeBefore == nil || routeAfter == nil || !slices.Equal(routeBefore.TrafficSplit, routeAfter.TrafficSplit) {
			paths = append(paths, path)
		}
	}
	return paths
}

// probeNode sends a request with no effect to a node, to see which version it applies.
func (s *site) probeNode(n *Node, path string, revision uint64) {
	if !n.Alive {
		return
	}
	s.generator.lastRequest++
	q := &clientRequest{
		s: s, id: fmt.Sprintf("look%d", s.generator.lastRequest), class: &s.probeClass, path: path, zone: n.Zone, arrivedAt: s.w.Now, deadline: s.w.Now + time.Second, events: 1, promptTokens: 1,
		workTime: 5 * time.Millisecond, attempts: 1,
	}
	c := &clientAttempt{request: q, id: q.id, node: n, path: path, sent: s.w.Now, timeout: time.Second, probe: &configurationProbe{revision: revision}}
	s.rules.attemptSubmitted(c)
	c.start()
}
