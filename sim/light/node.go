package light

import (
	"fmt"
	"net/http"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/disk"
	"github.com/mallowbridge/mallowbridge/sim/shape"
	"github.com/mallowbridge/mallowbridge/sim/workload"
)

// Node is one node with its two real state machines, Control and Router, and a disk if the shape has one for it.
type Node struct {
	cluster   *Cluster
	Name      string
	Addr      string
	Zone      string
	Control   *control.Node
	Router    *router.Router
	Disk      *disk.Disk
	journal   *control.Journal
	writing   bool
	unwritten []control.LogWrite
	watched   map[string]bool
	requests  map[string]*request
	version   uint64
	// watchFrom is the earliest time at which the node connects to its replicas.
	watchFrom time.Duration
}

// request is a request in progress. lastDue is when the newest line of its response arrives, which keeps the lines in order.
type request struct {
	request   workload.Request
	arrivedAt time.Duration
	flow      router.RequestFlow
	lastDue   time.Duration
	replica   string
}

func (n *Node) start() {
	h := n.cluster
	cfg := control.Config{
		Name: n.Name, Addr: n.Addr, HTTP: n.Addr, Zone: n.Zone, BootID: "b" + n.Name, Incarnation: h.rng.Uint64() >> 16, Seed: h.rng.Uint64(),
		Membership: membership.Defaults(), Gossip: gossip.Defaults(),
	}
	for _, o := range h.Nodes[:min(3, len(h.Nodes))] {
		cfg.Seeds = append(cfg.Seeds, o.Addr)
	}
	if n.Disk != nil {
		journal, err := control.OpenJournal(n.Disk, "disk-"+n.Name)
		if err != nil {
			panic(err)
		}
		n.journal = journal
		kept := journal.State()
		cfg.Disk = &kept
	}
	n.Control = control.New(h.Now, cfg)
	n.Router = router.New(router.Defaults(n.Name, cfg.BootID, n.Zone))
	n.tick()
}

func (n *Node) tick() {
	n.cluster.After(shape.TickEvery, n.tick)
	n.step(control.Tick{})
	n.stepRouter(router.Tick{})
}

func (n *Node) step(in control.Input) {
	start := n.cluster.Plan.Clock()
	out := n.Control.Step(n.cluster.Now, in)
	n.cluster.Plan.Meter.Stepped(n, in, n.cluster.Plan.Clock()-start)
	n.handleOutput(out)
}

func (n *Node) stepRouter(ev router.Event) {
	start := n.cluster.Plan.Clock()
	ds := n.Router.Step(n.cluster.Now, ev)
	n.cluster.Plan.Meter.Stepped(n, ev, n.cluster.Plan.Clock()-start)
	for _, d := range ds {
		if r := n.requests[d.Request]; r != nil {
			n.perform(r, r.flow.OnDecision(d))
		}
	}
}

func (n *Node) handleOutput(out control.Output) {
	for _, s := range out.Sends {
		n.cluster.send(n, s)
	}
	n.unwritten = append(n.unwritten, out.Writes...)
	for range out.Writes {
		n.cluster.Plan.Meter.Wrote(n)
	}
	n.writeJournal()
	for _, ev := range out.Events {
		n.stepRouter(ev)
		if o, ok := ev.(router.SnapshotUpdate); ok {
			n.watchReplicas(o.Snapshot)
			n.snapshotApplied(o)
		}
	}
	for _, p := range out.Probes {
		n.probe(p)
	}
	for _, a := range out.Answers {
		if done := n.cluster.pendingCalls[a.ID]; done != nil {
			delete(n.cluster.pendingCalls, a.ID)
			done(a)
		}
	}
}

func (n *Node) writeJournal() {
	if n.writing || len(n.unwritten) == 0 {
		return
	}
	n.writing = true
	batch := n.unwritten
	n.unwritten = nil
	n.cluster.After(3*time.Millisecond, func() {
		n.writing = false
		err := n.journal.Append(batch)
		n.step(control.Persisted{Seq: batch[len(batch)-1].Seq, Err: err})
		n.writeJournal()
	})
}

func (n *Node) delay(replica string) time.Duration {
	return n.cluster.net.Delay(n.Zone == n.cluster.replicaZones[replica])
}

func (n *Node) probeResult(replica string, local bool) control.Probed {
	r := n.cluster.replicas[replica]
	running, lag := r.Usage(n.cluster.Now)
	return control.Probed{Replica: replica, Local: local, OK: true, InstanceID: r.Instance, Running: running, Lag: lag}
}

func (n *Node) probe(p control.Probe) {
	if n.cluster.replicas[p.Replica] == nil {
		return
	}
	n.cluster.Plan.Meter.Probed(n)
	n.cluster.After(2*n.delay(p.Replica), func() { n.step(n.probeResult(p.Replica, p.Local)) })
}

