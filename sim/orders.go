package sim

import (
	"errors"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/router"
)

// injectOrderFault starts a fault that consists of operator requests or platform listings.
func (w *World) injectOrderFault(f Fault, _ []*Node) {
	switch f.Kind {
	case EvacuateFault:
		n := w.someNode()
		w.Evacuate(n, f.On[0], false, func(control.Answer) {})
		w.After(f.For, func() { w.Evacuate(w.someNode(), f.On[0], true, func(control.Answer) {}) })
	case UnreliableLists:
		w.sendUnreliableLists(w.Now+f.For, map[string]router.ListingState{}, 0)
	case SwapVoters:
		w.Call(w.someNode(), control.ReplaceVoters{ID: "swap" + f.At.String(), Names: f.On}, func(a control.Answer) { w.Tracef("replacing voters: %v", a.Err) })
	case PutStorm:
		w.putStorm(w.Now+f.For, 1, 120*time.Millisecond, false)
	case ConcurrentPuts:
		w.putStorm(w.Now+f.For, 4, 120*time.Millisecond, false)
	case LargePuts:
		w.putStorm(w.Now+f.For, 1, 1500*time.Millisecond, true)
	}
}

// putStorm puts atOnce configurations each interval until end.
func (w *World) putStorm(end time.Duration, atOnce int, interval time.Duration, large bool) {
	if w.Now >= end {
		return
	}
	for range atOnce {
		w.Put(w.someNode(), w.expectedVersion, w.nextConfig(large), w.putReturned)
	}
	w.After(interval, func() { w.putStorm(end, atOnce, interval, large) })
}

func (w *World) putReturned(a control.Answer) {
	if a.Err != nil {
		w.Report.PutsRejected++
		w.learnVersion(a.Err)
		return
	}
	w.Report.PutsAccepted++
	w.expectedVersion = max(w.expectedVersion, a.Value.Version)
}

// learnVersion takes the current version from a conflict.
func (w *World) learnVersion(err error) {
	var conflict *register.ConflictError
	if errors.As(err, &conflict) {
		w.expectedVersion = conflict.Version
	}
}

// someNode returns a random live node, or the first node if none is.
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

// sendUnreliableLists simulates a platform that reports replica states late and out of order to random nodes, contradicts itself before
// the first report can have spread, repeats everything in every sixth round, and names a replica that does not exist.
func (w *World) sendUnreliableLists(end time.Duration, states map[string]router.ListingState, round int) {
	if w.Now >= end {
		for _, name := range sortedKeys(states) {
			states[name] = router.Present
		}
	}
	if w.Now >= end+5*time.Second {
		return
	}
	if name := w.Replicas[w.auxRNG.IntN(len(w.Replicas))].Name; w.Now < end && w.auxRNG.IntN(2) == 0 {
		states[name] = []router.ListingState{router.Draining, router.Removed, router.Present, router.Draining}[w.auxRNG.IntN(4)]
		state := states[name]
		w.reportListing(name, router.Present)
		w.After(time.Duration(10+w.auxRNG.IntN(60))*time.Millisecond, func() { w.reportListing(name, state) })
	}
	states["nobody"] = router.Present
	for _, name := range sortedKeys(states) {
		if state := states[name]; round%6 == 5 || w.Now >= end {
			w.After(time.Duration(w.auxRNG.Int64N(int64(900*time.Millisecond))), func() { w.reportListing(name, state) })
		}
	}
	w.After(800*time.Millisecond, func() { w.sendUnreliableLists(end, states, round+1) })
}
