package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/eventqueue"
	"github.com/mallowbridge/mallowbridge/sim/network"
	"github.com/mallowbridge/mallowbridge/sim/replica"
	"github.com/mallowbridge/mallowbridge/sim/shape"
	"github.com/mallowbridge/mallowbridge/sim/workload"
)

// Scenario is what is to be played. Lasts is its length, Loss and Dup the shares of messages between nodes that are lost and doubled.
// IndexOff and RoundRob route without the prefix index, Resend has clients send lost requests once more, Builds has every other node be of
// the next build. Asks, if any, take the place of Load; From is when the load begins. Tune is called after Boot.
type Scenario struct {
	Seed     uint64
	Shape    shape.Shape
	Charter  []byte
	Load     workload.Load
	Model    replica.Model
	Lasts    time.Duration
	Faults   []Fault
	Loss     float64
	Dup      float64
	IndexOff bool
	RoundRob bool
	Resend   bool
	Builds   bool
	// Older has every other node be of the build before.
	Older bool
	Asks  []workload.Request
	From  time.Duration
	Tune  func(w *World)
	// Site is the platform that the nodes run on, if any; it takes the place of Shape, Config, Load and Model.
	Site *SiteSpec
}

// World is a fleet with its surroundings in virtual time. One goroutine runs it.
type World struct {
	eventqueue.Queue
	S              Scenario
	rng            *rand.Rand
	Net            *network.Net
	Nodes          []*Node
	byAddr         map[string]*Node
	Reps           []*FleetReplica
	replicasByName map[string]*FleetReplica
	byURL          map[string]*FleetReplica
	whim           *rand.Rand
	trap           func(n *Node, what control.ChangeKind)
	Ran            []ledger.RunEvent
	Got            []ledger.SendResult
	Audit          *Audit
	Report         Report
	Trace          []string
	answers        map[uint64]func(a control.Answer)
	asks           uint64
	ready          map[string][]*Node
	expect         uint64
	incarnations   uint64
	site           *site
	tune           func(c *control.Config, r *router.Config)
}

const traceLines = 800

// Verbose keeps the whole trace instead of its newest lines.
var Verbose bool

// New makes the fleet of a scenario; nothing runs yet.
func New(s Scenario) *World {
	if s.Site != nil {
		s.Shape = s.Site.Shape
	}
	if s.Charter == nil {
		s.Charter = s.Shape.Config
	}
	if s.Model.Capacity == 0 {
		s.Model = replica.DefaultModel()
		s.Model.Capacity = 12
	}
	w := &World{
		S: s, rng: rand.New(rand.NewPCG(s.Seed, 31)), Net: network.New(s.Seed), byAddr: map[string]*Node{}, replicasByName: map[string]*FleetReplica{},
		byURL: map[string]*FleetReplica{}, whim: rand.New(rand.NewPCG(s.Seed, 47)),
		answers: map[uint64]func(a control.Answer){}, ready: map[string][]*Node{},
	}
	w.Net.Loss, w.Net.Dup = s.Loss, s.Dup
	w.Report.Classes, w.Report.Reasons = map[string]*ClassResult{}, map[string]int{}
	w.Audit = newAudit(w)
	for i, ns := range s.Shape.Nodes {
		w.Nodes = append(w.Nodes, newNode(w, i, ns))
	}
	if s.Site != nil {
		w.openSite(*s.Site)
		return w
	}
	w.replicas()
	return w
}

// Say adds a line to the trace.
func (w *World) Say(format string, args ...any) {
	w.Trace = append(w.Trace, fmt.Sprintf("%8.3fs ", w.Now.Seconds())+fmt.Sprintf(format, args...))
	if len(w.Trace) > traceLines && !Verbose {
		w.Trace = w.Trace[len(w.Trace)-traceLines/2:]
	}
}

// Node is the node of that name, or nil.
func (w *World) Node(name string) *Node {
	for _, n := range w.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Boot starts the nodes, bootstraps the register and puts the first configuration.
func (w *World) Boot() {
	if w.site != nil {
		w.site.boot()
		return
	}
	for _, n := range w.Nodes {
		w.After(time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), func() { n.start() })
	}
	w.After(time.Second, func() { w.found() })
	w.platform()
	w.Audit.checkLeases()
}

func (w *World) found() {
	w.Call(w.Node(w.S.Shape.Voters[0]), control.Bootstrap{Names: w.S.Shape.Voters}, func(a control.Answer) {
		if a.Err != nil {
			w.Say("found: %v", a.Err)
			w.After(300*time.Millisecond, w.found)
			return
		}
		w.Put(w.Node(w.S.Shape.Voters[0]), 0, w.S.Charter, func(a control.Answer) {
			if a.Err != nil {
				w.Say("first put: %v", a.Err)
			}
		})
	})
}

func (w *World) platform() {
	w.ready = map[string][]*Node{}
	for _, n := range w.Nodes {
		if n.Alive && !n.frozen && !n.shuttingDown && n.router.NotReady(n.local()) == "" {
			w.ready[n.Zone] = append(w.ready[n.Zone], n)
		}
	}
	w.After(time.Second, w.platform)
}

func (w *World) pick(zone string) *Node {
	ns := w.ready[zone]
	if len(ns) == 0 {
		for _, d := range w.S.Shape.Zones {
			ns = append(ns, w.ready[d]...)
		}
	}
	if len(ns) == 0 {
		return nil
	}
	return ns[w.rng.IntN(len(ns))]
}

// Load submits the scenario's requests between the two times.
func (w *World) Load(from, until time.Duration) {
	for _, a := range w.S.Asks {
		w.At(from+a.At, func() { w.submit(a, w.S.Shape.Zones[w.rng.IntN(len(w.S.Shape.Zones))], 0) })
	}
	if len(w.S.Asks) > 0 {
		return
	}
	src := workload.NewSource(w.S.Load, w.S.Seed, fmt.Sprintf("q%d", w.S.Seed))
	var next func()
	next = func() {
		a := src.Next()
		if from+a.At >= until {
			return
		}
		w.At(from+a.At, func() {
			zone := w.S.Shape.Zones[w.rng.IntN(len(w.S.Shape.Zones))]
			w.submit(a, zone, 0)
			next()
		})
	}
	next()
}
