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
	Seed         uint64
	Shape        shape.Shape
	Config       []byte
	Load         workload.Load
	Model        replica.Model
	Duration     time.Duration
	Faults       []Fault
	LossRatio    float64
	DupRatio     float64
	DisableIndex bool
	RoundRobin   bool
	ResendLost   bool
	MixNextBuild bool
	// MixPreviousBuild has every other node be of the build before.
	MixPreviousBuild bool
	Requests         []workload.Request
	LoadStart        time.Duration
	AfterBoot        func(w *World)
	// Site is the platform that the nodes run on, if any; it takes the place of Shape, Config, Load and Model.
	Site *SiteSpec
}

// World is a fleet with its surroundings in virtual time. One goroutine runs it.
type World struct {
	eventqueue.Queue
	Scenario       Scenario
	rng            *rand.Rand
	Net            *network.Net
	Nodes          []*Node
	byAddr         map[string]*Node
	Replicas       []*FleetReplica
	replicasByName map[string]*FleetReplica
	byURL          map[string]*FleetReplica
	whim           *rand.Rand
	trap           func(n *Node, what control.ChangeKind)
	Ran            []ledger.Ran
	Got            []ledger.Got
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
	if s.Config == nil {
		s.Config = s.Shape.Config
	}
	if s.Model.Capacity == 0 {
		s.Model = replica.DefaultModel()
		s.Model.Capacity = 12
	}
	w := &World{
		Scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 31)), Net: network.New(s.Seed), byAddr: map[string]*Node{}, replicasByName: map[string]*FleetReplica{},
		byURL: map[string]*FleetReplica{}, whim: rand.New(rand.NewPCG(s.Seed, 47)),
		answers: map[uint64]func(a control.Answer){}, ready: map[string][]*Node{},
	}
	w.Net.LossRatio, w.Net.DupRatio = s.LossRatio, s.DupRatio
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

// Tracef adds a line to the trace.
func (w *World) Tracef(format string, args ...any) {
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
	w.Call(w.Node(w.Scenario.Shape.Voters[0]), control.Bootstrap{Names: w.Scenario.Shape.Voters}, func(a control.Answer) {
		if a.Err != nil {
			w.Tracef("found: %v", a.Err)
			w.After(300*time.Millisecond, w.found)
			return
		}
		w.Put(w.Node(w.Scenario.Shape.Voters[0]), 0, w.Scenario.Config, func(a control.Answer) {
			if a.Err != nil {
				w.Tracef("first put: %v", a.Err)
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
		for _, d := range w.Scenario.Shape.Zones {
			ns = append(ns, w.ready[d]...)
		}
	}
	if len(ns) == 0 {
		return nil
	}
	return ns[w.rng.IntN(len(ns))]
}

// SubmitLoad submits the scenario's requests between the two times.
func (w *World) SubmitLoad(from, until time.Duration) {
	for _, a := range w.Scenario.Requests {
		w.At(from+a.At, func() { w.submit(a, w.Scenario.Shape.Zones[w.rng.IntN(len(w.Scenario.Shape.Zones))], 0) })
	}
	if len(w.Scenario.Requests) > 0 {
		return
	}
	src := workload.NewSource(w.Scenario.Load, w.Scenario.Seed, fmt.Sprintf("q%d", w.Scenario.Seed))
	var next func()
	next = func() {
		a := src.Next()
		if from+a.At >= until {
			return
		}
		w.At(from+a.At, func() {
			zone := w.Scenario.Shape.Zones[w.rng.IntN(len(w.Scenario.Shape.Zones))]
			w.submit(a, zone, 0)
			next()
		})
	}
	next()
}
