// Package light is a fleet of lightweight nodes: only their state machines, without clients' rules or audits, so that hundreds fit in one
// process. It measures what control costs at several sizes (docs/CAPACITY.md).
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

// Plan is a fleet whose state machines are real and whose surroundings are the least that they need: nothing is audited
// and nothing breaks, so that a fleet of hundreds fits into one process.
type Plan struct {
	Seed  uint64
	Shape shape.Shape
	Model replica.Model
	Meter Meter
	// NextRequest gives the load, in order of time; nil: none.
	NextRequest func() workload.Request
	// PutInterval is the time between changes of configuration; 0: only the first. Body gives the n-th.
	PutInterval    time.Duration
	Document       func(n int) []byte
	CrossZoneDelay time.Duration
	// WatchSpread spreads over so long when each node first looks at its replicas.
	WatchSpread time.Duration
	// Clock is what inputs are timed by.
	Clock func() time.Duration
}

// Transfer is one message of one node to another: its frame on a connection that has carried its kind before.
type Transfer struct {
	From, To *Node
	Msg      any
	// FrameBytes is the length of the frame.
	FrameBytes int
	// Encode and Decode are the real time that the frame's encoding and decoding took.
	Encode, Decode time.Duration
}

// Meter sees what the machines of a lightweight fleet do.
type Meter interface {
	Sent(t Transfer)
	// Stepped is one input (control.In or router.Event) and the real time that the machine took for it.
	Stepped(n *Node, in any, elapsed time.Duration)
	// Probed is one question to a replica for its usage.
	Probed(n *Node)
	// Wrote is one entry to be synced to a node's disk.
	Wrote(n *Node)
}

// Cluster is a fleet that runs a Plan.
type Cluster struct {
	eventqueue.Queue
	Plan    Plan
	rng     *rand.Rand
	net     *network.Net
	pipe    *transport.Writer
	buf     bytes.Buffer
	out     *transport.Reader
	Nodes   []*Node
	byAddr  map[string]*Node
	reps    map[string]*replica.Replica
	where   map[string]string
	answers map[uint64]func(a control.Answer)
	ids     uint64
	puts    int
	offered map[uint64]time.Duration
	obeyed  map[uint64]int
	// ApplyTimes is how long each accepted configuration took from its service until the last node obeyed it or a later one.
	ApplyTimes []time.Duration
	// Outcomes counts how requests ended.
	Outcomes map[string]int
	// FirstTokenTimes are the times to first token.
	FirstTokenTimes []time.Duration
}

// New makes the fleet; nothing runs yet.
func New(p Plan) *Cluster {
	h := &Cluster{
		Plan: p, rng: rand.New(rand.NewPCG(p.Seed, 53)), net: network.New(p.Seed), pipe: transport.NewWriter(), byAddr: map[string]*Node{},
		reps: map[string]*replica.Replica{}, where: map[string]string{}, answers: map[uint64]func(a control.Answer){},
		offered: map[uint64]time.Duration{}, obeyed: map[uint64]int{}, Outcomes: map[string]int{},
	}
	h.out = transport.NewReader(&h.buf)
	h.net.CrossZoneDelay = max(h.net.CrossZoneDelay, p.CrossZoneDelay)
	for i, s := range p.Shape.Nodes {
		n := &Node{h: h, Name: s.Name, Zone: s.Zone, Addr: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255), watchers: map[string]bool{}, asks: map[string]*request{}}
		if s.Disk {
			n.Disk = disk.New(p.Seed*1000 + uint64(i))
		}
		h.Nodes = append(h.Nodes, n)
		h.byAddr[n.Addr] = n
	}
	return h
}

// Boot starts all nodes within a third of a second, bootstraps the register and puts the first configuration.
func (h *Cluster) Boot() {
	c, err := config.Read(h.Plan.Shape.Config)
	if err != nil {
		panic(err)
	}
	for _, o := range c.Services {
		for _, r := range o.Replicas {
			h.reps[r.Name], h.where[r.Name] = replica.New(h.Plan.Model, r.Name+".1", -time.Hour), r.Zone
		}
	}
	for i, n := range h.Nodes {
		n.upgradeAt = h.Plan.WatchSpread * time.Duration(i) / time.Duration(len(h.Nodes))
		h.After(time.Duration(i)*300*time.Millisecond/time.Duration(len(h.Nodes)), n.start)
	}
	h.After(time.Second, h.found)
}

func (h *Cluster) node(name string) *Node {
	for _, n := range h.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

func (h *Cluster) call(n *Node, op control.Op, done func(a control.Answer)) {
	h.ids++
	h.answers[h.ids] = done
	n.step(control.Command{ID: h.ids, Op: op})
}

func (h *Cluster) found() {
	n := h.node(h.Plan.Shape.Voters[0])
	h.call(n, control.Bootstrap{Names: h.Plan.Shape.Voters}, func(a control.Answer) {
		if a.Err != nil {
			h.After(300*time.Millisecond, h.found)
			return
		}
		h.put(n, 0, h.Plan.Shape.Config)
	})
}

func (h *Cluster) put(n *Node, expect uint64, body []byte) {
	h.puts++
	at := h.Now
	h.call(n, control.Put{ID: "put-" + strconv.Itoa(h.puts), ExpectedVersion: expect, Document: body}, func(a control.Answer) {
		if a.Err == nil {
			h.offered[a.Value.Version] = at
			h.inForce(a.Value.Version)
		}
	})
}

// PutPeriodically puts a configuration every PutEvery from half of that on, each at another node.
func (h *Cluster) PutPeriodically() {
	if h.Plan.PutInterval == 0 {
		return
	}
	var next func()
	next = func() {
		n := h.Nodes[h.puts%len(h.Nodes)]
		h.put(n, n.Router.Version(), h.Plan.Document(h.puts))
		h.After(h.Plan.PutInterval, next)
	}
	h.After(h.Plan.PutInterval/2, next)
}

func (h *Cluster) inForce(version uint64) {
	at, known := h.offered[version]
	if known && h.obeyed[version] == len(h.Nodes) {
		h.ApplyTimes = append(h.ApplyTimes, h.Now-at)
		delete(h.offered, version)
	}
}

// SubmitLoad submits the requests of Next from now until then, each to a node at random.
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

func (h *Cluster) carry(from *Node, s control.Send) {
	to := h.byAddr[s.To]
	if to == nil || to.Control == nil {
		return
	}
	start := h.Plan.Clock()
	frame, err := h.pipe.Frame(s.Msg)
	encoded := h.Plan.Clock() - start
	if err != nil {
		panic(err)
	}
	h.buf.Write(frame)
	start = h.Plan.Clock()
	same, err := h.out.Next()
	decoded := h.Plan.Clock() - start
	if err != nil {
		panic(err)
	}
	h.Plan.Meter.Sent(Transfer{From: from, To: to, Msg: s.Msg, FrameBytes: len(frame), Encode: encoded, Decode: decoded})
	h.After(h.net.Delay(from.Zone == to.Zone), func() { to.step(control.Received{From: from.Addr, Msg: same}) })
}

func (n *Node) applies(o router.SnapshotUpdate) {
	for version := n.version + 1; version <= o.Snapshot.Version; version++ {
		n.h.obeyed[version]++
		n.h.inForce(version)
	}
	n.version = max(n.version, o.Snapshot.Version)
}
