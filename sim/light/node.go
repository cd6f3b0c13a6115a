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

// Node is one node's two real machines, Control and Router, with a disk where the shape gives it one.
type Node struct {
	h         *Cluster
	Name      string
	Addr      string
	Zone      string
	Control   *control.Node
	Router    *router.Router
	Disk      *disk.Disk
	journal   *control.Journal
	saving    bool
	unsaved   []control.LogWrite
	watchers  map[string]bool
	asks      map[string]*request
	version   uint64
	upgradeAt time.Duration
}

// request is a request on its way: due keeps its answer's lines in order.
type request struct {
	ask  workload.Request
	at   time.Duration
	flow router.RequestFlow
	due  time.Duration
	on   string
}

func (n *Node) start() {
	h := n.h
	cfg := control.Config{
		Name: n.Name, Addr: n.Addr, HTTP: n.Addr, Zone: n.Zone, Boot: "b" + n.Name, Incarnation: h.rng.Uint64() >> 16, Seed: h.rng.Uint64(),
		Membership: membership.Defaults(), Gossip: gossip.Defaults(),
	}
	for _, o := range h.Nodes[:min(3, len(h.Nodes))] {
		cfg.Seeds = append(cfg.Seeds, o.Addr)
	}
	if n.Disk != nil {
		k, err := control.OpenJournal(n.Disk, "disk-"+n.Name)
		if err != nil {
			panic(err)
		}
		n.journal = k
		kept := k.State()
		cfg.Disk = &kept
	}
	n.Control = control.New(h.Now, cfg)
	n.Router = router.New(router.Defaults(n.Name, cfg.Boot, n.Zone))
	n.tick()
}

func (n *Node) tick() {
	n.h.After(shape.TickEvery, n.tick)
	n.step(control.Tick{})
	n.event(router.Tick{})
}

func (n *Node) step(in control.Input) {
	start := n.h.Plan.Clock()
	out := n.Control.Step(n.h.Now, in)
	n.h.Plan.Meter.Stepped(n, in, n.h.Plan.Clock()-start)
	n.carry(out)
}

func (n *Node) event(ev router.Event) {
	start := n.h.Plan.Clock()
	ds := n.Router.Step(n.h.Now, ev)
	n.h.Plan.Meter.Stepped(n, ev, n.h.Plan.Clock()-start)
	for _, d := range ds {
		if g := n.asks[d.Request]; g != nil {
			n.perform(g, g.flow.OnDecision(d))
		}
	}
}

func (n *Node) carry(out control.Output) {
	for _, s := range out.Sends {
		n.h.carry(n, s)
	}
	n.unsaved = append(n.unsaved, out.Writes...)
	for range out.Writes {
		n.h.Plan.Meter.Wrote(n)
	}
	n.save()
	for _, ev := range out.Events {
		n.event(ev)
		if o, ok := ev.(router.SnapshotUpdate); ok {
			n.watch(o.Snapshot)
			n.applies(o)
		}
	}
	for _, p := range out.Probes {
		n.probe(p)
	}
	for _, a := range out.Answers {
		if done := n.h.answers[a.ID]; done != nil {
			delete(n.h.answers, a.ID)
			done(a)
		}
	}
}

func (n *Node) save() {
	if n.saving || len(n.unsaved) == 0 {
		return
	}
	n.saving = true
	batch := n.unsaved
	n.unsaved = nil
	n.h.After(3*time.Millisecond, func() {
		n.saving = false
		err := n.journal.Append(batch)
		n.step(control.Persisted{Seq: batch[len(batch)-1].Seq, Err: err})
		n.save()
	})
}

func (n *Node) delay(replica string) time.Duration {
	return n.h.net.Delay(n.Zone == n.h.where[replica])
}

func (n *Node) report(replica string, local bool) control.Probed {
	r := n.h.reps[replica]
	running, lag := r.Usage(n.h.Now)
	return control.Probed{Replica: replica, Local: local, OK: true, InstanceID: r.Instance, Running: running, Lag: lag}
}

func (n *Node) probe(p control.Probe) {
	if n.h.reps[p.Replica] == nil {
		return
	}
	n.h.Plan.Meter.Probed(n)
	n.h.After(2*n.delay(p.Replica), func() { n.step(n.report(p.Replica, p.Local)) })
}

