package whatif

import (
	"time"

	"github.com/mallowbridge/mallowbridge/sim"
)

// lead is how long a site's machines run before traffic comes.
const lead = 10 * time.Second

func (p Plan) site(seed uint64, spec sim.SiteSpec) (s sim.Scenario) {
	s = sim.Scenario{
		Seed: seed, Site: &spec, Lasts: lead + time.Duration(p.Seconds)*time.Second, Faults: p.Faults, IndexOff: !p.Index, RoundRob: p.Robin,
	}
	s.Load.Crowds = p.Crowds
	s.Load.HotShare = p.Hot
	return s
}

func siteRows(w *sim.World) (rs []row) {
	add := func(name string, v float64) {
		rs = append(rs, row{name, func(*sim.World) float64 { return v }})
	}
	r := w.Site()
	for _, t := range w.S.Site.Classes {
		c := r.Classes[t.Name]
		if c == nil {
			c = &sim.ClassReport{}
		}
		add(t.Name+" asked", float64(c.Asked))
		add(t.Name+" served %", 100*float64(c.Served)/float64(max(c.Asked, 1)))
		add(t.Name+" in time %", 100*float64(c.InTime)/float64(max(c.Asked, 1)))
		add(t.Name+" first p50 ms", float64(sim.Quantile(c.Firsts, 0.5)))
		add(t.Name+" first p95 ms", float64(sim.Quantile(c.Firsts, 0.95)))
	}
	part := func(name string, tokens int) {
		add(name, 100*float64(tokens)/float64(max(r.Prompted, 1)))
	}
	part("prompt found in cache %", int(r.Cached))
	part("counted on, confirmed %", r.Confirmed)
	part("counted on, predicted %", r.Predicted)
	add("second attempts", float64(r.Seconds))
	add("streams taken up elsewhere", float64(r.Resumed))
	add("refused by replicas", float64(r.Refused))
	add("events late", float64(r.LateEvents))
	add("connections to replicas", float64(r.Dials))
	add("readings of the list", float64(r.Lists))
	add("control KB", float64(w.Net.Bytes/1024))
	add("control KB between domains", float64(w.Net.CrossBytes/1024))
	return rs
}
