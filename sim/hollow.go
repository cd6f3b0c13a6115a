package sim

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/transport"
)

// HollowPlan is a fleet whose state machines are real and whose surroundings are the least that they need: nothing is audited
// and nothing breaks, so that a fleet of hundreds fits into one process.
type HollowPlan struct {
	Seed  uint64
	Shape Shape
	Model Model
	Meter Meter
	// Next gives the load, in order of time; nil: none.
	Next func() Ask
	// PutEvery is the time between changes of configuration; 0: only the first. Body gives the n-th.
	PutEvery time.Duration
	Body     func(n int) []byte
	Far      time.Duration
	// Roll spreads over so long when each node first looks at its replicas.
	Roll time.Duration
	// Clock is what inputs are timed by.
	Clock func() time.Duration
}

// Meter sees what the machines of a hollow fleet do.
type Meter interface {
	// Sent is one message of one node to another: its frame on a connection that has carried its kind before.
	Sent(from, to *HollowNode, msg any, frame int, encode, decode time.Duration)
	// Stepped is one input (control.In or mallowbridge.Event) and the real time that the machine took for it.
	Stepped(n *HollowNode, in any, took time.Duration)
	// Asked is one question to a replica for its usage.
	Asked(n *HollowNode)
	// Wrote is one entry to be synced to a node's disk.
	Wrote(n *HollowNode)
}

// Hollow is a fleet that runs a HollowPlan.
type Hollow struct {
	queue
	S       HollowPlan
	rng     *rand.Rand
	net     *Net
	pipe    *transport.Writer
	buf     bytes.Buffer
	out     *transport.Reader
	Nodes   []*HollowNode
	byAddr  map[string]*HollowNode
	reps    map[string]*Replica
	where   map[string]string
	answers map[uint64]func(a control.Answer)
	ids     uint64
	puts    int
	offered map[uint64]time.Duration
	obeyed  map[uint64]int
	// Puts is how long each accepted configuration took from its offer until the last node obeyed it or a later one.
	Puts []time.Duration
	// Ends counts how requests ended.
	Ends map[string]int
	// Firsts are the times to first token.
	Firsts []time.Duration
}

// NewHollow makes the fleet; nothing runs yet.
func NewHollow(p HollowPlan) *Hollow {
	h := &Hollow{
		S: p, rng: rand.New(rand.NewPCG(p.Seed, 53)), net: newNet(p.Seed), pipe: transport.NewWriter(), byAddr: map[string]*HollowNode{},
		reps: map[string]*Replica{}, where: map[string]string{}, answers: map[uint64]func(a control.Answer){},
		offered: map[uint64]time.Duration{}, obeyed: map[uint64]int{}, Ends: map[string]int{},
	}
	h.out = transport.NewReader(&h.buf)
	h.net.Far = max(h.net.Far, p.Far)
	for i, s := range p.Shape.Nodes {
		n := &HollowNode{h: h, Name: s.Name, Domain: s.Domain, Addr: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255), eyes: map[string]bool{}, asks: map[string]*hollowGo{}}
		if s.Disk {
			n.Disk = NewDisk(p.Seed*1000 + uint64(i))
		}
		h.Nodes = append(h.Nodes, n)
		h.byAddr[n.Addr] = n
	}
	return h
}

// Now is the virtual time since the fleet was made.
func (h *Hollow) Now() time.Duration { return h.now }

// Run runs the fleet until that time.
func (h *Hollow) Run(until time.Duration) { h.run(until) }

// Boot starts all nodes within a third of a second, founds the register and puts the first configuration.
func (h *Hollow) Boot() {
	c, err := config.Read(h.S.Shape.Charter)
	if err != nil {
		panic(err)
	}
	for _, o := range c.Services {
		for _, r := range o.Replicas {
			h.reps[r.Name], h.where[r.Name] = NewReplica(h.S.Model, r.Name+".1", -time.Hour), r.Zone
		}
	}
	for i, n := range h.Nodes {
		n.rolled = h.S.Roll * time.Duration(i) / time.Duration(len(h.Nodes))
		h.after(time.Duration(i)*300*time.Millisecond/time.Duration(len(h.Nodes)), n.start)
	}
	h.after(time.Second, h.found)
}

func (h *Hollow) node(name string) *HollowNode {
	for _, n := range h.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

func (h *Hollow) call(n *HollowNode, op control.Op, done func(a control.Answer)) {
	h.ids++
	h.answers[h.ids] = done
	n.step(control.Command{ID: h.ids, Op: op})
}

func (h *Hollow) found() {
	n := h.node(h.S.Shape.Voters[0])
	h.call(n, control.Bootstrap{Names: h.S.Shape.Voters}, func(a control.Answer) {
		if a.Err != nil {
			h.after(300*time.Millisecond, h.found)
			return
		}
		h.put(n, 0, h.S.Shape.Charter)
	})
}

func (h *Hollow) put(n *HollowNode, expect uint64, body []byte) {
	h.puts++
	at := h.now
	h.call(n, control.Put{ID: "put-" + strconv.Itoa(h.puts), Expect: expect, Document: body}, func(a control.Answer) {
		if a.Err == nil {
			h.offered[a.Value.Version] = at
			h.inForce(a.Value.Version)
		}
	})
}

// Change puts a configuration every PutEvery from half of that on, each at another node.
func (h *Hollow) Change() {
	if h.S.PutEvery == 0 {
		return
	}
	var next func()
	next = func() {
		n := h.Nodes[h.puts%len(h.Nodes)]
		h.put(n, n.Router.Version(), h.S.Body(h.puts))
		h.after(h.S.PutEvery, next)
	}
	h.after(h.S.PutEvery/2, next)
}

func (h *Hollow) inForce(mark uint64) {
	at, known := h.offered[mark]
	if known && h.obeyed[mark] == len(h.Nodes) {
		h.Puts = append(h.Puts, h.now-at)
		delete(h.offered, mark)
	}
}

// Load submits the requests of Next from now until then, each to a node at random.
func (h *Hollow) Load(until time.Duration) {
	if h.S.Next == nil {
		return
	}
	from := h.now
	var next func()
	next = func() {
		a := h.S.Next()
		if from+a.At >= until {
			return
		}
		h.at(from+a.At, func() {
			h.Nodes[h.rng.IntN(len(h.Nodes))].submit(a)
			next()
		})
	}
	next()
}

func (h *Hollow) carry(from *HollowNode, s control.Send) {
	to := h.byAddr[s.To]
	if to == nil || to.Control == nil {
		return
	}
	start := h.S.Clock()
	frame, err := h.pipe.Frame(s.Msg)
	encoded := h.S.Clock() - start
	if err != nil {
		panic(err)
	}
	h.buf.Write(frame)
	start = h.S.Clock()
	same, err := h.out.Next()
	decoded := h.S.Clock() - start
	if err != nil {
		panic(err)
	}
	h.S.Meter.Sent(from, to, s.Msg, len(frame), encoded, decoded)
	h.after(h.net.delay(from.Domain == to.Domain), func() { to.step(control.Received{From: from.Addr, Msg: same}) })
}

func (n *HollowNode) obeys(o mallowbridge.SnapshotUpdate) {
	for mark := n.mark + 1; mark <= o.Snapshot.Version; mark++ {
		n.h.obeyed[mark]++
		n.h.inForce(mark)
	}
	n.mark = max(n.mark, o.Snapshot.Version)
}
