package capacity

import (
	"maps"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/sim/light"
)

// Role is a group of nodes that points are computed over.
type Role string

// The roles: all nodes, the nodes with a disk, among them the voters of the register, and the nodes without one.
const (
	Any      Role = "any"
	Disk     Role = "disk"
	Diskless Role = "diskless"
)

// AllControl and All are used in place of a mechanism for the sum over the control mechanisms, and over all of them.
const (
	AllControl Mechanism = "all control"
	All        Mechanism = "all"
)

// Measure is a quantity that is measured of a mechanism on one node.
type Measure string

// The measures, each with its unit. Their values are written to the CSV tables.
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

// Measures returns all measures in the order of the tables.
func Measures() []Measure {
	return []Measure{StateBytes, Sent, Received, BytesSent, BytesReceived, AcrossZones, AcrossRegions, CPU, CodecCPU, ProbeRate, Writes}
}

// Point is one measure of one mechanism for one run of a sweep, over the nodes of one role.
type Point struct {
	Sweep string
	// X is the value of the sweep's dimension in this run.
	X        float64
	Nodes    int
	Replicas int
	// Rate is the requests per second over the whole fleet.
	Rate      float64
	Role      Role
	Mechanism Mechanism
	Measure   Measure
	// Mean is the average over the nodes, Worst the highest value of any node.
	Mean  float64
	Worst float64
}

// measures converts a cost that was counted over a period to rates per second.
func (c Cost) measures(period time.Duration) map[Measure]float64 {
	per := func(n uint64) float64 { return float64(n) / period.Seconds() }
	return map[Measure]float64{
		Sent: per(c.Sent), Received: per(c.Received), BytesSent: per(c.BytesSent), BytesReceived: per(c.BytesReceived),
		AcrossZones: per(c.AcrossZones), AcrossRegions: per(c.AcrossRegions), CPU: per(uint64((c.StepTime + c.CodecTime).Nanoseconds())) / 1000,
		CodecCPU: per(uint64(c.CodecTime.Nanoseconds())) / 1000, ProbeRate: per(c.Probes), Writes: per(c.Writes),
	}
}

// nodeMeasures contains the measures of one node by mechanism, including the sums All and AllControl.
type nodeMeasures map[Mechanism]map[Measure]float64

// add adds measures to a mechanism and to the sums.
func (n nodeMeasures) add(m Mechanism, values map[Measure]float64) {
	for _, sum := range []Mechanism{m, All, AllControl} {
		if sum == AllControl && !m.IsControl() {
			continue
		}
		if n[sum] == nil {
			n[sum] = map[Measure]float64{}
		}
		for k, x := range values {
			n[sum][k] += x
		}
	}
}

// measures returns the measures of a node, and includes the size of its state and of its connections.
func (r *Result) measures(n *light.Node) nodeMeasures {
	values := nodeMeasures{}
	for m, c := range r.Costs.byNode[n] {
		values.add(m, c.measures(r.Plan.MeasureTime))
	}
	for m, b := range StateByMechanism(n) {
		values.add(m, map[Measure]float64{StateBytes: float64(b)})
	}
	values.add(Connections, map[Measure]float64{StateBytes: float64(r.Costs.PeerCount(n)) * float64(connBytes())})
	return values
}

// Points returns the points of the result: one for each role, mechanism and measure that is above zero on some node.
func (r *Result) Points(sweep string, x float64) []Point {
	byRole := map[Role][]nodeMeasures{}
	for _, n := range r.Nodes {
		measured, role := r.measures(n), Diskless
		if n.Disk != nil {
			role = Disk
		}
		byRole[role], byRole[Any] = append(byRole[role], measured), append(byRole[Any], measured)
	}
	var points []Point
	for _, role := range []Role{Any, Disk, Diskless} {
		for _, m := range mechanisms(byRole[role]) {
			for _, measure := range Measures() {
				p := Point{Sweep: sweep, X: x, Nodes: r.Plan.Nodes, Replicas: r.Plan.Replicas, Rate: r.Plan.Rate, Role: role, Mechanism: m, Measure: measure}
				if p.summarize(byRole[role]); p.Worst > 0 {
					points = append(points, p)
				}
			}
		}
	}
	return points
}

// summarize sets Mean and Worst from the measures of the nodes.
func (p *Point) summarize(nodes []nodeMeasures) {
	for _, n := range nodes {
		p.Mean += n[p.Mechanism][p.Measure] / float64(len(nodes))
		p.Worst = max(p.Worst, n[p.Mechanism][p.Measure])
	}
}

// mechanisms returns the sorted mechanisms that any of the nodes has measures of.
func mechanisms(nodes []nodeMeasures) []Mechanism {
	all := map[Mechanism]bool{}
	for _, n := range nodes {
		for m := range n {
			all[m] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
