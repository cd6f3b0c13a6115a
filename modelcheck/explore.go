package modelcheck

import (
	"fmt"
	"runtime"
	"strings"
)

// Event is one step of a model: its kind and up to two operands, whose meaning depends on the model and the kind.
type Event struct {
	Kind   uint8
	Target uint8
	Arg    uint16
}

// State is one state of a model.
type State[S any] interface {
	// Events returns the events that are possible in this state, in a fixed order.
	Events() []Event
	// Apply returns the state after one of these events and does not change the receiver.
	Apply(e Event) S
	// Fingerprint returns a hash of everything that affects later events and checks.
	Fingerprint() uint64
	// BrokenInvariant returns the invariant that this state breaks, or nil.
	BrokenInvariant() error
	// Describe describes an event of this state, for traces.
	Describe(e Event) string
}

// Bounds limit an exploration; 0 is no limit. Workers is the number of goroutines that expand states, by default GOMAXPROCS but at most 4.
type Bounds struct {
	MaxStates int
	MaxDepth  int
	Workers   int
}

// Report is the result of an exploration.
type Report struct {
	// States is the number of distinct states. Transitions also counts the transitions to states that were visited before.
	States, Transitions int
	// Depth is the number of events up to which all traces were explored. Complete reports that all reachable states were visited.
	Depth    int
	Complete bool
	// Err is the first broken invariant, and Trace a shortest trace to it.
	Err   error
	Trace []string
}

// String returns the counts and, if an invariant is broken, the trace with one event per line.
func (r Report) String() string {
	text := fmt.Sprintf("%d states, %d transitions, depth %d, complete %t", r.States, r.Transitions, r.Depth, r.Complete)
	if r.Err == nil {
		return text
	}
	lines := []string{fmt.Sprintf("%s\n%v after %d events:", text, r.Err, len(r.Trace))}
	for at, line := range r.Trace {
		lines = append(lines, fmt.Sprintf("%3d  %s", at+1, line))
	}
	return strings.Join(lines, "\n")
}

// origin is the transition by which a state was first reached.
type origin struct {
	parent int32
	event  Event
}

// frontierState is a state that is still to be expanded; id is its index in explorer.origins.
type frontierState[S any] struct {
	id    int32
	state S
}

// successor is the state after a transition. The state itself is only kept if it was not visited before.
type successor[S any] struct {
	origin
	hash  uint64
	state S
	err   error
}

// explorer is an exploration in progress.
type explorer[S State[S]] struct {
	bounds  Bounds
	start   S
	visited map[uint64]struct{}
	origins []origin
	report  Report
}

// chunkStates is the number of states that a worker expands at a time, and batchChunks the number of chunks that are expanded between two merges.
const (
	chunkStates = 256
	batchChunks = 64
)

// Explore visits the states that are reachable from start, breadth first, until an invariant is broken or a bound is reached. The result is the
// same on every run, for any number of workers.
func Explore[S State[S]](start S, bounds Bounds) Report {
	if bounds.Workers == 0 {
		bounds.Workers = min(runtime.GOMAXPROCS(0), 4)
	}
	x := &explorer[S]{bounds: bounds, start: start, visited: map[uint64]struct{}{start.Fingerprint(): {}}, origins: []origin{{parent: -1}}}
	x.report.States = 1
	frontier := []frontierState[S]{{state: start}}
	for len(frontier) > 0 && (bounds.MaxDepth == 0 || x.report.Depth < bounds.MaxDepth) {
		next, done := x.exploreLevel(frontier)
		if done {
			return x.report
		}
		frontier = next
		x.report.Depth++
	}
	x.report.Complete = len(frontier) == 0
	return x.report
}

// exploreLevel expands the states of one depth. It returns the states of the next depth and whether the exploration has ended.
func (x *explorer[S]) exploreLevel(frontier []frontierState[S]) ([]frontierState[S], bool) {
	var done bool
	var next []frontierState[S]
	for from := 0; from < len(frontier); from += chunkStates * batchChunks {
		batch := frontier[from:min(from+chunkStates*batchChunks, len(frontier))]
		for _, successors := range x.expand(batch) {
			for _, s := range successors {
				if next, done = x.merge(next, s); done {
					return nil, true
				}
			}
		}
		clear(batch)
	}
	return next, false
}

// merge adds a new state to the visited ones and to next. It reports whether the exploration has ended.
func (x *explorer[S]) merge(next []frontierState[S], s successor[S]) ([]frontierState[S], bool) {
	x.report.Transitions++
	if _, known := x.visited[s.hash]; known {
		return next, false
	}
	x.visited[s.hash] = struct{}{}
	id := int32(len(x.origins))
	x.origins = append(x.origins, s.origin)
	x.report.States++
	if s.err != nil {
		x.report.Err, x.report.Trace = s.err, x.trace(id)
		return nil, true
	}
	next = append(next, frontierState[S]{id: id, state: s.state})
	return next, x.bounds.MaxStates > 0 && x.report.States >= x.bounds.MaxStates
}

// expand distributes the states in chunks to the workers and returns the successors by chunk, in order. x.visited is only read meanwhile.
func (x *explorer[S]) expand(states []frontierState[S]) [][]successor[S] {
	successors := make([][]successor[S], (len(states)+chunkStates-1)/chunkStates)
	chunks := make(chan int, len(successors))
	for i := range successors {
		chunks <- i
	}
	close(chunks)
	done := make(chan struct{})
	for range x.bounds.Workers {
		go func() {
			for i := range chunks {
				successors[i] = x.successors(states[i*chunkStates : min((i+1)*chunkStates, len(states))])
			}
			done <- struct{}{}
		}()
	}
	for range x.bounds.Workers {
		<-done
	}
	return successors
}

// successors returns the successors of the states, in the order of their events.
func (x *explorer[S]) successors(states []frontierState[S]) []successor[S] {
	var all []successor[S]
	for _, s := range states {
		for _, e := range s.state.Events() {
			state := s.state.Apply(e)
			next := successor[S]{origin: origin{parent: s.id, event: e}, hash: state.Fingerprint()}
			if _, known := x.visited[next.hash]; !known {
				next.state, next.err = state, state.BrokenInvariant()
			}
			all = append(all, next)
		}
	}
	return all
}

// trace describes the events from the start to a state.
func (x *explorer[S]) trace(id int32) []string {
	var events []Event
	for ; id > 0; id = x.origins[id].parent {
		events = append(events, x.origins[id].event)
	}
	state := x.start
	var lines []string
	for i := len(events) - 1; i >= 0; i-- {
		lines = append(lines, state.Describe(events[i]))
		state = state.Apply(events[i])
	}
	return lines
}
