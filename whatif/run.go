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
	"github.com/mallowbridge/mallowbridge/sim/shape"
	"github.com/mallowbridge/mallowbridge/sim/workload"
)

// figure is one number of a run, by the name that the report gives it.
type figure struct {
	name  string
	value float64
}

// Result is what the runs of a plan gave: the figures in the report's order, their values by seed, and broken promises.
type Result struct {
	Plan     Plan
	Figures  []string
	Values   map[string][]float64
	Breaches []string
}

// warmUp is how long a fleet runs before the plan's load and faults.
const warmUp = 15 * time.Second

func (p Plan) scenario(seed uint64) (sim.Scenario, error) {
	if spec, ok := sim.SiteByName(p.Shape, p.Rate); ok {
		return p.site(seed, spec), nil
	}
	shape, _ := shape.Scaled(p.Shape, p.Times)
	s := sim.Scenario{
		Seed: seed, Shape: shape, Duration: time.Duration(p.Seconds)*time.Second + warmUp, LoadStart: warmUp, Faults: p.Faults, ResendLost: true, DisableIndex: !p.Index, RoundRobin: p.RoundRobin,
		Load: workload.Load{Classes: shape.Classes, Rate: p.Rate, PrefixesPerClass: p.Prefixes, HotRatio: p.HotRatio, Bursts: p.Crowds}, Requests: p.Requests,
	}
	if p.Config == nil {
		return s, nil
	}
	c, err := config.Read(p.Config)
	if err != nil {
		return s, err
	}
	s.Config, s.Load.Classes = p.Config, nil
	for _, o := range c.Services {
		for _, k := range o.Classes {
			s.Load.Classes = append(s.Load.Classes, workload.ClassLoad{Service: o.Name, Name: k.Name, Repeatable: k.Repeatable})
		}
	}
	return s, nil
}

// workers is how many runs go at once.
const workers = 4

// Run runs the plan once a seed. The error is a invalid configuration; broken promises are part of the result.
func (p Plan) Run() (Result, error) {
	r := Result{Plan: p, Values: map[string][]float64{}}
	if _, err := p.scenario(1); err != nil {
		return r, err
	}
	for _, w := range p.runAll() {
		r.add(w)
	}
	return r, nil
}

func (p Plan) runAll() []*sim.World {
	worlds := make([]*sim.World, p.Seeds)
	var next atomic.Int64
	done := make(chan struct{})
	for range workers {
		go func() {
			for i := int(next.Add(1)) - 1; i < p.Seeds; i = int(next.Add(1)) - 1 {
				s, _ := p.scenario(uint64(p.FirstSeed + i))
				worlds[i] = sim.Run(s)
			}
			done <- struct{}{}
		}()
	}
	for range workers {
		<-done
	}
	return worlds
}

func (r *Result) add(w *sim.World) {
	of := figures
	if w.Scenario.Site != nil {
		of = siteFigures
	}
	for _, f := range of(w) {
		if !slices.Contains(r.Figures, f.name) {
			r.Figures = append(r.Figures, f.name)
		}
		r.Values[f.name] = append(r.Values[f.name], f.value)
	}
	for _, b := range w.Audit.Breaches {
		r.Breaches = append(r.Breaches, fmt.Sprintf("seed %d: %s", w.Scenario.Seed, b))
	}
}

// list is the figures of one run as they are collected.
type list []figure

func (l *list) add(name string, value float64) { *l = append(*l, figure{name, value}) }

func (l *list) count(name string, n uint64) { l.add(name, float64(n)) }

// figures are those of a run of the product's own interface.
func figures(w *sim.World) []figure {
	var l list
	l.outcomes(w)
	l.prefixes(w)
	l.control(w)
	return l
}

func (l *list) outcomes(w *sim.World) {
	for _, k := range w.Scenario.Load.Classes {
		kr := w.Report.Classes[k.Name]
		if kr == nil {
			kr = &sim.ClassResult{}
		}
		l.count(k.Name+" done", uint64(kr.Done))
		l.count(k.Name+" denied", uint64(kr.Rejected))
		l.count(k.Name+" partial", uint64(kr.Partial))
		l.count(k.Name+" unknown", uint64(kr.Unknown))
		l.count(k.Name+" lost", uint64(kr.Lost))
		l.count(k.Name+" first token p50 ms", uint64(sim.Quantile(kr.FirstTokenMs, 0.5)))
		l.count(k.Name+" first token p95 ms", uint64(sim.Quantile(kr.FirstTokenMs, 0.95)))
	}
	total := w.Report.Total()
	l.count("denied early", uint64(total.Rejected)-w.Report.RejectedLate)
	l.count("denied late", w.Report.RejectedLate)
	l.count("retries", w.Report.Retries)
}

func (l *list) prefixes(w *sim.World) {
	ratio := func(name string, part uint64) {
		l.add(name, 100*float64(part)/float64(max(w.Report.PrefixTokens, 1)))
	}
	ratio("prefix found in cache %", w.Report.CachedTokens)
	ratio("counted on, confirmed %", w.Report.ConfirmedTokens)
	ratio("counted on, predicted %", w.Report.PredictedTokens)
}

func (l *list) control(w *sim.World) {
	rp := &w.Report
	obeyed := w.Audit.ApplyTimes()
	l.count("slowest node obeys p50 ms", uint64(sim.Quantile(obeyed, 0.5)))
	l.count("slowest node obeys p95 ms", uint64(sim.Quantile(obeyed, 0.95)))
	l.count("control KB", rp.Bytes/1024)
	l.count("control KB between domains", rp.CrossBytes/1024)
	for _, kind := range slices.Sorted(maps.Keys(w.Net.CrossBytesByKind)) {
		l.count("  of it "+kind, w.Net.CrossBytesByKind[kind]/1024)
	}
	l.count("stream KB between domains", rp.ResponseCrossBytes/1024)
	l.add("control bytes per node and second", float64(rp.Bytes)/w.Scenario.Duration.Seconds()/float64(len(w.Nodes)))
	l.add("rows visited per event", float64(rp.RowsVisited)/float64(max(rp.RouterTicks, 1)))
	l.count("service back after ms", uint64(rp.RecoveryMs))
}

// spread gives mean and standard deviation.
func spread(vs []float64) (mean, dev float64) {
	for _, v := range vs {
		mean += v / float64(len(vs))
	}
	for _, v := range vs {
		dev += (v - mean) * (v - mean) / float64(max(len(vs)-1, 1))
	}
	return mean, math.Sqrt(dev)
}

// Write prints results side by side, a figure a line, then the broken promises of each.
func Write(out io.Writer, rs ...Result) {
	fmt.Fprintf(out, "%-32s", "mean ± deviation over seeds")
	for _, r := range rs {
		fmt.Fprintf(out, " %22s", r.Plan.Name)
	}
	fmt.Fprintln(out)
	for _, name := range rs[0].Figures {
		fmt.Fprintf(out, "%-32s", name)
		for _, r := range rs {
			mean, dev := spread(r.Values[name])
			fmt.Fprintf(out, " %22s", fmt.Sprintf("%.1f ± %.1f", mean, dev))
		}
		fmt.Fprintln(out)
	}
	for _, r := range rs {
		fmt.Fprintf(out, "%s: %d seeds from %d, %d s each, %d breaches\n", r.Plan.Name, r.Plan.Seeds, r.Plan.FirstSeed, r.Plan.Seconds, len(r.Breaches))
		for _, b := range r.Breaches {
			fmt.Fprintln(out, "  "+b)
		}
	}
}
