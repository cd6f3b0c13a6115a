package whatif

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/sim"
)

type row struct {
	name string
	of   func(w *sim.World) float64
}

type Result struct {
	Plan     Plan
	Rows     []string
	Values   map[string][]float64
	Breaches []string
}

const warmUp = 15 * time.Second

func (p Plan) scenario(seed uint64) (s sim.Scenario, err error) {
	if spec, ok := sim.SiteOf(p.Shape, p.Rate); ok {
		return p.site(seed, spec), nil
	}
	shape, _ := sim.Times(p.Shape, p.Times)
	s = sim.Scenario{
		Seed: seed, Shape: shape, Lasts: time.Duration(p.Seconds)*time.Second + warmUp, From: warmUp, Faults: p.Faults, Resend: true, IndexOff: !p.Index, RoundRob: p.Robin,
		Load: sim.Load{Kinds: shape.Kinds, Rate: p.Rate, Prefixes: p.Prefixes, HotShare: p.Hot, Crowds: p.Crowds}, Asks: p.Asks,
	}
	if p.Config == nil {
		return s, nil
	}
	c, err := config.Read(p.Config)
	if err != nil {
		return s, err
	}
	s.Charter, s.Load.Kinds = p.Config, nil
	for _, o := range c.Offers {
		for _, k := range o.Kinds {
			s.Load.Kinds = append(s.Load.Kinds, sim.KindLoad{Offer: o.Name, Name: k.Name, Repeatable: k.Repeatable})
		}
	}
	return s, nil
}

func (p Plan) Run() (r Result, err error) {
	r = Result{Plan: p, Values: map[string][]float64{}}
	if _, err = p.scenario(1); err != nil {
		return r, err
	}
	worlds := make([]*sim.World, p.Seeds)
	var next atomic.Int64
	done := make(chan struct{})
	const workers = 4
	for range workers {
		go func() {
			for i := int(next.Add(1)) - 1; i < p.Seeds; i = int(next.Add(1)) - 1 {
				s, _ := p.scenario(uint64(p.First + i))
				worlds[i] = sim.Run(s)
			}
			done <- struct{}{}
		}()
	}
	for range workers {
		<-done
	}
	for _, w := range worlds {
		list := rows
		if w.S.Site != nil {
			list = siteRows
		}
		for _, x := range list(w) {
			if !slices.Contains(r.Rows, x.name) {
				r.Rows = append(r.Rows, x.name)
			}
			r.Values[x.name] = append(r.Values[x.name], x.of(w))
		}
		for _, b := range w.Audit.Breaches {
			r.Breaches = append(r.Breaches, fmt.Sprintf("seed %d: %s", w.S.Seed, b))
		}
	}
	return r, nil
}

func rows(w *sim.World) (rs []row) {
	count := func(name string, n uint64) {
		rs = append(rs, row{name, func(*sim.World) float64 { return float64(n) }})
	}
	for _, k := range w.S.Load.Kinds {
		kr := w.Report.Kinds[k.Name]
		if kr == nil {
			kr = &sim.KindReport{}
		}
		count(k.Name+" done", uint64(kr.Done))
		count(k.Name+" denied", uint64(kr.Denied))
		count(k.Name+" partial", uint64(kr.Partial))
		count(k.Name+" unknown", uint64(kr.Unknown))
		count(k.Name+" lost", uint64(kr.Lost))
		count(k.Name+" first token p50 ms", uint64(sim.Quantile(kr.Firsts, 0.5)))
		count(k.Name+" first token p95 ms", uint64(sim.Quantile(kr.Firsts, 0.95)))
	}
	rp := &w.Report
	all := rp.Total()
	count("denied early", uint64(all.Denied)-rp.DeniedLate)
	count("denied late", rp.DeniedLate)
	count("second goes", rp.Seconds)
	rate := func(name string, v float64) {
		rs = append(rs, row{name, func(*sim.World) float64 { return v }})
	}
	share := func(name string, part uint64) {
		rs = append(rs, row{name, func(*sim.World) float64 { return 100 * float64(part) / float64(max(rp.PrefixTokens, 1)) }})
	}
	share("prefix found in cache %", rp.CachedTokens)
	share("counted on, confirmed %", rp.Confirmed)
	share("counted on, predicted %", rp.Predicted)
	obeyed := w.Audit.Obeyed()
	count("slowest node obeys p50 ms", uint64(sim.Quantile(obeyed, 0.5)))
	count("slowest node obeys p95 ms", uint64(sim.Quantile(obeyed, 0.95)))
	count("control KB", rp.Bytes/1024)
	count("control KB between domains", rp.CrossBytes/1024)
	for _, kind := range slices.Sorted(maps.Keys(w.Net.CrossKind)) {
		count("  of it "+kind, w.Net.CrossKind[kind]/1024)
	}
	count("stream KB between domains", rp.StreamCross/1024)
	rate("control bytes per node and second", float64(rp.Bytes)/w.S.Lasts.Seconds()/float64(len(w.Nodes)))
	rate("rows visited per event", float64(rp.Visited)/float64(max(rp.Steps, 1)))
	count("service back after ms", uint64(rp.ReturnMs))
	return rs
}

func spread(vs []float64) (mean, dev float64) {
	for _, v := range vs {
		mean += v / float64(len(vs))
	}
	for _, v := range vs {
		dev += (v - mean) * (v - mean) / float64(max(len(vs)-1, 1))
	}
	return mean, math.Sqrt(dev)
}

func Write(out io.Writer, rs ...Result) {
	fmt.Fprintf(out, "%-32s", "mean ± deviation over seeds")
	for _, r := range rs {
		fmt.Fprintf(out, " %22s", r.Plan.Name)
	}
	fmt.Fprintln(out)
	for _, name := range rs[0].Rows {
		fmt.Fprintf(out, "%-32s", name)
		for _, r := range rs {
			mean, dev := spread(r.Values[name])
			fmt.Fprintf(out, " %22s", fmt.Sprintf("%.1f ± %.1f", mean, dev))
		}
		fmt.Fprintln(out)
	}
	for _, r := range rs {
		fmt.Fprintf(out, "%s: %d seeds from %d, %d s each, %d breaches\n", r.Plan.Name, r.Plan.Seeds, r.Plan.First, r.Plan.Seconds, len(r.Breaches))
		for _, b := range r.Breaches {
			fmt.Fprintln(out, "  "+b)
		}
	}
}
