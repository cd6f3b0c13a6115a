package capacity

import (
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Sweep is a series of runs that differ in one dimension.
type Sweep struct {
	Name string
	// Axis describes the dimension and its unit, Values contains the x of each run.
	Axis   string
	Values []float64
	run    func(clock func() time.Duration, x float64) ([]Point, string)
}

// UnknownSweepError reports the name of a sweep that does not exist.
type UnknownSweepError struct{ Name string }

func (e *UnknownSweepError) Error() string { return fmt.Sprintf("unknown sweep %q", e.Name) }

// BaseNodes is the fleet size of the sweeps that keep the number of nodes and change another dimension.
const BaseNodes = 48

// fleetSweep returns a sweep over simulated fleets. Each run applies change to the plan of a fleet of BaseNodes nodes.
func fleetSweep(name, axis string, xs []float64, change func(p *Plan, x float64)) Sweep {
	return Sweep{Name: name, Axis: axis, Values: xs, run: func(clock func() time.Duration, x float64) ([]Point, string) {
		p := ScaledTarget(BaseNodes)
		p.Clock = clock
		change(&p, x)
		r := p.Run()
		// The padding does not reach the requested size exactly, so x is the real one.
		if p.ConfigBytes > 0 {
			x = float64(r.ConfigBytes)
		}
		return r.Points(name, x), r.Summary()
	}}
}

// Sweeps returns all sweeps, the shortest last. The sizes are the numbers of nodes of the sweep called fleet.
func Sweeps(sizes []float64) []Sweep {
	return []Sweep{
		fleetSweep("fleet", "nodes, with replicas and requests to match", sizes, func(p *Plan, x float64) {
			scaled := ScaledTarget(int(x))
			p.Nodes, p.Replicas, p.Rate = scaled.Nodes, scaled.Replicas, scaled.Rate
		}),
		fleetSweep("nodes", "nodes", []float64{16, 24, 48, 96, 185}, func(p *Plan, x float64) { p.Nodes = int(x) }),
		fleetSweep("replicas", "replicas", []float64{39, 78, 156, 300, 600}, func(p *Plan, x float64) { p.Replicas = int(x) }),
		fleetSweep("requests", "requests a second", []float64{60, 120, 250, 500, 1000}, func(p *Plan, x float64) { p.Rate = x }),
		fleetSweep("changes", "changes of configuration a second", []float64{0.25, 0.5, 1, 2, 4}, func(p *Plan, x float64) { p.PutRate, p.MeasureTime = x, 12*time.Second }),
		fleetSweep("config", "bytes of configuration, changed once a second", []float64{16 << 10, 32 << 10, 64 << 10, 128 << 10, 256 << 10, 512 << 10}, func(p *Plan, x float64) {
			p.ConfigBytes, p.PutRate = int(x), 1
		}),
		fleetSweep("distance", "milliseconds between zones, a change a second", []float64{3, 10, 20, 40, 80}, func(p *Plan, x float64) {
			p.ZoneDelay, p.PutRate = time.Duration(x*float64(time.Millisecond)), 1
		}),
		routerSweep("prefixes", "shared prefixes seen", sharedPrefixHeader),
		routerSweep("sessions", "sessions seen, over 100 shared prefixes", sessionHeader),
		routerSweep("tenants", "tenants seen", tenantHeader),
		routerSweep("evicting", "sessions seen, keepTokens 65536 a replica", evictingSessionHeader),
		witnessSweep(),
	}
}

// SelectSweeps returns the sweeps with the given names, or all sweeps if no name is given.
func SelectSweeps(all []Sweep, names []string) ([]Sweep, error) {
	if len(names) == 0 {
		return all, nil
	}
	var selected []Sweep
	for _, name := range names {
		i := slices.IndexFunc(all, func(s Sweep) bool { return s.Name == name })
		if i < 0 {
			return nil, trace.Wrap(&UnknownSweepError{Name: name})
		}
		selected = append(selected, all[i])
	}
	return selected, nil
}

// Run measures the points of the sweep. After each run it calls report with the x and the summary of that run and with all points so far.
func (s Sweep) Run(report func(x float64, summary string, ps []Point) error) error {
	clock := ThreadClock()
	var ps []Point
	for _, x := range s.Values {
		points, summary := s.run(clock, x)
		ps = append(ps, points...)
		if err := report(x, summary, ps); err != nil {
			return err
		}
	}
	return nil
}
