package whatif

import (
	"time"

	"github.com/mallowbridge/mallowbridge/sim"
)

// siteWarmUp is how long a site's machines run before traffic starts; the simulator starts it at that time.
const siteWarmUp = 10 * time.Second

// siteScenario returns the scenario of a run on the users' platform.
func (p Plan) siteScenario(seed uint64, spec sim.SiteSpec) sim.Scenario {
	s := sim.Scenario{
		Seed: seed, Site: &spec, Duration: siteWarmUp + time.Duration(p.Seconds)*time.Second, Faults: p.Faults, DisableIndex: !p.PrefixIndex, RoundRobin: p.RoundRobin,
	}
	s.Load.Bursts = p.Bursts
	s.Load.HotRatio = p.HotRatio
	return s
}

// siteMetrics returns the metrics of a run on the users' platform.
func siteMetrics(w *sim.World) []metric {
	var l metricList
	r := w.Site()
	for _, class := range w.Scenario.Site.Classes {
		c := r.Classes[class.Name]
		if c == nil {
			c = &sim.ClassReport{}
		}
		l.add(class.Name+" asked", float64(c.Requests))
		l.add(class.Name+" served %", 100*float64(c.Served)/float64(max(c.Requests, 1)))
		l.add(class.Name+" in time %", 100*float64(c.InTime)/float64(max(c.Requests, 1)))
		l.add(class.Name+" first p50 ms", float64(sim.Quantile(c.FirstEventMs, 0.5)))
		l.add(class.Name+" first p95 ms", float64(sim.Quantile(c.FirstEventMs, 0.95)))
	}
	percentOfPrompts := func(name string, tokens int) {
		l.add(name, 100*float64(tokens)/float64(max(r.PromptTokens, 1)))
	}
	percentOfPrompts("prompt found in cache %", int(r.CachedTokens))
	percentOfPrompts("counted on, confirmed %", r.ConfirmedTokens)
	percentOfPrompts("counted on, predicted %", r.PredictedTokens)
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
