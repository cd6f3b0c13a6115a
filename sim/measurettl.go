package sim

import (
	"fmt"
	"time"
)

const slower = 400 * time.Millisecond

// predictionStats are the nodes' mean time to live of predictions, in milliseconds, and their counters, added up.
type predictionStats struct {
	ttl                    int64
	early, stale, recorded uint64
}

func (w *World) predictionStats() predictionStats {
	var s predictionStats
	for _, n := range w.Nodes {
		h, t := n.router.IndexStats()
		s.ttl += t.Milliseconds() / int64(len(w.Nodes))
		s.early += h.EarlyExpiries
		s.stale += h.StaleExpiries
		s.recorded += h.Recorded
	}
	return s
}

// tracks follows T while all replicas take longer to their first token for 40 s, and then no longer do.
func (g *measurement) tracks() {
	w := g.world()
	w.Run(45 * time.Second)
	base := w.Replicas[0].model.BaseTime
	slow := func(d time.Duration) {
		for _, r := range w.Replicas {
			r.model.BaseTime = d
		}
	}
	g.tell("T before", w)
	before := w.predictionStats()
	slow(slower)
	for i := range 4 {
		w.Run(w.Now + 10*time.Second)
		g.tell(fmt.Sprintf("T %d s after 340 ms more", 10*i+10), w)
	}
	after := w.predictionStats()
	g.add("per mille confirmed after T meanwhile", int64(1000*(after.early-before.early)/max(after.recorded-before.recorded, 1)))
	slow(base)
	w.Run(w.Now + 40*time.Second)
	g.tell("T 40 s after it went", w)
}

func (g *measurement) tell(name string, w *World) {
	g.add(name, w.predictionStats().ttl)
}

// falseWarm compares guesses that nothing confirmed, while replicas crash, with the source's estimate of rate, share and T.
func (g *measurement) falseWarm() {
	w := g.world()
	for i := range 10 {
		w.At(w.Now+time.Duration(3*i)*time.Second, func() { w.Inject(Fault{Kind: ReplicaCrash, On: some(w.whim, replicaNames(), 2), For: 2 * time.Second}) })
	}
	w.Run(52 * time.Second)
	s := w.predictionStats()
	g.add("guesses never confirmed, per 100000", int64(100000*s.stale/max(s.recorded, 1)))
	g.add("false warm guesses live, thousandths", int64(float64(s.stale)/47*float64(s.ttl)))
}
