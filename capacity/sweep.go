package capacity

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Sweep changes one thing of a fleet from run to run.
type Sweep struct {
	Name string
	// Axis is what x is.
	Axis   string
	Values []float64
	run    func(clock func() time.Duration, x float64) ([]Point, string)
}

// UnknownSweepError names a sweep that there is not.
type UnknownSweepError struct{ Name string }

func (e *UnknownSweepError) Error() string { return "no sweep is called " + e.Name }

// BaseNodes is the fleet that one thing of is changed.
const BaseNodes = 48

// fleet is a sweep that runs fleets which differ in one thing.
func fleet(name, axis string, xs []float64, change func(p *Plan, x float64)) Sweep {
	return Sweep{Name: name, Axis: axis, Values: xs, run: func(clock func() time.Duration, x float64) ([]Point, string) {
		p := ScaledTarget(BaseNodes)
		p.Clock = clock
		change(&p, x)
		r := p.Run()
		if p.ConfigBytes > 0 {
			x = float64(r.ConfigBytes)
		}
		return r.Points(name, x), r.Summary()
	}}
}

// Sweeps are all that there are, the shortest last.
func Sweeps(sizes []float64) []Sweep {
	return []Sweep{
		fleet("fleet", "nodes, with replicas and requests to match", sizes, func(p *Plan, x float64) {
			complete := ScaledTarget(int(x))
			p.Nodes, p.Replicas, p.Rate = complete.Nodes, complete.Replicas, complete.Rate
		}),
		fleet("nodes", "nodes", []float64{16, 24, 48, 96, 185}, func(p *Plan, x float64) { p.Nodes = int(x) }),
		fleet("replicas", "replicas", []float64{39, 78, 156, 300, 600}, func(p *Plan, x float64) { p.Replicas = int(x) }),
		fleet("requests", "requests a second", []float64{60, 120, 250, 500, 1000}, func(p *Plan, x float64) { p.Rate = x }),
		fleet("changes", "changes of configuration a second", []float64{0.25, 0.5, 1, 2, 4}, func(p *Plan, x float64) { p.PutRate, p.MeasureTime = x, 12*time.Second }),
		fleet("config", "bytes of configuration, changed once a second", []float64{16 << 10, 32 << 10, 64 << 10, 128 << 10, 256 << 10, 512 << 10}, func(p *Plan, x float64) {
			p.ConfigBytes, p.PutRate = int(x), 1
		}),
		fleet("distance", "milliseconds between zones, a change a second", []float64{3, 10, 20, 40, 80}, func(p *Plan, x float64) {
			p.ZoneDelay, p.PutRate = time.Duration(x*float64(time.Millisecond)), 1
		}),
		solo("prefixes", "shared prefixes seen", prefixes),
		solo("sessions", "sessions seen, over 100 shared prefixes", sessions),
		solo("tenants", "tenants seen", tenants),
		solo("evicting", "sessions seen, keepTokens 65536 a replica", evicting),
		remembered(),
	}
}

// SelectSweeps names sweeps; no name chooses all.
func SelectSweeps(all []Sweep, names []string) ([]Sweep, error) {
	if len(names) == 0 {
		return all, nil
	}
	var some []Sweep
	for _, name := range names {
		i := slices.IndexFunc(all, func(s Sweep) bool { return s.Name == name })
		if i < 0 {
			return nil, trace.Wrap(&UnknownSweepError{Name: name})
		}
		some = append(some, all[i])
	}
	return some, nil
}

// Run measures the sweep's points; said hears of each run as it ends, with all points up to then.
func (s Sweep) Run(said func(x float64, summary string, ps []Point) error) error {
	clock := ThreadClock()
	var ps []Point
	for _, x := range s.Values {
		some, summary := s.run(clock, x)
		ps = append(ps, some...)
		if err := said(x, summary, ps); err != nil {
			return err
		}
	}
	return nil
}
