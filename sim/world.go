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

// Scenario describes a run: the fleet, its load and its faults.
type Scenario struct {
	Seed  uint64
	Shape shape.Shape
	// Config is the first configuration; Shape.Config if nil.
	Config []byte
	Load   workload.Load
	Model  replica.Model
	// Duration is the length of the run, without the checks at its end.
	Duration time.Duration
	Faults   []Fault
	// LossRatio and DupRatio are the shares of messages between nodes that are lost and duplicated.
	LossRatio float64
	DupRatio  float64
	// DisableIndex routes without the prefix index; RoundRobin also replaces the scheduler's choice by round robin.
	DisableIndex bool
	RoundRobin   bool
	// ResendLost makes clients send lost requests once more.
	ResendLost bool
	// MixNextBuild makes every other node report the next build.
	MixNextBuild bool
	// MixPreviousBuild makes every other node report the previous build.
	MixPreviousBuild bool
	// Requests, if any, replace Load.
	Requests []workload.Request
	// LoadStart is when a fleet's load begins; 5 s after the start at the earliest. A site's load begins at a fixed time.
	LoadStart time.Duration
	// AfterBoot, if any, is called after Boot.
	AfterBoot func(w *World)
	// Site is the platform on which the nodes run, if any; it replaces Shape, Config, Load and Model.
	Site *SiteSpec
}

// World is a fleet with its simulated surroundings in virtual time. One goroutine runs it.
type World struct {
	eventqueue.Queue
	Scenario       Scenario
	rng            *rand.Rand
	Net            *network.Net
	Nodes          []*Node
	nodesByAddr    map[string]*Node
	Replicas       []*FleetReplica
	replicasByName map[string]*FleetReplica
	replicasByAddr map[string]*FleetReplica
	// auxRNG is a second generator for choices that must not shift the sequence of rng.
	auxRNG *rand.Rand
	// onControlChange, if any, is called for each change that a node reports.
	onControlChange func(n *Node, what control.ChangeKind)
	// Ran contains what replicas ran, Got what clients received, for package ledger.
	Ran    []ledger.RunEvent
	Got    []ledger.SendResult
	Audit  *Audit
	Report Report
	// Trace contains the newest lines of the event log.
	Trace []string
	// pendingCalls are the callbacks of operations that nodes have not completed yet, by operation id.
	pendingCalls map[uint64]func(a control.Answer)
	lastID       uint64
	// readyByZone are the nodes that the platform considers ready, by zone.
	readyByZone map[string][]*Node
	// expectedVersion is the version that operators believe to be in force.
	expectedVersion uint64
	lastIncarnation uint64
	site            *site
	// adjustNode, if any, changes the settings of each node that starts on a site.
	adjustNode func(c *control.Config, r *router.Config)
}

const maxTraceLines = 800

// Verbose keeps all trace lines instead of only the newest.
var Verbose bool

// New returns the fleet of a scenario; nothing runs before Boot.
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
		Scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 31)), Net: network.New(s.Seed), nodesByAddr: map[string]*Node{}, replicasByName: map[string]*FleetReplica{},
		replicasByAddr: map[string]*FleetReplica{}, auxRNG: rand.New(rand.NewPCG(s.Seed, 47)),
		pendingCalls: map[uint64]func(a control.Answer){}, readyByZone: map[string][]*Node{},
	}
	w.Net.LossRatio, w.Net.DupRatio = s.LossRatio, s.DupRatio
	w.Report.Classes, w.Report.Reasons = map[string]*ClassResult{}, map[string]int{}
	w.Audit = newAudit(w)
	for i, node := range s.Shape.Nodes {
		w.Nodes = append(w.Nodes, newNode(w, i, node))
	}
	if s.Site != nil {
		w.attachSite(*s.Site)
		return w
	}
	w.startReplicas()
	return w
}

// Tracef adds a line to the trace.
func (w *World) Tracef(format string, args ...any) {
	w.Trace = append(w.Trace, fmt.Sprintf("%8.3fs ", w.Now.Seconds())+fmt.Sprintf(format, args...))
	if len(w.Trace) > maxTraceLines && !Verbose {
		w.Trace = w.Trace[len(w.Trace)-maxTraceLines/2:]
	}
}

// Node returns the node of that name, or nil.
func (w *World) Node(name string) *Node {
	for _, n := range w.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Boot schedules the start of the nodes, the bootstrap of the register and the put of the first configuration.
func (w *World) Boot() {
	if w.site != nil {
		w.site.boot()
		return
	}
	for _, n := range w.Nodes {
		w.After(time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), func() { n.start() })
	}
	w.After(time.Second, func() { w.bootstrap() })
	w.pollReadiness()
	w.Audit.checkLeases()
}

func (w *World) bootstrap() {
	w.Call(w.Node(w.Scenario.Shape.Voters[0]), control.Bootstrap{Names: w.Scenario.Shape.Voters}, func(a control.Answer) {
		if a.Err != nil {
			w.Tracef("bootstrap failed: %v", a.Err)
			w.After(300*time.Millisecond, w.bootstrap)
			return
		}
		w.Put(w.Node(w.Scenario.Shape.Voters[0]), 0, w.Scenario.Config, func(a control.Answer) {
			if a.Err != nil {
				w.Tracef("first put failed: %v", a.Err)
			}
		})
	})
}

// pollReadiness asks all nodes each second whether they are ready, as a load balancer in front of them would.
func (w *World) pollReadiness() {
	w.readyByZone = map[string][]*Node{}
	for _, n := range w.Nodes {
		if n.Alive && !n.frozen && !n.shuttingDown && n.router.NotReady(n.localTime()) == "" {
			w.readyByZone[n.Zone] = append(w.readyByZone[n.Zone], n)
		}
	}
	w.After(time.Second, w.pollReadiness)
}

// pickReadyNode returns a random ready node of the zone, of all zones if it has none, or nil.
func (w *World) pickReadyNode(zone string) *Node {
	candidates := w.readyByZone[zone]
	if len(candidates) == 0 {
		for _, other := range w.Scenario.Shape.Zones {
			candidates = append(candidates, w.readyByZone[other]...)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[w.rng.IntN(len(candidates))]
}

// SubmitLoad schedules the scenario's requests; those of a random load between from and until.
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
