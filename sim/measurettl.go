package sim

import (
	"fmt"
	"time"
)

const slower = 400 * time.Millisecond

func (w *World) ttl() (ms int64, early, stale, recorded uint64) {
	for _, n := range w.Nodes {
		h, t := n.router.IndexStats()
		ms += t.Milliseconds() / int64(len(w.Nodes))
		early, stale, recorded = early+h.EarlyExpiry, stale+h.StaleExpiry, recorded+h.Recorded
	}
	return ms, early, stale, recorded
}

// tracks follows T while all replicas take longer to their first token for 40 s, and then no longer do.
func (g *measurement) tracks() {
	w := g.world()
	w.Run(45 * time.Second)
	base := w.Reps[0].model.Base
	slow := func(d time.Duration) {
		for _, r := range w.Reps {
			r.model.Base = d
		}
	}
	g.tell("T before", w)
	_, early, _, recorded := w.ttl()
	slow(slower)
	for i := range 4 {
		w.Run(w.Now + 10*time.Second)
		g.tell(fmt.Sprintf("T %d s after 340 ms more", 10*i+10), w)
	}
	_, overdue, _, all := w.ttl()
	g.add("per mille confirmed after T meanwhile", int64(1000*(overdue-early)/max(all-recorded, 1)))
	slow(base)
	w.Run(w.Now + 40*time.Second)
	g.tell("T 40 s after it went", w)
}

func (g *measurement) tell(name string, w *World) {
	ms, _, _, _ := w.ttl()
	g.add(name, ms)
}

// falseWarm compares guesses that nothing confirmed, while replicas crash, with the source's estimate of rate, share and T.
func (g *measurement) falseWarm() {
	w := g.world()
	for i := range 10 {
		w.At(w.Now+time.Duration(3*i)*time.Second, func() { w.Break(Fault{Kind: ReplicaCrash, On: some(w.whim, replicaNames(), 2), For: 2 * time.Second}) })
	}
	w.Run(52 * time.Second)
	t, _, stale, recorded := w.ttl()
	g.add("guesses never confirmed, per 100000", int64(100000*stale/max(recorded, 1)))
	g.add("false warm guesses live, thousandths", int64(float64(stale)/47*float64(t)))
}
