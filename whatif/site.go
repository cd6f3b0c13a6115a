package whatif

import (
	"time"

	"github.com/mallowbridge/mallowbridge/sim"
)

// lead is how long a site's machines run before traffic comes.
const lead = 10 * time.Second

func (p Plan) site(seed uint64, spec sim.SiteSpec) sim.Scenario {
	s := sim.Scenario{
		Seed: seed, Site: &spec, Duration: lead + time.Duration(p.Seconds)*time.Second, Faults: p.Faults, DisableIndex: !p.Index, RoundRobin: p.RoundRobin,
	}
	s.Load.Bursts = p.Crowds
	s.Load.HotRatio = p.HotRatio
	return s
}

// siteFigures are those of a run on the users' platform.
func siteFigures(w *sim.World) []figure {
	var l list
	r := w.Site()
	for _, t := range w.Scenario.Site.Classes {
		c := r.Classes[t.Name]
		if c == nil {
			c = &sim.ClassReport{}
		}
		l.add(t.Name+" asked", float64(c.Requests))
		l.add(t.Name+" served %", 100*float64(c.Served)/float64(max(c.Requests, 1)))
		l.add(t.Name+" in time %", 100*float64(c.InTime)/float64(max(c.Requests, 1)))
		l.add(t.Name+" first p50 ms", float64(sim.Quantile(c.FirstEventMs, 0.5)))
		l.add(t.Name+" first p95 ms", float64(sim.Quantile(c.FirstEventMs, 0.95)))
	}
	part := func(name string, tokens int) {
		l.add(name, 100*float64(tokens)/float64(max(r.PromptTokens, 1)))
	}
	part("prompt found in cache %", int(r.CachedTokens))
	part("counted on, confirmed %", r.ConfirmedTokens)
	part("counted on, predicted %", r.PredictedTokens)
	l.add("second attempts", float64(r.Retries))
	l.add("streams taken up elsewhere", float64(r.Resumed))
	l.add("refused by replicas", float64(r.ReplicaRejected))
	l.add("events late", float64(r.LateEvents))
	l.add("connections to replicas", float64(r.Dials))
	l.add("readings of the list", float64(r.ListCalls))
	l.add("control KB", float64(w.Net.Bytes/1024))
	l.add("control KB between domains", float64(w.Net.CrossBytes/1024))
	return l
}