func (n *Node) watch(p *config.Snapshot) {
	for _, o := range p.Config.Services {
		for _, r := range o.Replicas {
			if n.h.reps[r.Name] == nil || n.watchers[r.Name] {
				continue
			}
			n.watchers[r.Name] = true
			n.h.Plan.Meter.Probed(n)
			n.h.At(max(n.h.Now, n.upgradeAt)+2*n.delay(r.Name), func() { n.step(control.ConnectionChange{State: control.ConnectionUp, Probed: n.report(r.Name, true)}) })
		}
	}
}

func (n *Node) submit(a workload.Request) {
	g := &request{ask: a, at: n.h.Now, flow: router.RequestFlow{Request: a.ID}}
	n.asks[a.ID] = g
	n.event(router.Arrival{Request: a.ID, Service: a.Class.Service, Class: a.Class.Name, Prefix: a.Prefix, TailTokens: a.TailTokens})
}

func (n *Node) perform(g *request, actions []router.Action) {
	for _, m := range actions {
		switch m.Kind {
		case router.Connect:
			g.on, g.due = m.Placement.Replica, 0
			n.h.After(2*n.delay(g.on), func() { n.happened(g, router.ConnectResult{AttemptID: m.Placement.AttemptID, OK: true}) })
		case router.AskWitnesses:
			n.h.call(n, control.Witness{Request: g.ask.ID, SpareTime: m.Placement.SpareTime}, func(a control.Answer) {
				n.happened(g, router.WitnessesAnswered{AttemptID: m.Placement.AttemptID, Result: control.WitnessOutcome(a)})
			})
		case router.AskWitnessesEarly:
			n.h.call(n, control.Witness{Request: g.ask.ID, Peek: true}, func(a control.Answer) {
				n.happened(g, router.WitnessesAnswered{Result: control.WitnessOutcome(a)})
			})
		case router.Write:
			n.h.After(n.delay(g.on), func() { n.admitted(g, m.Placement.AttemptID) })
		case router.NotifyRouter:
			n.event(m.Event)
		case router.Finish:
			delete(n.asks, g.ask.ID)
			n.h.Outcomes[m.Outcome]++
		}
	}
}

func (n *Node) happened(g *request, w router.ConnectionEvent) {
	n.perform(g, g.flow.OnConnectionEvent(w))
}

func (n *Node) back(g *request, at time.Duration, w router.ConnectionEvent) {
	g.due = max(g.due, at+n.delay(g.on))
	n.h.At(g.due, func() { n.happened(g, w) })
}

func (n *Node) admitted(g *request, id string) {
	r := n.h.reps[g.on]
	parts, _ := prefixindex.Parse(shape.ModelName, g.ask.Prefix)
	plan, ok := r.Admit(n.h.Now, id, parts, g.ask.TailTokens)
	if !ok {
		n.back(g, n.h.Now, router.ResponseHeadRead{AttemptID: id, EchoedAttemptID: id, Status: http.StatusTooManyRequests})
		return
	}
	at := n.h.Now + plan.FirstTokenTime
	n.back(g, at, router.ResponseHeadRead{AttemptID: id, EchoedAttemptID: id, Status: http.StatusOK})
	n.h.FirstTokenTimes = append(n.h.FirstTokenTimes, at-g.at)
	for i := range plan.Chunks {
		text := ledger.ChunkText(g.ask.ID, id, i)
		n.back(g, at+time.Duration(i)*plan.ChunkInterval, router.ResponseLineRead{AttemptID: id, Line: router.ResponseLine{AttemptID: id, InstanceID: r.Instance, Chunk: &i, Text: text}})
	}
	end := at + time.Duration(plan.Chunks-1)*plan.ChunkInterval
	n.back(g, end, router.ResponseLineRead{AttemptID: id, Line: router.ResponseLine{AttemptID: id, InstanceID: r.Instance, End: true, Chunks: plan.Chunks}})
	n.h.At(end, func() { r.Release(n.h.Now, id) })
}

// Shape is a fleet of so many nodes and replicas over zones, with so many disks, offers and kinds of request each.
func Shape(nodes, replicas, disks, services int, zones []string) shape.Shape {
	s := shape.Shape{Name: "hollow", Voters: []string{"n1", "n2", "n3"}, Zones: zones}
	for i := range nodes {
		s.Nodes = append(s.Nodes, shape.Node{Name: fmt.Sprintf("n%d", i+1), Zone: zones[i%len(zones)], Disk: i < disks})
	}
	return withServices(s, replicas, services)
}
