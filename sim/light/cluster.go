// Package light simulates a fleet of lightweight nodes: it runs only their real state machines, without audits, faults or the rules that package
// sim checks, so that hundreds of nodes fit into one process. Package capacity uses it to measure the costs of the control plane at several fleet
// sizes (docs/CAPACITY.md). New makes a Cluster from a Plan, whose Meter is called for every message, step, probe and disk write.
package light

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/disk"
	"github.com/mallowbridge/mallowbridge/sim/eventqueue"
	"github.com/mallowbridge/mallowbridge/sim/network"
	"github.com/mallowbridge/mallowbridge/sim/replica"
	"github.com/mallowbridge/mallowbridge/sim/shape"
	"github.com/mallowbridge/mallowbridge/sim/workload"
	"github.com/mallowbridge/mallowbridge/transport"
)

// Plan describes a lightweight fleet, its load and its measurement.
type Plan struct {
	Seed  uint64
	Shape shape.Shape
	Model replica.Model
	Meter Meter
	// NextRequest returns the requests in order of arrival; nil means no load.
	NextRequest func() workload.Request
	// PutInterval is the time between configuration changes; 0 means that only the first configuration is put. Document returns the n-th
	// configuration.
	PutInterval time.Duration
	Document    func(n int) []byte
	// CrossZoneDelay is the one-way delay between zones; the network's default is used if that is longer.
	CrossZoneDelay time.Duration
	// WatchSpread is the time over which the nodes' first connections to their replicas are spread.
	WatchSpread time.Duration
	// Clock returns the real time, with which encoding, decoding and steps are timed.
	Clock func() time.Duration
}

// Transfer is one message from one node to another, in a frame as on a connection that has carried a message of its type before.
type Transfer struct {
	From, To *Node
	Msg      any
	// FrameBytes is the length of the frame in bytes.
	FrameBytes int
	// Encode and Decode are the real times that encoding and decoding the frame took.
	Encode, Decode time.Duration
}

// Meter records the activity of the nodes of a lightweight fleet.
type Meter interface {
	// Sent is called for each message from node to node.
	Sent(t Transfer)
	// Stepped is called for each input of a state machine (control.Input or router.Event), with the real time that the step took.
	Stepped(n *Node, in any, elapsed time.Duration)
	// Probed is called for each usage query that a node sends to a replica.
	Probed(n *Node)
	// Wrote is called for each entry that a node writes to its disk.
	Wrote(n *Node)
}

// Cluster is a fleet with the load and the configuration changes of a Plan. Its embedded Queue is the virtual time.
type Cluster struct {
	eventqueue.Queue
	Plan Plan
	rng  *rand.Rand
	net  *network.Net
	// writer, buf and reader encode and decode every message, as one connection that has carried every type.
	writer       *transport.Writer
	buf          bytes.Buffer
	reader       *transport.Reader
	Nodes        []*Node
	nodesByAddr  map[string]*Node
	replicas     map[string]*replica.Replica
	replicaZones map[string]string
	pendingCalls map[uint64]func(a control.Answer)
	lastID       uint64
	putCount     int
	// putAt is when each accepted version was put, until all nodes apply it; appliedBy counts the nodes that apply each version.
	putAt     map[uint64]time.Duration
	appliedBy map[uint64]int
	// ApplyTimes are the times from the put of each accepted configuration until the last node applied it or a later one.
	ApplyTimes []time.Duration
	// Outcomes counts requests by outcome.
	Outcomes map[string]int
	// FirstTokenTimes are the times to first token.
	FirstTokenTimes []time.Duration
}

// New returns the fleet; nothing runs before Boot.
func New(p Plan) *Cluster {
	h := &Cluster{
		Plan: p, rng: rand.New(rand.NewPCG(p.Seed, 53)), net: network.New(p.Seed), writer: transport.NewWriter(), nodesByAddr: map[string]*Node{},
		replicas: map[string]*replica.Replica{}, replicaZones: map[string]string{}, pendingCalls: map[uint64]func(a control.Answer){},
		putAt: map[uint64]time.Duration{}, appliedBy: map[uint64]int{}, Outcomes: map[string]int{},
	}
	h.reader = transport.NewReader(&h.buf)
	h.net.CrossZoneDelay = max(h.net.CrossZoneDelay, p.CrossZoneDelay)
	for i, s := range p.Shape.Nodes {
		n := &Node{cluster: h, Name: s.Name, Zone: s.Zone, Addr: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255), watched: map[string]bool{}, requests: map[string]*request{}}
		if s.Disk {
			n.Disk = disk.New(p.Seed*1000 + uint64(i))
		}
		h.Nodes = append(h.Nodes, n)
		h.nodesByAddr[n.Addr] = n
	}
	return h
}

