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

// Plan is one what-if experiment: a fleet, its load, what breaks, and how many seeds it is run with.
type Plan struct {
	Name string
	// Shape names a fleet of the simulator, Times how many times as large it is.
	Shape string
	Times int
	// Config takes the place of the fleet's own configuration; nil: it does not.
	Config []byte
	// Seconds is how long each run lasts; there are Seeds runs from FirstSeed on.
	Seconds   int
	Seeds     int
	FirstSeed int
	// Rate is requests a second, HotRatio the part of them with one common prefix, Prefixes how many others there are.
	Rate     float64
	HotRatio float64
	Prefixes int
	Crowds   []workload.Burst
	// Index is false where the prefix index finds nothing; RoundRobin places in turn.
	Index      bool
	RoundRobin bool
	Faults     []sim.Fault
	// Requests are sent instead of generated ones, where there are any.
	Requests []workload.Request
}

// FileError is a file that cannot be used.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string { return e.Path + ": " + e.Cause.Error() }

// Default is a calm fleet under usual load.
func Default(name string) Plan {
	return Plan{Name: name, Shape: "tramites", Times: 1, Seconds: 60, Seeds: 5, FirstSeed: 1, Rate: 60, HotRatio: 0.1, Prefixes: 24, Index: true}
}

// Unwrap gives the cause.
func (e *FileError) Unwrap() error { return e.Cause }

func faultClasses() []string {
	return []string{
		sim.Kill, sim.Power, sim.Freeze, sim.PartitionNode, sim.PartitionOneWay, sim.PartitionZone, sim.SplitCore, sim.WipeDisk, sim.Relocate,
		sim.SlowDisk, sim.StallDisk, sim.FullDisk, sim.BadDisk, sim.ReplicaCrash, sim.ReplicaUnreachable, sim.Release, sim.EvacuateFault,
		sim.PutStorm, sim.ConcurrentPuts, sim.SwapVoters, sim.AllPowerOff, sim.LargePuts, sim.ReplicaCorrupt, sim.ReplicaRestart, sim.ReplicaFailing, sim.PartitionControl, sim.ClockBack,
		sim.FreezeInVoterChange, sim.UnreliableLists, sim.Upgrade,
	}
}

// Load reads a plan from a file; the error is a *FileError or a *config.InvalidError.
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

// Read reads a plan; the error is a *config.InvalidError. What the JSON calls breakdowns are faults.
func Read(name string, raw []byte) (Plan, error) {
	d, err := config.Open(raw)
	var p Plan
	if err != nil {
		return p, err
	}
	p = Default(name)
	if s := d.Str("shape", false, 16); s != "" {
		p.Shape = s
	}
	p.Times = d.Int("times", 1, 1, 16)
	shape, ok := shape.Scaled(p.Shape, p.Times)
	spec, site := sim.SiteByName(p.Shape, 0)
	switch {
	case site:
		shape, p.Rate, p.HotRatio = spec.Shape, 0, 0
	case !ok:
		d.AddViolation(d.At("shape"), p.Shape, "tramites, atlas, tramites site or atlas site")
	}
	p.Seconds, p.Seeds, p.FirstSeed = d.Int("seconds", p.Seconds, 20, 3600), d.Int("seeds", p.Seeds, 1, 1000), d.Int("firstSeed", 1, 1, 1<<30)
	p.Index, p.RoundRobin = d.Bool("index", true), d.Bool("roundRobin", false)
	p.readLoad(d.Sub("load"))
	for _, f := range d.List("breakdowns", 0, 1024) {
		p.Faults = append(p.Faults, readFault(f, shape, site))
	}
	if site && p.Times > 1 {
		d.AddViolation(d.At("times"), fmt.Sprint(p.Times), "1 for a site")
	}
	p.readConfig(d, site)
	d.Close()
	return p, d.Err()
}

func (p *Plan) readLoad(d *config.Decoder) {
	p.Rate = d.Num("rate", p.Rate, 0.1, 10000)
	p.HotRatio = d.Num("hot", p.HotRatio, 0, 1)
	p.Prefixes = d.Int("prefixes", p.Prefixes, 1, 10000)
	for _, c := range d.List("crowds", 0, 64) {
		p.Crowds = append(p.Crowds, workload.Burst{From: ms(c, "fromMs"), Until: ms(c, "untilMs"), Factor: c.Num("times", 1, 0.01, 1000)})
		c.Close()
	}
	d.Close()
}

// readConfig reads the file that takes the place of the fleet's own configuration.
func (p *Plan) readConfig(d *config.Decoder, site bool) {
	path := d.Str("config", false, 4096)
	if path == "" {
		return
	}
	if site {
		d.AddViolation(d.At("config"), path, "absent for a site")
		return
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		d.AddViolation(d.At("config"), path, "a file that can be read")
	}
	p.Config = raw
}

func ms(d *config.Decoder, key string) time.Duration {
	return time.Duration(d.Int(key, 0, 0, 3600000)) * time.Millisecond
}

func readFault(d *config.Decoder, shape shape.Shape, site bool) sim.Fault {
	f := sim.Fault{At: ms(d, "atMs"), Kind: d.Str("kind", true, 32), For: time.Duration(d.Int("forMs", 3000, -1, 3600000)) * time.Millisecond}
	all := faultClasses()
	if site {
		all = sim.SiteFaultKinds()
	}
	if !slices.Contains(all, f.Kind) {
		d.AddViolation(d.At("kind"), f.Kind, "one of "+strings.Join(all, ", "))
	}
	for i, e := range d.List("on", 0, 4096) {
		name := e.Text(64)
		if !inFleet(shape, name) {
			d.AddViolation(fmt.Sprintf("%s[%d]", d.At("on"), i), name, "a node, domain or replica of the fleet")
		}
		f.On = append(f.On, name)
	}
	needs := map[string]bool{sim.PartitionZone: true, sim.PartitionControl: true, sim.EvacuateFault: true, sim.SwapVoters: true}
	if needs[f.Kind] && len(f.On) == 0 {
		d.AddViolation(d.At("on"), "empty", "named for "+f.Kind)
	}
	d.Close()
	return f
}

func inFleet(s shape.Shape, name string) bool {
	return slices.Contains(s.Zones, name) || slices.Contains(s.OtherTargets, name) || (len(s.OtherTargets) == 0 && strings.HasPrefix(name, "r")) ||
		slices.ContainsFunc(s.Nodes, func(n shape.Node) bool { return n.Name == name })
}
