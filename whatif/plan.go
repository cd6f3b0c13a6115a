package whatif

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/sim"
	"github.com/mallowbridge/mallowbridge/sim/shape"
	"github.com/mallowbridge/mallowbridge/sim/workload"
)

// Plan is one what-if experiment: a fleet, its load, the faults to inject, and the number of seeds that it is run with.
type Plan struct {
	// Name is the heading of the plan's column in the report.
	Name string
	// Shape names a fleet of the simulator; Scale multiplies its number of nodes and replicas.
	Shape string
	Scale int
	// Config replaces the fleet's own configuration, unless it is nil.
	Config []byte
	// Seconds is the duration of each run after its warm-up. There are Seeds runs, with seeds from FirstSeed on.
	Seconds   int
	Seeds     int
	FirstSeed int
	// Rate is the load in requests per second. HotRatio is the fraction of requests that share one hot prefix; the others are spread over
	// Prefixes prefixes.
	Rate     float64
	HotRatio float64
	Prefixes int
	// Bursts multiply the rate; their times count from the start of the load.
	Bursts []workload.Burst
	// PrefixIndex enables the prefix index. RoundRobin makes routers choose replicas in turn instead of by cost, for comparisons.
	PrefixIndex bool
	RoundRobin  bool
	// Faults are injected at times that count from the start of the run, warm-up included.
	Faults []sim.Fault
	// Requests replaces the generated load, unless it is empty. Runs of a site ignore it.
	Requests []workload.Request
}

// FileError reports a file that cannot be read or is not of the expected format.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string { return e.Path + ": " + e.Cause.Error() }

