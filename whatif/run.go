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

// metric is one measured value of a run, with its name in the report.
type metric struct {
	name  string
	value float64
}

// Result contains the measurements of all runs of a plan.
type Result struct {
	Plan Plan
	// Metrics are the names of the metrics in the order of the report, Values the values of each metric, one per seed.
	Metrics []string
	Values  map[string][]float64
	// Breaches are the broken guarantees that the simulator's checks found, each with its seed.
	Breaches []string
}

// fleetWarmUp is how long a fleet runs before its load starts.
const fleetWarmUp = 15 * time.Second

// scenario returns the simulator's scenario for one seed. The error is an invalid configuration.
func (p Plan) scenario(seed uint64) (sim.Scenario, error) {
	if spec, ok := sim.SiteByName(p.Shape, p.Rate); ok {
		return p.siteScenario(seed, spec), nil
	}
	shape, _ := shape.Scaled(p.Shape, p.Scale)
	s := sim.Scenario{
		Seed: seed, Shape: shape, Duration: time.Duration(p.Seconds)*time.Second + fleetWarmUp, LoadStart: fleetWarmUp, Faults: p.Faults, ResendLost: true, DisableIndex: !p.PrefixIndex, RoundRobin: p.RoundRobin,
		Load: workload.Load{Classes: shape.Classes, Rate: p.Rate, PrefixesPerClass: p.Prefixes, HotRatio: p.HotRatio, Bursts: p.Bursts}, Requests: p.Requests,
	}
	if p.Config == nil {
		return s, nil
	}
	c, err := config.Read(p.Config)
	if err != nil {
		return s, err
	}
	s.Config, s.Load.Classes = p.Config, nil
	for _, service := range c.Services {
		for _, class := range service.Classes {
			s.Load.Classes = append(s.Load.Classes, workload.ClassLoad{Service: service.Name, Name: class.Name, Repeatable: class.Idempotent})
		}
	}
	return s, nil
}

// workers is the number of runs that are executed in parallel.
const workers = 4

// Run runs the plan once per seed. The error is an invalid configuration; broken guarantees are part of the result.
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
	measure := fleetMetrics
	if w.Scenario.Site != nil {
		measure = siteMetrics
	}
	for _, m := range measure(w) {
		if !slices.Contains(r.Metrics, m.name) {
			r.Metrics = append(r.Metrics, m.name)
		}
		r.Values[m.name] = append(r.Values[m.name], m.value)
	}
	for _, b := range w.Audit.Breaches {
		r.Breaches = append(r.Breaches, fmt.Sprintf("seed %d: %s", w.Scenario.Seed, b))
	}
}

// metricList collects the metrics of one run.
type metricList []metric

func (l *metricList) add(name string, value float64) { *l = append(*l, metric{name, value}) }

func (l *metricList) addCount(name string, n uint64) { l.add(name, float64(n)) }

// fleetMetrics returns the metrics of a run of a fleet that clients reach over the product's own HTTP interface.
func fleetMetrics(w *sim.World) []metric {
	var l metricList
	l.addOutcomes(w)
	l.addPrefixes(w)
	l.addControl(w)
	return l
}

// addOutcomes adds the outcomes and the time to the first token of each request class, and the totals of rejections and retries.
func (l *metricList) addOutcomes(w *sim.World) {
	for _, c := range w.Scenario.Load.Classes {
		result := w.Report.Classes[c.Name]
		if result == nil {
			result = &sim.ClassResult{}
		}
		l.addCount(c.Name+" done", uint64(result.Done))
		l.addCount(c.Name+" denied", uint64(result.Rejected))
		l.addCount(c.Name+" partial", uint64(result.Partial))
		l.addCount(c.Name+" unknown", uint64(result.Unknown))
		l.addCount(c.Name+" lost", uint64(result.Lost))
		l.addCount(c.Name+" first token p50 ms", uint64(sim.Quantile(result.FirstTokenMs, 0.5)))
		l.addCount(c.Name+" first token p95 ms", uint64(sim.Quantile(result.FirstTokenMs, 0.95)))
	}
	total := w.Report.Total()
	l.addCount("denied early", uint64(total.Rejected)-w.Report.RejectedLate)
	l.addCount("denied late", w.Report.RejectedLate)
	l.addCount("retries", w.Report.Retries)
}

// addPrefixes adds the percentage of prefix tokens that replicas had in their cache, and of those that routers counted on as confirmed or
// predicted.
func (l *metricList) addPrefixes(w *sim.World) {
	ratio := func(name string, part uint64) {
		l.add(name, 100*float64(part)/float64(max(w.Report.PrefixTokens, 1)))
	}
	ratio("prefix found in cache %", w.Report.CachedTokens)
	ratio("counted on, confirmed %", w.Report.ConfirmedTokens)
	ratio("counted on, predicted %", w.Report.PredictedTokens)
}

// addControl adds the time until the slowest node applied a configuration, and the cost of the control plane.
func (l *metricList) addControl(w *sim.World) {
	report := &w.Report
	applied := w.Audit.ApplyTimes()
	l.addCount("slowest node obeys p50 ms", uint64(sim.Quantile(applied, 0.5)))
	l.addCount("slowest node obeys p95 ms", uint64(sim.Quantile(applied, 0.95)))
	l.addCount("control KB", report.Bytes/1024)
	l.addCount("control KB between domains", report.CrossBytes/1024)
	for _, kind := range slices.Sorted(maps.Keys(w.Net.CrossBytesByKind)) {
		l.addCount("  of it "+kind, w.Net.CrossBytesByKind[kind]/1024)
	}
	l.addCount("stream KB between domains", report.ResponseCrossBytes/1024)
	l.add("control bytes per node and second", float64(report.Bytes)/w.Scenario.Duration.Seconds()/float64(len(w.Nodes)))
	l.add("rows visited per event", float64(report.RowsVisited)/float64(max(report.RouterTicks, 1)))
	l.addCount("service back after ms", uint64(report.RecoveryMs))
}

// meanAndDeviation returns the mean and the sample standard deviation.
func meanAndDeviation(values []float64) (mean, deviation float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		deviation += (v - mean) * (v - mean) / float64(max(len(values)-1, 1))
	}
	return mean, math.Sqrt(deviation)
}

// Write prints the results side by side, one metric per line, and then the broken guarantees of each result.
func Write(out io.Writer, results ...Result) {
	fmt.Fprintf(out, "%-32s", "mean ± deviation over seeds")
	for _, r := range results {
		fmt.Fprintf(out, " %22s", r.Plan.Name)
	}
	fmt.Fprintln(out)
	for _, name := range results[0].Metrics {
		fmt.Fprintf(out, "%-32s", name)
		for _, r := range results {
			mean, deviation := meanAndDeviation(r.Values[name])
			fmt.Fprintf(out, " %22s", fmt.Sprintf("%.1f ± %.1f", mean, deviation))
		}
		fmt.Fprintln(out)
	}
	for _, r := range results {
		fmt.Fprintf(out, "%s: %d seeds from %d, %d s each, %d breaches\n", r.Plan.Name, r.Plan.Seeds, r.Plan.FirstSeed, r.Plan.Seconds, len(r.Breaches))
		for _, b := range r.Breaches {
			fmt.Fprintln(out, "  "+b)
		}
	}
}
