package capacity

import (
	"time"

	"github.com/mallowbridge/mallowbridge/sim/light"
)

// Cost is what one mechanism cost one node.
type Cost struct {
	Sent, Received           uint64
	BytesSent, BytesReceived uint64
	// AcrossZones and AcrossRegions are the parts of BytesSent that left the sender's.
	AcrossZones, AcrossRegions uint64
	// Step is the machines' own time, Frames is that for encoding and decoding.
	Step, Frames   time.Duration
	Probes, Writes uint64
}

func (c *Cost) add(o Cost) {
	c.Sent, c.Received = c.Sent+o.Sent, c.Received+o.Received
	c.BytesSent, c.BytesReceived = c.BytesSent+o.BytesSent, c.BytesReceived+o.BytesReceived
	c.AcrossZones, c.AcrossRegions = c.AcrossZones+o.AcrossZones, c.AcrossRegions+o.AcrossRegions
	c.Step, c.Frames = c.Step+o.Step, c.Frames+o.Frames
	c.Probes, c.Writes = c.Probes+o.Probes, c.Writes+o.Writes
}

// Costs are a fleet's, by node and mechanism.
type Costs struct {
	by    map[*light.Node]map[Mechanism]*Cost
	peers map[[2]*light.Node]bool
}

// NewCosts gives empty costs; it is the meter of a simulated fleet.
func NewCosts() *Costs {
	return &Costs{by: map[*light.Node]map[Mechanism]*Cost{}, peers: map[[2]*light.Node]bool{}}
}

// Reset forgets what was counted, but not who spoke with whom.
func (c *Costs) Reset() { c.by = map[*light.Node]map[Mechanism]*Cost{} }

func (c *Costs) of(n *light.Node, m Mechanism) *Cost {
	if c.by[n] == nil {
		c.by[n] = map[Mechanism]*Cost{}
	}
	if c.by[n][m] == nil {
		c.by[n][m] = &Cost{}
	}
	return c.by[n][m]
}

// Region of a zone is its first letter.
func Region(zone string) string { return zone[:1] }

// Sent counts a message, its bytes, and what its encoding and decoding took.
func (c *Costs) Sent(t light.Transfer) {
	m := ofMessage(t.Msg)
	s, r := c.of(t.From, m), c.of(t.To, m)
	s.Sent, r.Received = s.Sent+1, r.Received+1
	s.BytesSent, r.BytesReceived = s.BytesSent+uint64(t.FrameBytes), r.BytesReceived+uint64(t.FrameBytes)
	s.Frames, r.Frames = s.Frames+t.Encode, r.Frames+t.Decode
	if t.From.Zone != t.To.Zone {
		s.AcrossZones += uint64(t.FrameBytes)
	}
	if Region(t.From.Zone) != Region(t.To.Zone) {
		s.AcrossRegions += uint64(t.FrameBytes)
	}
	c.peers[[2]*light.Node{t.From, t.To}] = true
}

// Stepped counts the time that a machine took for an input.
func (c *Costs) Stepped(n *light.Node, in any, elapsed time.Duration) {
	c.of(n, ofInput(in)).Step += elapsed
}

// Probed counts a probe of a replica.
func (c *Costs) Probed(n *light.Node) { c.of(n, Probes).Probes++ }

// Wrote counts an entry that was synced to disk.
func (c *Costs) Wrote(n *light.Node) { c.of(n, Register).Writes++ }

// Total of a node, over the mechanisms that want is true for.
func (c *Costs) Total(n *light.Node, want func(m Mechanism) bool) Cost {
	var t Cost
	for m, cost := range c.by[n] {
		if want(m) {
			t.add(*cost)
		}
	}
	return t
}

// Of is what one mechanism cost one node.
func (c *Costs) Of(n *light.Node, m Mechanism) Cost { return *c.of(n, m) }

// Peers are how many nodes this one sent to so far.
func (c *Costs) Peers(n *light.Node) int {
	var count int
	for p := range c.peers {
		if p[0] == n {
			count++
		}
	}
	return count
}