// Default returns a plan without faults, under the usual load of 60 requests per second.
func Default(name string) Plan {
	return Plan{Name: name, Shape: "tramites", Scale: 1, Seconds: 60, Seeds: 5, FirstSeed: 1, Rate: 60, HotRatio: 0.1, Prefixes: 24, PrefixIndex: true}
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// fleetFaultKinds returns the kinds of faults that a plan for a fleet may name; sim.SiteFaults returns those for a site.
func fleetFaultKinds() []string {
	return []string{
		sim.Kill, sim.Power, sim.Freeze, sim.PartitionNode, sim.PartitionOneWay, sim.PartitionZone, sim.SplitCore, sim.WipeDisk, sim.Relocate,
		sim.SlowDisk, sim.StallDisk, sim.FullDisk, sim.BadDisk, sim.ReplicaCrash, sim.ReplicaUnreachable, sim.Release, sim.EvacuateFault,
		sim.PutStorm, sim.ConcurrentPuts, sim.SwapVoters, sim.AllPowerOff, sim.LargePuts, sim.ReplicaCorrupt, sim.ReplicaRestart, sim.ReplicaFailing, sim.PartitionControl, sim.ClockBack,
		sim.FreezeInVoterChange, sim.UnreliableLists, sim.Upgrade,
	}
}

// Load reads a plan from a file and names it after the file. The error is a *FileError or a *config.InvalidError.
func Load(path string) (Plan, error) {
	raw, err := os.ReadFile(path)
	var p Plan
	if err != nil {
		return p, trace.Wrap(&FileError{Path: path, Cause: err})
	}
	if p, err = Read(strings.TrimSuffix(filepath.Base(path), ".json"), raw); err != nil {
		return p, err
	}
	return p, nil
}

// Read parses a plan. The error is a *config.InvalidError. The JSON key "breakdowns" contains the faults.
func Read(name string, raw []byte) (Plan, error) {
	d, err := config.NewDecoder(raw)
	var p Plan
	if err != nil {
		return p, err
	}
	p = Default(name)
	if s := d.String("shape", false, 16); s != "" {
		p.Shape = s
	}
	p.Scale = d.Int("times", 1, 1, 16)
	shape, ok := shape.Scaled(p.Shape, p.Scale)
	spec, site := sim.SiteByName(p.Shape, 0)
	switch {
	case site:
		shape, p.Rate, p.HotRatio = spec.Shape, 0, 0
	case !ok:
		d.AddViolation(d.FieldPath("shape"), p.Shape, "tramites, atlas, tramites site or atlas site")
	}
	p.Seconds, p.Seeds, p.FirstSeed = d.Int("seconds", p.Seconds, 20, 3600), d.Int("seeds", p.Seeds, 1, 1000), d.Int("firstSeed", 1, 1, 1<<30)
	p.PrefixIndex, p.RoundRobin = d.Bool("index", true), d.Bool("roundRobin", false)
	p.readLoad(d.Object("load"))
	for _, f := range d.List("breakdowns", 0, 1024) {
		p.Faults = append(p.Faults, readFault(f, shape, site))
	}
	if site && p.Scale > 1 {
		d.AddViolation(d.FieldPath("times"), fmt.Sprint(p.Scale), "1 for a site")
	}
	p.readConfig(d, site)
	d.Close()
	return p, d.Err()
}

func (p *Plan) readLoad(d *config.Decoder) {
	p.Rate = d.Number("rate", p.Rate, 0.1, 10000)
	p.HotRatio = d.Number("hot", p.HotRatio, 0, 1)
	p.Prefixes = d.Int("prefixes", p.Prefixes, 1, 10000)
	for _, c := range d.List("crowds", 0, 64) {
		p.Bursts = append(p.Bursts, workload.Burst{From: milliseconds(c, "fromMs"), Until: milliseconds(c, "untilMs"), Factor: c.Number("times", 1, 0.01, 1000)})
		c.Close()
	}
	d.Close()
}

// readConfig reads the file that replaces the fleet's own configuration.
func (p *Plan) readConfig(d *config.Decoder, site bool) {
	path := d.String("config", false, 4096)
	if path == "" {
		return
	}
	if site {
		d.AddViolation(d.FieldPath("config"), path, "absent for a site")
		return
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		d.AddViolation(d.FieldPath("config"), path, "a readable file")
	}
	p.Config = raw
}

// milliseconds reads a duration of 0 to 3600000 ms; 0 is the default.
func milliseconds(d *config.Decoder, key string) time.Duration {
	return time.Duration(d.Int(key, 0, 0, 3600000)) * time.Millisecond
}

func readFault(d *config.Decoder, shape shape.Shape, site bool) sim.Fault {
	f := sim.Fault{At: milliseconds(d, "atMs"), Kind: d.String("kind", true, 32), For: time.Duration(d.Int("forMs", 3000, -1, 3600000)) * time.Millisecond}
	kinds := fleetFaultKinds()
	if site {
		kinds = sim.SiteFaultKinds()
	}
	if !slices.Contains(kinds, f.Kind) {
		d.AddViolation(d.FieldPath("kind"), f.Kind, "one of "+strings.Join(kinds, ", "))
	}
	for i, e := range d.List("on", 0, 4096) {
		name := e.StringElement(64)
		if !inFleet(shape, name) {
			d.AddViolation(fmt.Sprintf("%s[%d]", d.FieldPath("on"), i), name, "the name of a node, zone or replica of the fleet")
		}
		f.On = append(f.On, name)
	}
	needsTarget := map[string]bool{sim.PartitionZone: true, sim.PartitionControl: true, sim.EvacuateFault: true, sim.SwapVoters: true}
	if needsTarget[f.Kind] && len(f.On) == 0 {
		d.AddViolation(d.FieldPath("on"), "empty", "at least one name for "+f.Kind)
	}
	d.Close()
	return f
}

// inFleet reports whether a fault may name this target: a zone, node or replica of the shape, or one of its other targets. In a shape without
// other targets every name that starts with "r" counts as a replica.
func inFleet(s shape.Shape, name string) bool {
	return slices.Contains(s.Zones, name) || slices.Contains(s.OtherTargets, name) || (len(s.OtherTargets) == 0 && strings.HasPrefix(name, "r")) ||
		slices.ContainsFunc(s.Nodes, func(n shape.Node) bool { return n.Name == name })
}
