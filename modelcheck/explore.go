package modelcheck

import (
	"fmt"
	"runtime"
	"strings"
)

// Event is one step that a world can take: its kind and up to two operands, whose meaning is the world's own.
type Event struct {
	Kind   uint8
	Target uint8
	Arg    uint16
}

// State is one state of a model. Apply leaves the receiver as it was and returns the next state.
type State[W any] interface {
	// Events are the steps that are possible now, in a fixed order.
	Events() []Event
	// Apply takes one of them.
	Apply(e Event) W
	// Fingerprint is a hash of all that decides the steps to come and their checks.
	Fingerprint() uint64
	// BrokenInvariant is the invariant that this state breaks, or nil.
	BrokenInvariant() error
	// Describe tells in words what an event of this state is.
	Describe(e Event) string
}

// Bounds end an exploration; zero is no bound. Workers is how many goroutines expand states.
type Bounds struct {
	MaxStates int
	MaxDepth  int
	Workers   int
}

// Report is what an exploration found.
type Report struct {
	// States are distinct, Transitions counts also those that led to a state seen before.
	States, Transitions int
	// Depth is the longest trace of which every shorter one was explored; Complete tells that no state was left.
	Depth    int
	Complete bool
	// Err is the first broken invariant and Trace the shortest way to it.
	Err   error
	Trace []string
}

// String tells the counts and, if an invariant broke, the trace, one event a line.
func (r Report) String() string {
	text := fmt.Sprintf("%d states, %d transitions, depth %d, whole %t", r.States, r.Transitions, r.Depth, r.Complete)
	if r.Err == nil {
		return text
	}
	lines := []string{fmt.Sprintf("%s\n%v after %d events:", text, r.Err, len(r.Trace))}
	for at, line := range r.Trace {
		lines = append(lines, fmt.Sprintf("%3d  %s", at+1, line))
	}
	return strings.Join(lines, "\n")
}

// origin is how a state was first reached.
type origin struct {
	parent int32
	event  Event
}

type explored[W any] struct {
	id    int32
	world W
}

type successor[W any] struct {
	origin
	hash  uint64
	world W
	err   error
}

type explorer[W State[W]] struct {
	bounds  Bounds
	start   W
	visited map[uint64]struct{}
	origins []origin
	report  Report
}

// chunk is how many states one worker expands at a time, and batch how many chunks are expanded between two merges.
const (
	chunk = 256
	batch = 64
)

// Explore visits the states that can be reached from start, breadth first, until an invariant breaks or a bound is met. Its result
// is the same on every run, whatever the number of workers.
func Explore[W State[W]](start W, bounds Bounds) Report {
	if bounds.Workers == 0 {
		bounds.Workers = min(runtime.GOMAXPROCS(0), 4)
	}
	x := &explorer[W]{bounds: bounds, start: start, visited: map[uint64]struct{}{start.Fingerprint(): {}}, origins: []origin{{parent: -1}}}
	x.report.States = 1
	frontier := []explored[W]{{world: start}}
	for len(frontier) > 0 && (bounds.MaxDepth == 0 || x.report.Depth < bounds.MaxDepth) {
		next, done := x.level(frontier)
		if done {
			return x.report
		}
		frontier = next
		x.report.Depth++
	}
	x.report.Complete = len(frontier) == 0
	return x.report
}

func (x *explorer[W]) level(frontier []explored[W]) ([]explored[W], bool) {
	var done bool
	var next []explored[W]
	for from := 0; from < len(frontier); from += chunk * batch {
		part := frontier[from:min(from+chunk*batch, len(frontier))]
		for _, visited := range x.expand(part) {
			for _, s := range visited {
				if next, done = x.merge(next, s); done {
					return nil, true
				}
			}
		}
		clear(part)
	}
	return next, false
}

func (x *explorer[W]) merge(next []explored[W], s successor[W]) ([]explored[W], bool) {
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
	next = append(next, explored[W]{id: id, world: s.world})
	return next, x.bounds.MaxStates > 0 && x.report.States >= x.bounds.MaxStates
}

// expand shares out chunks among the workers; nobody writes to visited meanwhile.
func (x *explorer[W]) expand(part []explored[W]) [][]successor[W] {
	visited := make([][]successor[W], (len(part)+chunk-1)/chunk)
	todo := make(chan int, len(visited))
	for at := range visited {
		todo <- at
	}
	close(todo)
	done := make(chan struct{})
	for range x.bounds.Workers {
		go func() {
			for at := range todo {
				visited[at] = x.successors(part[at*chunk : min((at+1)*chunk, len(part))])
			}
			done <- struct{}{}
		}()
	}
	for range x.bounds.Workers {
		<-done
	}
	return visited
}

func (x *explorer[W]) successors(states []explored[W]) []successor[W] {
	var visited []successor[W]
	for _, s := range states {
		for _, e := range s.world.Events() {
			world := s.world.Apply(e)
			next := successor[W]{origin: origin{parent: s.id, event: e}, hash: world.Fingerprint()}
			if _, known := x.visited[next.hash]; !known {
				next.world, next.err = world, world.BrokenInvariant()
			}
			visited = append(visited, next)
		}
	}
	return visited
}

func (x *explorer[W]) trace(id int32) []string {
	var events []Event
	for ; id > 0; id = x.origins[id].parent {
		events = append(events, x.origins[id].event)
	}
	world := x.start
	var lines []string
	for at := len(events) - 1; at >= 0; at-- {
		lines = append(lines, world.Describe(events[at]))
		world = world.Apply(events[at])
	}
	return lines
}
