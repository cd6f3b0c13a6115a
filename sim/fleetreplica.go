package sim

import (
	"fmt"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/replica"
)

// FleetReplica is a simulated replica of a fleet with its connections.
type FleetReplica struct {
	w    *World
	Name string
	Zone string
	Up   bool
	// While Unreachable is set, the replica sends no response; while Failing is set, it breaks off each response.
	Unreachable bool
	Draining    bool
	Failing     bool
	// startedAt is when this instance started, previousInstance the id of the previous one.
	startedAt        time.Duration
	previousInstance string
	// CorruptOneIn is the mean number of response lines per corrupted one; 0 means that none is corrupted.
	CorruptOneIn    int
	lastIncarnation uint64
	// onCrash contains functions that reset the idle connections of nodes. They are called when the replica crashes.
	onCrash []func()
	model   *replica.Replica
	conns   map[string]*fleetConn
}

func (w *World) startReplicas() {
	c, err := config.Read(w.Scenario.Config)
	if err != nil {
		panic(err)
	}
	for _, service := range c.Services {
		for _, rc := range service.Replicas {
			r := &FleetReplica{w: w, Name: rc.Name, Zone: rc.Zone, conns: map[string]*fleetConn{}}
			w.Replicas = append(w.Replicas, r)
			w.replicasByName[r.Name] = r
			w.replicasByAddr[rc.Addr] = r
			r.start(-time.Hour)
		}
	}
}

func (r *FleetReplica) addr() string { return "rep/" + r.Name }

func (r *FleetReplica) start(startedAt time.Duration) {
	if r.lastIncarnation++; r.model != nil {
		r.previousInstance = r.model.Instance
	}
	r.Up, r.Draining, r.startedAt, r.CorruptOneIn = true, false, r.w.Now, 0
	r.model = replica.New(r.w.Scenario.Model, fmt.Sprintf("%s.%d", r.Name, r.lastIncarnation), startedAt)
}

func (r *FleetReplica) crash() {
	if !r.Up {
		return
	}
	r.w.Tracef("replica %s crashes", r.Name)
	r.collectCounters()
	r.Up = false
	for _, id := range sortedKeys(r.conns) {
		r.conns[id].reset()
	}
	r.conns = map[string]*fleetConn{}
	callbacks := r.onCrash
	r.onCrash = nil
	for _, callback := range callbacks {
		callback()
	}
}

// collectCounters moves the instance's counters into the report.
func (r *FleetReplica) collectCounters() {
	report := &r.w.Report
	report.WarmupOverloads += r.model.WarmupOverloads
	report.CachedTokens += r.model.CachedTokens
	report.PrefixTokens += r.model.PrefixTokens
	report.ReplicaAdmitted += r.model.Admitted
	report.ReplicaRejected += r.model.Rejected
	r.model.WarmupOverloads, r.model.CachedTokens, r.model.PrefixTokens, r.model.Admitted, r.model.Rejected = 0, 0, 0, 0, 0
}

func (r *FleetReplica) record(event, req, id string, n int) {
	r.w.Ran = append(r.w.Ran, ledger.RunEvent{
		AtMs: r.w.Now.Milliseconds(), Replica: r.Name, InstanceID: r.model.Instance, Request: req, AttemptID: id, Event: event, Chunks: n,
	})
}

// corruptLine corrupts a random share of the lines: a line is lost, has the number of the previous one, or has the id of another attempt or
// instance. It returns false if the line is lost. A response is complete only if all its lines are correct.
func (r *FleetReplica) corruptLine(c *fleetConn, line *router.ResponseLine) bool {
	if r.CorruptOneIn == 0 || r.w.auxRNG.IntN(r.CorruptOneIn) > 0 {
		return true
	}
	c.corrupted = true
	switch r.w.auxRNG.IntN(4) {
	case 0:
		return false
	case 1:
		line.AttemptID, line.Text = "someone.else.1", ledger.ChunkText("someone", "someone.else.1", *line.Chunk)
	case 2:
		line.InstanceID += "x"
	case 3:
		n := *line.Chunk - 1
		line.Chunk = &n
	}
	return true
}

// reportListing reports the platform's state of a replica to a random live node. It retries each second until there is such a node.
func (w *World) reportListing(name string, state router.ListingState) {
	var live []*Node
	for _, n := range w.Nodes {
		if n.Alive && !n.frozen {
			live = append(live, n)
		}
	}
	if len(live) == 0 {
		w.After(time.Second, func() { w.reportListing(name, state) })
		return
	}
	n := live[w.rng.IntN(len(live))]
	w.Tracef("platform lists %s as %s at %s", name, state, n.Name)
	if state == router.Present {
		w.Audit.replicaListedAgain(name)
	} else {
		w.Audit.replicaDraining(n, name)
	}
	w.Call(n, control.SetReplicaStates{At: n.unixMs(), Rows: []control.ReplicaState{{Replica: name, State: state}}}, func(control.Answer) {})
}

// rollingRelease replaces one replica after the other: it drains, ends and starts again.
func (w *World) rollingRelease(names []string, interval time.Duration) {
	for i, name := range names {
		r := w.replicasByName[name]
		w.After(time.Duration(i)*interval, func() {
			r.Draining = true
			w.After(500*time.Millisecond, func() { w.reportListing(name, router.Draining) })
			w.After(4500*time.Millisecond, func() { r.crash() })
			w.After(6500*time.Millisecond, func() {
				r.start(w.Now)
				w.After(500*time.Millisecond, func() { w.reportListing(name, router.Present) })
			})
		})
	}
}

func sortedKeys[T any](m map[string]T) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
