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

// FleetReplica is a simulated replica with its connections. Dark: it answers nothing; Unhealthy: it breaks each answer; CorruptAnswers: it spoils a line in one
// of so many answers.
type FleetReplica struct {
	w            *World
	Name         string
	Zone         string
	Up           bool
	Unreachable  bool
	Draining     bool
	Failing      bool
	since        time.Duration
	before       string
	CorruptOneIn int
	incarnations uint64
	watchers     []func()
	model        *replica.Replica
	conns        map[string]*fleetConn
}

func (w *World) replicas() {
	c, err := config.Read(w.Scenario.Config)
	if err != nil {
		panic(err)
	}
	for _, o := range c.Services {
		for _, rc := range o.Replicas {
			r := &FleetReplica{w: w, Name: rc.Name, Zone: rc.Zone, conns: map[string]*fleetConn{}}
			w.Replicas = append(w.Replicas, r)
			w.replicasByName[r.Name] = r
			w.byURL[rc.Addr] = r
			r.start(-time.Hour)
		}
	}
}

func (r *FleetReplica) addr() string { return "rep/" + r.Name }

func (r *FleetReplica) start(born time.Duration) {
	if r.incarnations++; r.model != nil {
		r.before = r.model.Instance
	}
	r.Up, r.Draining, r.since, r.CorruptOneIn = true, false, r.w.Now, 0
	r.model = replica.New(r.w.Scenario.Model, fmt.Sprintf("%s.%d", r.Name, r.incarnations), born)
}

func (r *FleetReplica) crash() {
	if !r.Up {
		return
	}
	r.w.Tracef("replica %s crashes", r.Name)
	r.collect()
	r.Up = false
	for _, id := range sortedKeys(r.conns) {
		r.conns[id].reset()
	}
	r.conns = map[string]*fleetConn{}
	watchers := r.watchers
	r.watchers = nil
	for _, shut := range watchers {
		shut()
	}
}

func (r *FleetReplica) collect() {
	rp := &r.w.Report
	rp.WarmupOverloads += r.model.WarmupOverloads
	rp.CachedTokens += r.model.CachedTokens
	rp.PrefixTokens += r.model.PrefixTokens
	rp.ReplicaAdmitted += r.model.Admitted
	rp.ReplicaRejected += r.model.Rejected
	r.model.WarmupOverloads, r.model.CachedTokens, r.model.PrefixTokens, r.model.Admitted, r.model.Rejected = 0, 0, 0, 0, 0
}

func (r *FleetReplica) record(event, req, id string, n int) {
	r.w.Ran = append(r.w.Ran, ledger.Ran{
		AtMs: r.w.Now.Milliseconds(), Replica: r.Name, Instance: r.model.Instance, Request: req, AttemptID: id, Event: event, Chunks: n,
	})
}

// twist spoils one line of some answers: it is lost, repeated, or of another go or instance. An answer is whole only if all are right.
func (r *FleetReplica) twist(c *fleetConn, l *router.ResponseLine) bool {
	if r.CorruptOneIn == 0 || r.w.whim.IntN(r.CorruptOneIn) > 0 {
		return true
	}
	c.corrupted = true
	switch r.w.whim.IntN(4) {
	case 0:
		return false
	case 1:
		l.AttemptID, l.Text = "someone.else.1", ledger.ChunkText("someone", "someone.else.1", *l.Chunk)
	case 2:
		l.InstanceID += "x"
	case 3:
		n := *l.Chunk - 1
		l.Chunk = &n
	}
	return true
}

func (w *World) list(name string, state router.ListingState) {
	var alive []*Node
	for _, n := range w.Nodes {
		if n.Alive && !n.frozen {
			alive = append(alive, n)
		}
	}
	if len(alive) == 0 {
		w.After(time.Second, func() { w.list(name, state) })
		return
	}
	n := alive[w.rng.IntN(len(alive))]
	w.Tracef("platform lists %s as %s at %s", name, state, n.Name)
	if state == router.Present {
		w.Audit.back(name)
	} else {
		w.Audit.drains(n, name)
	}
	w.Call(n, control.SetReplicaStates{At: n.unixMs(), Rows: []control.ReplicaState{{Replica: name, State: state}}}, func(control.Answer) {})
}

func (w *World) release(names []string, each time.Duration) {
	for i, name := range names {
		r := w.replicasByName[name]
		w.After(time.Duration(i)*each, func() {
			r.Draining = true
			w.After(500*time.Millisecond, func() { w.list(name, router.Draining) })
			w.After(4500*time.Millisecond, func() { r.crash() })
			w.After(6500*time.Millisecond, func() {
				r.start(w.Now)
				w.After(500*time.Millisecond, func() { w.list(name, router.Present) })
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
