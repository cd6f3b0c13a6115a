package capacity

import (
	"time"

	"github.com/mallowbridge/mallowbridge/sim/light"
)

// Cost is the resource consumption of one mechanism on one node since the last reset.
type Cost struct {
	// Sent and Received count messages.
	Sent, Received           uint64
	BytesSent, BytesReceived uint64
	// AcrossZones and AcrossRegions are the parts of BytesSent that went to another zone, and to another region.
	AcrossZones, AcrossRegions uint64
	// StepTime is the CPU time of the state machines' steps, CodecTime that of encoding and decoding messages.
	StepTime, CodecTime time.Duration
	// Probes counts usage requests to replicas, Writes the entries synced to disk.
	Probes, Writes uint64
}

func (c *Cost) add(o Cost) {
	c.Sent, c.Received = c.Sent+o.Sent, c.Received+o.Received
	c.BytesSent, c.BytesReceived = c.BytesSent+o.BytesSent, c.BytesReceived+o.BytesReceived
	c.AcrossZones, c.AcrossRegions = c.AcrossZones+o.AcrossZones, c.AcrossRegions+o.AcrossRegions
	c.StepTime, c.CodecTime = c.StepTime+o.StepTime, c.CodecTime+o.CodecTime
	c.Probes, c.Writes = c.Probes+o.Probes, c.Writes+o.Writes
}

// Costs collects the costs of a simulated fleet by node and mechanism. It implements light.Meter.
type Costs struct {
	byNode map[*light.Node]map[Mechanism]*Cost
	// peers contains each pair of sender and receiver that exchanged a message.
	peers map[[2]*light.Node]bool
}

// NewCosts returns empty costs.
func NewCosts() *Costs {
	return &Costs{byNode: map[*light.Node]map[Mechanism]*Cost{}, peers: map[[2]*light.Node]bool{}}
}

// Reset clears all costs. It keeps the pairs of nodes that PeerCount counts.
func (c *Costs) Reset() { c.byNode = map[*light.Node]map[Mechanism]*Cost{} }

func (c *Costs) of(n *light.Node, m Mechanism) *Cost {
	if c.byNode[n] == nil {
		c.byNode[n] = map[Mechanism]*Cost{}
	}
	if c.byNode[n][m] == nil {
		c.byNode[n][m] = &Cost{}
	}
	return c.byNode[n][m]
}

// Region returns the region of a zone, which is the first letter of its name.
func Region(zone string) string { return zone[:1] }

// Sent records a message, its bytes, and the time of its encoding and decoding.
func (c *Costs) Sent(t light.Transfer) {
	m := mechanismOfMessage(t.Msg)
	s, r := c.of(t.From, m), c.of(t.To, m)
	s.Sent, r.Received = s.Sent+1, r.Received+1
	s.BytesSent, r.BytesReceived = s.BytesSent+uint64(t.FrameBytes), r.BytesReceived+uint64(t.FrameBytes)
	s.CodecTime, r.CodecTime = s.CodecTime+t.Encode, r.CodecTime+t.Decode
	if t.From.Zone != t.To.Zone {
		s.AcrossZones += uint64(t.FrameBytes)
	}
	if Region(t.From.Zone) != Region(t.To.Zone) {
		s.AcrossRegions += uint64(t.FrameBytes)
	}
	c.peers[[2]*light.Node{t.From, t.To}] = true
}

// Stepped records the time of a state machine's step for an input.
func (c *Costs) Stepped(n *light.Node, in any, elapsed time.Duration) {
	c.of(n, mechanismOfInput(in)).StepTime += elapsed
}

// Probed records a usage request to a replica.
func (c *Costs) Probed(n *light.Node) { c.of(n, Probes).Probes++ }

// Wrote records an entry that was synced to disk.
func (c *Costs) Wrote(n *light.Node) { c.of(n, Register).Writes++ }

// Total returns the sum of a node's costs over the mechanisms that include accepts.
func (c *Costs) Total(n *light.Node, include func(m Mechanism) bool) Cost {
	var t Cost
	for m, cost := range c.byNode[n] {
		if include(m) {
			t.add(*cost)
		}
	}
	return t
}

// Of returns the cost of one mechanism on one node.
func (c *Costs) Of(n *light.Node, m Mechanism) Cost { return *c.of(n, m) }

// PeerCount returns the number of nodes to which this node has sent a message since the start.
func (c *Costs) PeerCount(n *light.Node) int {
	var count int
	for p := range c.peers {
		if p[0] == n {
			count++
		}
	}
	return count
}
