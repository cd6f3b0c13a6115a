package sim

import (
	"fmt"
	"time"
)

// slowBaseTime is the BaseTime of replicas that became slower.
const slowBaseTime = 400 * time.Millisecond

// predictionStats are the nodes' mean time to live (TTL) of predictions in milliseconds, and the sums of their counters.
type predictionStats struct {
	ttl                    int64
	early, stale, recorded uint64
}

func (w *World) predictionStats() predictionStats {
	var s predictionStats
	for _, n := range w.Nodes {
		counters, ttl := n.router.IndexStats()
		s.ttl += ttl.Milliseconds() / int64(len(w.Nodes))
		s.early += counters.EarlyExpiries
		s.stale += counters.StaleExpiries
		s.recorded += counters.Recorded
	}
	return s
}

// ttlTracking measures how the TTL of predictions (T) follows a time to first token that is longer for 40 s and then as before.
func (g *measurement) ttlTracking() {
	w := g.world()
	w.Run(45 * time.Second)
	base := w.Replicas[0].model.BaseTime
	setBaseTime := func(d time.Duration) {
		for _, r := range w.Replicas {
			r.model.BaseTime = d
		}
	}
	g.addTTL("T before", w)
	before := w.predictionStats()
	setBaseTime(slowBaseTime)
	for i := range 4 {
		w.Run(w.Now + 10*time.Second)
		g.addTTL(fmt.Sprintf("T %d s after 340 ms more", 10*i+10), w)
	}
	after := w.predictionStats()
	g.add("per mille confirmed after T meanwhile", int64(1000*(after.early-before.early)/max(after.recorded-before.recorded, 1)))
	setBaseTime(base)
	w.Run(w.Now + 40*time.Second)
	g.addTTL("T 40 s after it went", w)
}

func (g *measurement) addTTL(name string, w *World) {
	g.add(name, w.predictionStats().ttl)
}

// falsePredictions measures, while replicas crash, the share of predictions that were never confirmed and how many of them were live on
// average (their rate over the 47 s of load times T).
func (g *measurement) falsePredictions() {
	w := g.world()
	for i := range 10 {
		w.At(w.Now+time.Duration(3*i)*time.Second, func() {
			w.Inject(Fault{Kind: ReplicaCrash, On: pickSome(w.auxRNG, replicaNames(), 2), For: 2 * time.Second})
		})
	}
	w.Run(52 * time.Second)
	s := w.predictionStats()
	g.add("guesses never confirmed, per 100000", int64(100000*s.stale/max(s.recorded, 1)))
	g.add("false warm guesses live, thousandths", int64(float64(s.stale)/47*float64(s.ttl)))
}
