package proxy

import "github.com/mallowbridge/mallowbridge/config"

// An exploration is what explore saw: breach is the first broken rule, with the shortest order of events that leads to it, or "".
type exploration struct {
	states, steps, depth int
	breach               string
}

// explore looks at every order of events to the depth. It ends sooner where no world is new.
func explore(route *config.Route, depth int) exploration {
	x := explorer{route: route, events: append(routerEvents(), connectionEvents()...), nodes: []node{{}}, seen: map[world]bool{{}: true}}
	deepest := 0
	for from := 0; deepest < depth && from < len(x.nodes); deepest++ {
		until := len(x.nodes)
		for at := from; at < until; at++ {
			if breach := x.expand(at); breach != "" {
				return exploration{states: len(x.nodes), steps: x.steps, depth: deepest, breach: breach}
			}
		}
		from = until
	}
	return exploration{states: len(x.nodes), steps: x.steps, depth: deepest}
}

// explorer visits the states of an exchange, each once.
type explorer struct {
	route  *config.Route
	events []event
	nodes  []node
	seen   map[world]bool
	steps  int
}

// expand applies each event to a state. It says what rule a step broke, and by which way, or "".
func (x *explorer) expand(at int) string {
	for _, v := range x.events {
		w := x.nodes[at].w
		e := w.restore(x.route)
		before := e.phase
		actions, happens := v.apply(&e, &w)
		if !happens {
			continue
		}
		x.steps++
		why := w.judge(&e, x.route, before, v.name, actions)
		w.keep(&e)
		if why != "" {
			return why + ": " + wayTo(append(x.nodes, node{w, at, v.name}), len(x.nodes))
		}
		if !x.seen[w] {
			x.seen[w] = true
			x.nodes = append(x.nodes, node{w, at, v.name})
		}
	}
	return ""
}