func (n *Node) watchReplicas(snapshot *config.Snapshot) {
	for _, service := range snapshot.Config.Services {
		for _, r := range service.Replicas {
			if n.cluster.replicas[r.Name] == nil || n.watched[r.Name] {
				continue
			}
			n.watched[r.Name] = true
			n.cluster.Plan.Meter.Probed(n)
			n.cluster.At(max(n.cluster.Now, n.watchFrom)+2*n.delay(r.Name), func() {
				n.step(control.ConnectionChange{State: control.ConnectionUp, Probed: n.probeResult(r.Name, true)})
			})
		}
	}
}

func (n *Node) submit(a workload.Request) {
	r := &request{request: a, arrivedAt: n.cluster.Now, flow: router.RequestFlow{Request: a.ID}}
	n.requests[a.ID] = r
	n.stepRouter(router.Arrival{Request: a.ID, Service: a.Class.Service, Class: a.Class.Name, Prefix: a.Prefix, TailTokens: a.TailTokens})
}

func (n *Node) perform(r *request, actions []router.Action) {
	for _, m := range actions {
		switch m.Kind {
		case router.Connect:
			r.replica, r.lastDue = m.Placement.Replica, 0
			n.cluster.After(2*n.delay(r.replica), func() { n.handleEvent(r, router.ConnectResult{AttemptID: m.Placement.AttemptID, OK: true}) })
		case router.AskWitnesses:
			n.cluster.call(n, control.Witness{Request: r.request.ID, SpareTime: m.Placement.SpareTime}, func(a control.Answer) {
				n.handleEvent(r, router.WitnessesAnswered{AttemptID: m.Placement.AttemptID, Result: control.WitnessOutcome(a)})
			})
		case router.AskWitnessesEarly:
			n.cluster.call(n, control.Witness{Request: r.request.ID, Peek: true}, func(a control.Answer) {
				n.handleEvent(r, router.WitnessesAnswered{Result: control.WitnessOutcome(a)})
			})
		case router.Write:
			n.cluster.After(n.delay(r.replica), func() { n.serve(r, m.Placement.AttemptID) })
		case router.NotifyRouter:
			n.stepRouter(m.Event)
		case router.Finish:
			delete(n.requests, r.request.ID)
			n.cluster.Outcomes[m.Outcome]++
		}
	}
}

func (n *Node) handleEvent(r *request, event router.ConnectionEvent) {
	n.perform(r, r.flow.OnConnectionEvent(event))
}

func (n *Node) sendBack(r *request, at time.Duration, event router.ConnectionEvent) {
	r.lastDue = max(r.lastDue, at+n.delay(r.replica))
	n.cluster.At(r.lastDue, func() { n.handleEvent(r, event) })
}

func (n *Node) serve(req *request, id string) {
	r := n.cluster.replicas[req.replica]
	blocks, _ := prefixindex.Parse(shape.ModelName, req.request.Prefix)
	plan, ok := r.Admit(n.cluster.Now, id, blocks, req.request.TailTokens)
	if !ok {
		n.sendBack(req, n.cluster.Now, router.ResponseHeadRead{AttemptID: id, EchoedAttemptID: id, Status: http.StatusTooManyRequests})
		return
	}
	at := n.cluster.Now + plan.FirstTokenTime
	n.sendBack(req, at, router.ResponseHeadRead{AttemptID: id, EchoedAttemptID: id, Status: http.StatusOK})
	n.cluster.FirstTokenTimes = append(n.cluster.FirstTokenTimes, at-req.arrivedAt)
	for i := range plan.Chunks {
		text := ledger.ChunkText(req.request.ID, id, i)
		n.sendBack(req, at+time.Duration(i)*plan.ChunkInterval, router.ResponseLineRead{AttemptID: id, Line: router.ResponseLine{AttemptID: id, InstanceID: r.Instance, Chunk: &i, Text: text}})
	}
	end := at + time.Duration(plan.Chunks-1)*plan.ChunkInterval
	n.sendBack(req, end, router.ResponseLineRead{AttemptID: id, Line: router.ResponseLine{AttemptID: id, InstanceID: r.Instance, End: true, Chunks: plan.Chunks}})
	n.cluster.At(end, func() { r.Release(n.cluster.Now, id) })
}

// Shape returns a fleet of nodes and replicas spread over the zones, whose first nodes have disks. Each service has three request classes.
func Shape(nodes, replicas, disks, services int, zones []string) shape.Shape {
	s := shape.Shape{Name: "hollow", Voters: []string{"n1", "n2", "n3"}, Zones: zones}
	for i := range nodes {
		s.Nodes = append(s.Nodes, shape.Node{Name: fmt.Sprintf("n%d", i+1), Zone: zones[i%len(zones)], Disk: i < disks})
	}
	return withServices(s, replicas, services)
}