// Boot schedules the start of all nodes within 300 ms, the bootstrap of the register after 1 s, and the put of the first configuration.
func (h *Cluster) Boot() {
	c, err := config.Read(h.Plan.Shape.Config)
	if err != nil {
		panic(err)
	}
	for _, service := range c.Services {
		for _, r := range service.Replicas {
			h.replicas[r.Name], h.replicaZones[r.Name] = replica.New(h.Plan.Model, r.Name+".1", -time.Hour), r.Zone
		}
	}
	for i, n := range h.Nodes {
		n.watchFrom = h.Plan.WatchSpread * time.Duration(i) / time.Duration(len(h.Nodes))
		h.After(time.Duration(i)*300*time.Millisecond/time.Duration(len(h.Nodes)), n.start)
	}
	h.After(time.Second, h.bootstrap)
}

func (h *Cluster) nodeNamed(name string) *Node {
	for _, n := range h.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

func (h *Cluster) call(n *Node, op control.Op, done func(a control.Answer)) {
	h.lastID++
	h.pendingCalls[h.lastID] = done
	n.step(control.Command{ID: h.lastID, Op: op})
}

func (h *Cluster) bootstrap() {
	n := h.nodeNamed(h.Plan.Shape.Voters[0])
	h.call(n, control.Bootstrap{Names: h.Plan.Shape.Voters}, func(a control.Answer) {
		if a.Err != nil {
			h.After(300*time.Millisecond, h.bootstrap)
			return
		}
		h.put(n, 0, h.Plan.Shape.Config)
	})
}

func (h *Cluster) put(n *Node, expect uint64, body []byte) {
	h.putCount++
	at := h.Now
	h.call(n, control.Put{ID: "put-" + strconv.Itoa(h.putCount), ExpectedVersion: expect, Document: body}, func(a control.Answer) {
		if a.Err == nil {
			h.putAt[a.Value.Version] = at
			h.recordIfApplied(a.Value.Version)
		}
	})
}

// PutPeriodically puts a configuration every PutInterval, the first after half of it, each at another node.
func (h *Cluster) PutPeriodically() {
	if h.Plan.PutInterval == 0 {
		return
	}
	var next func()
	next = func() {
		n := h.Nodes[h.putCount%len(h.Nodes)]
		h.put(n, n.Router.Version(), h.Plan.Document(h.putCount))
		h.After(h.Plan.PutInterval, next)
	}
	h.After(h.Plan.PutInterval/2, next)
}

// recordIfApplied adds to ApplyTimes when the last node applies an accepted version.
func (h *Cluster) recordIfApplied(version uint64) {
	at, known := h.putAt[version]
	if known && h.appliedBy[version] == len(h.Nodes) {
		h.ApplyTimes = append(h.ApplyTimes, h.Now-at)
		delete(h.putAt, version)
	}
}

// SubmitLoad submits the requests of NextRequest from now to until, each to a random node.
func (h *Cluster) SubmitLoad(until time.Duration) {
	if h.Plan.NextRequest == nil {
		return
	}
	from := h.Now
	var next func()
	next = func() {
		a := h.Plan.NextRequest()
		if from+a.At >= until {
			return
		}
		h.At(from+a.At, func() {
			h.Nodes[h.rng.IntN(len(h.Nodes))].submit(a)
			next()
		})
	}
	next()
}

func (h *Cluster) send(from *Node, s control.Send) {
	to := h.nodesByAddr[s.To]
	if to == nil || to.Control == nil {
		return
	}
	start := h.Plan.Clock()
	frame, err := h.writer.Frame(s.Msg)
	encoded := h.Plan.Clock() - start
	if err != nil {
		panic(err)
	}
	h.buf.Write(frame)
	start = h.Plan.Clock()
	received, err := h.reader.Next()
	decoded := h.Plan.Clock() - start
	if err != nil {
		panic(err)
	}
	h.Plan.Meter.Sent(Transfer{From: from, To: to, Msg: s.Msg, FrameBytes: len(frame), Encode: encoded, Decode: decoded})
	h.After(h.net.Delay(from.Zone == to.Zone), func() { to.step(control.Received{From: from.Addr, Msg: received}) })
}

// snapshotApplied counts the node for the applied version and all versions that it skipped.
func (n *Node) snapshotApplied(o router.SnapshotUpdate) {
	for version := n.version + 1; version <= o.Snapshot.Version; version++ {
		n.cluster.appliedBy[version]++
		n.cluster.recordIfApplied(version)
	}
	n.version = max(n.version, o.Snapshot.Version)
}
