package sim

import (
	"errors"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/router"
)

func (w *World) order(f Fault, _ []*Node) {
	switch f.Kind {
	case EvacuateFault:
		n := w.someNode()
		w.Evacuate(n, f.On[0], false, func(control.Answer) {})
		w.After(f.For, func() { w.Evacuate(w.someNode(), f.On[0], true, func(control.Answer) {}) })
	case UnreliableLists:
		w.lists(w.Now+f.For, map[string]router.ListingState{}, 0)
	case SwapVoters:
		w.Call(w.someNode(), control.ReplaceVoters{ID: "swap" + f.At.String(), Names: f.On}, func(a control.Answer) { w.Tracef("swap: %v", a.Err) })
	case PutStorm:
		w.putStorm(w.Now+f.For, 1, 120*time.Millisecond, false)
	case ConcurrentPuts:
		w.putStorm(w.Now+f.For, 4, 120*time.Millisecond, false)
	case LargePuts:
		w.putStorm(w.Now+f.For, 1, 1500*time.Millisecond, true)
	}
}

// putStorm puts some configurations at a time, again and again until end.
func (w *World) putStorm(end time.Duration, atOnce int, interval time.Duration, large bool) {
	if w.Now >= end {
		return
	}
	for range atOnce {
		w.Put(w.someNode(), w.expect, w.varied(large), w.putAnswered)
	}
	w.After(interval, func() { w.putStorm(end, atOnce, interval, large) })
}

func (w *World) putAnswered(a control.Answer) {
	if a.Err != nil {
		w.Report.PutsRejected++
		w.learn(a.Err)
		return
	}
	w.Report.PutsAccepted++
	w.expect = max(w.expect, a.Value.Version)
}

func (w *World) learn(err error) {
	var c *register.ConflictError
	if errors.As(err, &c) {
		w.expect = c.Version
	}
}

func (w *World) someNode() *Node {
	var n *Node
	for {
		n = w.Nodes[w.rng.IntN(len(w.Nodes))]
		if n.Alive && !n.frozen {
			return n
		}
		if !slices.ContainsFunc(w.Nodes, func(o *Node) bool { return o.Alive && !o.frozen }) {
			return w.Nodes[0]
		}
	}
}

// lists is a platform that tells changes late and out of order to any node, contradicts itself within the travel of news,
// repeats all it knows now and then, and names replicas that nobody has.
func (w *World) lists(end time.Duration, states map[string]router.ListingState, round int) {
	if w.Now >= end {
		for _, name := range sortedKeys(states) {
			states[name] = router.Present
		}
	}
	if w.Now >= end+5*time.Second {
		return
	}
	if at := w.Replicas[w.whim.IntN(len(w.Replicas))].Name; w.Now < end && w.whim.IntN(2) == 0 {
		states[at] = []router.ListingState{router.Draining, router.Removed, router.Present, router.Draining}[w.whim.IntN(4)]
		state := states[at]
		w.list(at, router.Present)
		w.After(time.Duration(10+w.whim.IntN(60))*time.Millisecond, func() { w.list(at, state) })
	}
	states["nobody"] = router.Present
	for _, name := range sortedKeys(states) {
		if state := states[name]; round%6 == 5 || w.Now >= end {
			w.After(time.Duration(w.whim.Int64N(int64(900*time.Millisecond))), func() { w.list(name, state) })
		}
	}
	w.After(800*time.Millisecond, func() { w.lists(end, states, round+1) })
}
