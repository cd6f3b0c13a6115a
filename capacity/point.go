package capacity

import (
	"maps"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/sim/light"
)

// Role is a kind of node.
type Role string

// The roles: all nodes, those that vote on the register and those without a disk.
const (
	Any      Role = "any"
	Disk     Role = "disk"
	Diskless Role = "diskless"
)

// AllControl and All stand for sums in the place of a mechanism.
const (
	AllControl Mechanism = "all control"
	All        Mechanism = "all"
)

// Measure is what is counted of a mechanism, for one node.
type Measure string

// The measures, each with its unit; they are written into the tables of points as they stand.
const (
	StateBytes    Measure = "state, bytes"
	Sent          Measure = "messages sent a second"
	Received      Measure = "messages received a second"
	BytesSent     Measure = "bytes sent a second"
	BytesReceived Measure = "bytes received a second"
	AcrossZones   Measure = "bytes sent to other zones a second"
	AcrossRegions Measure = "bytes sent to the other region a second"
	CPU           Measure = "CPU, microseconds a second"
	CodecCPU      Measure = "of it frames, microseconds a second"
	ProbeRate     Measure = "replicas asked a second"
	Writes        Measure = "entries synced a second"
)

// Measures are all measures in the order of the tables.
func Measures() []Measure {
	return []Measure{StateBytes, Sent, Received, BytesSent, BytesReceived, AcrossZones, AcrossRegions, CPU, CodecCPU, ProbeRate, Writes}
}

// Point is one measure of one mechanism at one x of a sweep: the mean node's and the worst node's.
type Point struct {
	Sweep     string
	X         float64
	Nodes     int
	Replicas  int
	Rate      float64
	Role      Role
	Mechanism Mechanism
	Measure   Measure
	Mean      float64
	Worst     float64
}

// reads are a cost's measures over the time measured.
func (c Cost) reads(lasts time.Duration) map[Measure]float64 {
	per := func(n uint64) float64 { return float64(n) / lasts.Seconds() }
	return map[Measure]float64{
		Sent: per(c.Sent), Received: per(c.Received), BytesSent: per(c.BytesSent), BytesReceived: per(c.BytesReceived),
		AcrossZones: per(c.AcrossZones), AcrossRegions: per(c.AcrossRegions), CPU: per(uint64((c.StepTime + c.CodecTime).Nanoseconds())) / 1000,
		CodecCPU: per(uint64(c.CodecTime.Nanoseconds())) / 1000, ProbeRate: per(c.Probes), Writes: per(c.Writes),
	}
}

// reads are one node's measures by mechanism, with their sums.
type reads map[Mechanism]map[Measure]float64

func (v reads) add(m Mechanism, what map[Measure]float64) {
	for _, sum := range []Mechanism{m, All, AllControl} {
		if sum == AllControl && !m.IsControl() {
			continue
		}
		if v[sum] == nil {
			v[sum] = map[Measure]float64{}
		}
		for k, x := range what {
			v[sum][k] += x
		}
	}
}

func (r *Result) reads(n *light.Node) reads {
	v := reads{}
	for m, c := range r.Costs.by[n] {
		v.add(m, c.reads(r.Plan.MeasureTime))
	}
	for m, b := range StateByMechanism(n) {
		v.add(m, map[Measure]float64{StateBytes: float64(b)})
	}
	v.add(Connections, map[Measure]float64{StateBytes: float64(r.Costs.PeerCount(n)) * float64(connBytes())})
	return v
}

// Points are the result's, for each role, mechanism and measure that is not zero.
func (r *Result) Points(sweep string, x float64) []Point {
	byRole := map[Role][]reads{}
	for _, n := range r.Nodes {
		read, role := r.reads(n), Diskless
		if n.Disk != nil {
			role = Disk
		}
		byRole[role], byRole[Any] = append(byRole[role], read), append(byRole[Any], read)
	}
	var points []Point
	for _, role := range []Role{Any, Disk, Diskless} {
		for _, m := range mechanisms(byRole[role]) {
			for _, what := range Measures() {
				p := Point{Sweep: sweep, X: x, Nodes: r.Plan.Nodes, Replicas: r.Plan.Replicas, Rate: r.Plan.Rate, Role: role, Mechanism: m, Measure: what}
				if p.summarize(byRole[role]); p.Worst > 0 {
					points = append(points, p)
				}
			}
		}
	}
	return points
}

// summarize sets the mean and the worst of what was read of the nodes.
func (p *Point) summarize(all []reads) {
	for _, read := range all {
		p.Mean += read[p.Mechanism][p.Measure] / float64(len(all))
		p.Worst = max(p.Worst, read[p.Mechanism][p.Measure])
	}
}

func mechanisms(vs []reads) []Mechanism {
	all := map[Mechanism]bool{}
	for _, v := range vs {
		for m := range v {
			all[m] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
