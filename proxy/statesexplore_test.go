package proxy

import "github.com/mallowbridge/mallowbridge/config"

// exploration is the result of explore. The violation is the first rule that was broken, with the shortest sequence of inputs that leads to
// it, or empty.
type exploration struct {
	states, steps, depth int
	violation            string
}

// explore visits every state that any sequence of at most depth inputs reaches. It ends earlier once no input leads to a new state.
func explore(route *config.Route, depth int) exploration {
	x := explorer{route: route, inputs: append(routerInputs(), connectionInputs()...), visited: []visitedWorld{{}}, seen: map[world]bool{{}: true}}
	depthReached := 0
	for from := 0; depthReached < depth && from < len(x.visited); depthReached++ {
		until := len(x.visited)
		for at := from; at < until; at++ {
			if violation := x.expand(at); violation != "" {
				return exploration{states: len(x.visited), steps: x.steps, depth: depthReached, violation: violation}
			}
		}
		from = until
	}
	return exploration{states: len(x.visited), steps: x.steps, depth: depthReached}
}

// explorer visits the states of an exchange, each once.
type explorer struct {
	route   *config.Route
	inputs  []input
	visited []visitedWorld
	seen    map[world]bool
	steps   int
}

// expand applies each input to a state. It returns the rule that a step broke, with the inputs that lead to it, or an empty string.
func (x *explorer) expand(at int) string {
	for _, in := range x.inputs {
		w := x.visited[at].world
		e := w.restore(x.route)
		before := e.phase
		actions, happens := in.apply(&e, &w)
		if !happens {
			continue
		}
		x.steps++
		violation := w.checkStep(&e, x.route, before, in.name, actions)
		w.save(&e)
		if violation != "" {
			return violation + ": " + inputsTo(append(x.visited, visitedWorld{w, at, in.name}), len(x.visited))
		}
		if !x.seen[w] {
			x.seen[w] = true
			x.visited = append(x.visited, visitedWorld{w, at, in.name})
		}
	}
	return ""
}
