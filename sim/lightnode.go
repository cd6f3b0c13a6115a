package sim

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
)

// LightNode is one node's two real machines, Control and Router, with a disk where the shape gives it one.
type LightNode struct {
	h         *LightCluster
	Name      string
	Addr      string
	Zone      string
	Control   *control.Node
	Router    *router.Router
	Disk      *Disk
	journal   *control.Journal
	saving    bool
	unsaved   []control.LogWrite
	watchers  map[string]bool
	asks      map[string]*lightRequest
	version   uint64
	upgradeAt time.Duration
}

// lightRequest is a request on its way: due keeps its answer's lines in order.
type lightRequest struct {
	ask  Request
	at   time.Duration
	flow router.RequestFlow
	due  time.Duration
	on   string
}

func (n *LightNode) start() {
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
	n.Control = control.New(h.now, cfg)
	n.Router = router.New(router.Defaults(n.Name, cfg.Boot, n.Zone))
	n.tick()
}

func (n *LightNode) tick() {
	n.h.after(tickEvery, n.tick)
	n.step(control.Tick{})
	n.event(router.Tick{})
}

func (n *LightNode) step(in control.In) {
	start := n.h.S.Clock()
	out := n.Control.Step(n.h.now, in)
	n.h.S.Meter.Stepped(n, in, n.h.S.Clock()-start)
	n.carry(out)
}

func (n *LightNode) event(ev router.Event) {
	start := n.h.S.Clock()
	ds := n.Router.Step(n.h.now, ev)
	n.h.S.Meter.Stepped(n, ev, n.h.S.Clock()-start)
	for _, d := range ds {
		if g := n.asks[d.Request]; g != nil {
			n.move(g, g.flow.Decided(d))
		}
	}
}

func (n *LightNode) carry(out control.Out) {
	for _, s := range out.Sends {
		n.h.carry(n, s)
	}
	n.unsaved = append(n.unsaved, out.Writes...)
	for range out.Writes {
		n.h.S.Meter.Wrote(n)
	}
	n.save()
	for _, ev := range out.Events {
		n.event(ev)
		if o, ok := ev.(router.SnapshotUpdate); ok {
			n.watch(o.Snapshot)
			n.obeys(o)
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

func (n *LightNode) save() {
	if n.saving || len(n.unsaved) == 0 {
		return
	}
	n.saving = true
	batch := n.unsaved
	n.unsaved = nil
	n.h.after(3*time.Millisecond, func() {
		n.saving = false
		err := n.journal.Append(batch)
		n.step(control.Persisted{Ticket: batch[len(batch)-1].Ticket, Err: err})
		n.save()
	})
}

func (n *LightNode) trip(replica string) time.Duration {
	return n.h.net.delay(n.Zone == n.h.where[replica])
}

func (n *LightNode) report(replica string, local bool) control.Probed {
	r := n.h.reps[replica]
	running, lag := r.Usage(n.h.now)
	return control.Probed{Replica: replica, Local: local, OK: true, InstanceID: r.Instance, Running: running, Lag: lag}
}

func (n *LightNode) probe(p control.Probe) {
	if n.h.reps[p.Replica] == nil {
		return
	}
	n.h.S.Meter.Asked(n)
	n.h.after(2*n.trip(p.Replica), func() { n.step(n.report(p.Replica, p.Local)) })
}

func (n *LightNode) watch(p *config.Snapshot) {
	for _, o := range p.Config.Services {
		for _, r := range o.Replicas {
			if n.h.reps[r.Name] == nil || n.watchers[r.Name] {
				continue
			}
			n.watchers[r.Name] = true
			n.h.S.Meter.Asked(n)
			n.h.at(max(n.h.now, n.upgradeAt)+2*n.trip(r.Name), func() { n.step(control.Observation{State: control.Up, Probed: n.report(r.Name, true)}) })
		}
	}
}

func (n *LightNode) submit(a Request) {
	g := &lightRequest{ask: a, at: n.h.now, flow: router.RequestFlow{Request: a.Request}}
	n.asks[a.Request] = g
	n.event(router.Arrive{Request: a.Request, Service: a.Class.Service, Class: a.Class.Name, Prefix: a.Prefix, Tail: a.TailTokens})
}

func (n *LightNode) move(g *lightRequest, actions []router.Action) {
	for _, m := range actions {
		switch m.Kind {
		case router.Connect:
			g.on, g.due = m.Placement.Replica, 0
			n.h.after(2*n.trip(g.on), func() { n.happened(g, router.ConnectResult{AttemptID: m.Placement.AttemptID, OK: true}) })
		case router.AskWitnesses:
			n.h.call(n, control.Witness{Request: g.ask.Request, SpareTime: m.Placement.SpareTime}, func(a control.Answer) {
				n.happened(g, router.WitnessesAnswered{AttemptID: m.Placement.AttemptID, Result: control.WitnessOutcome(a)})
			})
		case router.AskWitnessesEarly:
			n.h.call(n, control.Witness{Request: g.ask.Request, Peek: true}, func(a control.Answer) {
				n.happened(g, router.WitnessesAnswered{Result: control.WitnessOutcome(a)})
			})
		case router.Write:
			n.h.after(n.trip(g.on), func() { n.admitted(g, m.Placement.AttemptID) })
		case router.NotifyRouter:
			n.event(m.Event)
		case router.Finish:
			delete(n.asks, g.ask.Request)
			n.h.Ends[m.Outcome]++
		}
	}
}

func (n *LightNode) happened(g *lightRequest, w router.ConnectionEvent) {
	n.move(g, g.flow.Happened(w))
}

func (n *LightNode) back(g *lightRequest, at time.Duration, w router.ConnectionEvent) {
	g.due = max(g.due, at+n.trip(g.on))
	n.h.at(g.due, func() { n.happened(g, w) })
}

func (n *LightNode) admitted(g *lightRequest, id string) {
	r := n.h.reps[g.on]
	parts, _ := prefixindex.Parse(Prompt, g.ask.Prefix)
	plan, ok := r.Admit(n.h.now, id, parts, g.ask.TailTokens)
	if !ok {
		n.back(g, n.h.now, router.Replied{AttemptID: id, Attempt: id, Status: http.StatusTooManyRequests})
		return
	}
	at := n.h.now + plan.First
	n.back(g, at, router.Replied{AttemptID: id, Attempt: id, Status: http.StatusOK})
	n.h.Firsts = append(n.h.Firsts, at-g.at)
	for i := range plan.Chunks {
		text := ledger.Piece(g.ask.Request, id, i)
		n.back(g, at+time.Duration(i)*plan.Every, router.AnswerRead{AttemptID: id, Line: router.AnswerLine{AttemptID: id, InstanceID: r.Instance, Chunk: &i, Text: text}})
	}
	end := at + time.Duration(plan.Chunks-1)*plan.Every
	n.back(g, end, router.AnswerRead{AttemptID: id, Line: router.AnswerLine{AttemptID: id, InstanceID: r.Instance, End: true, Chunks: plan.Chunks}})
	n.h.at(end, func() { r.Release(n.h.now, id) })
}

// LightShape is a fleet of so many nodes and replicas over zones, with so many disks, offers and kinds of request each.
func LightShape(nodes, replicas, disks, services int, zones []string) Shape {
	s := Shape{Name: "hollow", Voters: []string{"n1", "n2", "n3"}, Zones: zones}
	for i := range nodes {
		s.Nodes = append(s.Nodes, NodeShape{Name: fmt.Sprintf("n%d", i+1), Zone: zones[i%len(zones)], Disk: i < disks})
	}
	return s.offers(replicas, services)
}
