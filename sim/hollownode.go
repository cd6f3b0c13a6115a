package sim

import (
	"fmt"
	"net/http"
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// HollowNode is one node's two real machines, Control and Router, with a disk where the shape gives it one.
type HollowNode struct {
	h       *Hollow
	Name    string
	Addr    string
	Domain  string
	Control *control.Node
	Router  *mallowbridge.Router
	Disk    *Disk
	keeper  *control.Journal
	saving  bool
	unsaved []control.LogWrite
	eyes    map[string]bool
	asks    map[string]*hollowGo
	mark    uint64
	rolled  time.Duration
}

// hollowGo is a request on its way: due keeps its answer's lines in order.
type hollowGo struct {
	ask     Ask
	at      time.Duration
	passage mallowbridge.RequestFlow
	due     time.Duration
	on      string
}

func (n *HollowNode) start() {
	h := n.h
	cfg := control.Config{
		Name: n.Name, Addr: n.Addr, HTTP: n.Addr, Zone: n.Domain, Boot: "b" + n.Name, Incarnation: h.rng.Uint64() >> 16, Seed: h.rng.Uint64(),
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
		n.keeper = k
		kept := k.State()
		cfg.Disk = &kept
	}
	n.Control = control.New(h.now, cfg)
	n.Router = mallowbridge.New(mallowbridge.Defaults(n.Name, cfg.Boot, n.Domain))
	n.tick()
}

func (n *HollowNode) tick() {
	n.h.after(tickEvery, n.tick)
	n.step(control.Tick{})
	n.event(mallowbridge.Tick{})
}

func (n *HollowNode) step(in control.In) {
	start := n.h.S.Clock()
	out := n.Control.Step(n.h.now, in)
	n.h.S.Meter.Stepped(n, in, n.h.S.Clock()-start)
	n.carry(out)
}

func (n *HollowNode) event(ev mallowbridge.Event) {
	start := n.h.S.Clock()
	ds := n.Router.Step(n.h.now, ev)
	n.h.S.Meter.Stepped(n, ev, n.h.S.Clock()-start)
	for _, d := range ds {
		if g := n.asks[d.Request]; g != nil {
			n.move(g, g.passage.Decided(d))
		}
	}
}

func (n *HollowNode) carry(out control.Out) {
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
		if o, ok := ev.(mallowbridge.SnapshotUpdate); ok {
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

func (n *HollowNode) save() {
	if n.saving || len(n.unsaved) == 0 {
		return
	}
	n.saving = true
	batch := n.unsaved
	n.unsaved = nil
	n.h.after(3*time.Millisecond, func() {
		n.saving = false
		err := n.keeper.Append(batch)
		n.step(control.Persisted{Ticket: batch[len(batch)-1].Ticket, Err: err})
		n.save()
	})
}

func (n *HollowNode) trip(rep string) time.Duration {
	return n.h.net.delay(n.Domain == n.h.where[rep])
}

func (n *HollowNode) report(rep string, own bool) control.Probed {
	r := n.h.reps[rep]
	running, lag := r.Usage(n.h.now)
	return control.Probed{Replica: rep, Local: own, OK: true, InstanceID: r.Instance, Running: running, Lag: lag}
}

func (n *HollowNode) probe(p control.Probe) {
	if n.h.reps[p.Replica] == nil {
		return
	}
	n.h.S.Meter.Asked(n)
	n.h.after(2*n.trip(p.Replica), func() { n.step(n.report(p.Replica, p.Local)) })
}

func (n *HollowNode) watch(p *config.Snapshot) {
	for _, o := range p.Config.Services {
		for _, r := range o.Replicas {
			if n.h.reps[r.Name] == nil || n.eyes[r.Name] {
				continue
			}
			n.eyes[r.Name] = true
			n.h.S.Meter.Asked(n)
			n.h.at(max(n.h.now, n.rolled)+2*n.trip(r.Name), func() { n.step(control.Observation{State: control.Up, Probed: n.report(r.Name, true)}) })
		}
	}
}

func (n *HollowNode) submit(a Ask) {
	g := &hollowGo{ask: a, at: n.h.now, passage: mallowbridge.RequestFlow{Request: a.Request}}
	n.asks[a.Request] = g
	n.event(mallowbridge.Arrive{Request: a.Request, Service: a.Kind.Offer, Class: a.Kind.Name, Prefix: a.Prefix, Tail: a.TailTokens})
}

func (n *HollowNode) move(g *hollowGo, moves []mallowbridge.Action) {
	for _, m := range moves {
		switch m.Kind {
		case mallowbridge.Connect:
			g.on, g.due = m.Placement.Replica, 0
			n.h.after(2*n.trip(g.on), func() { n.happened(g, mallowbridge.ConnectResult{AttemptID: m.Placement.AttemptID, OK: true}) })
		case mallowbridge.AskWitnesses:
			n.h.call(n, control.Witness{Request: g.ask.Request, SpareTime: m.Placement.SpareTime}, func(a control.Answer) {
				n.happened(g, mallowbridge.WitnessesAnswered{AttemptID: m.Placement.AttemptID, Result: control.WitnessOutcome(a)})
			})
		case mallowbridge.AskWitnessesEarly:
			n.h.call(n, control.Witness{Request: g.ask.Request, Peek: true}, func(a control.Answer) {
				n.happened(g, mallowbridge.WitnessesAnswered{Result: control.WitnessOutcome(a)})
			})
		case mallowbridge.Write:
			n.h.after(n.trip(g.on), func() { n.admitted(g, m.Placement.AttemptID) })
		case mallowbridge.NotifyRouter:
			n.event(m.Event)
		case mallowbridge.Finish:
			delete(n.asks, g.ask.Request)
			n.h.Ends[m.Outcome]++
		}
	}
}

func (n *HollowNode) happened(g *hollowGo, w mallowbridge.ConnectionEvent) {
	n.move(g, g.passage.Happened(w))
}

func (n *HollowNode) back(g *hollowGo, at time.Duration, w mallowbridge.ConnectionEvent) {
	g.due = max(g.due, at+n.trip(g.on))
	n.h.at(g.due, func() { n.happened(g, w) })
}

func (n *HollowNode) admitted(g *hollowGo, id string) {
	r := n.h.reps[g.on]
	parts, _ := prefixindex.Parse(Prompt, g.ask.Prefix)
	plan, ok := r.Admit(n.h.now, id, parts, g.ask.TailTokens)
	if !ok {
		n.back(g, n.h.now, mallowbridge.Replied{AttemptID: id, Attempt: id, Status: http.StatusTooManyRequests})
		return
	}
	at := n.h.now + plan.First
	n.back(g, at, mallowbridge.Replied{AttemptID: id, Attempt: id, Status: http.StatusOK})
	n.h.Firsts = append(n.h.Firsts, at-g.at)
	for i := range plan.Pieces {
		text := ledger.Piece(g.ask.Request, id, i)
		n.back(g, at+time.Duration(i)*plan.Every, mallowbridge.AnswerRead{AttemptID: id, Line: mallowbridge.AnswerLine{AttemptID: id, InstanceID: r.Instance, Chunk: &i, Text: text}})
	}
	end := at + time.Duration(plan.Pieces-1)*plan.Every
	n.back(g, end, mallowbridge.AnswerRead{AttemptID: id, Line: mallowbridge.AnswerLine{AttemptID: id, InstanceID: r.Instance, End: true, Chunks: plan.Pieces}})
	n.h.at(end, func() { r.Release(n.h.now, id) })
}

// HollowShape is a fleet of so many nodes and replicas over zones, with so many disks, offers and kinds of request each.
func HollowShape(nodes, replicas, disks, offers int, zones []string) Shape {
	s := Shape{Name: "hollow", Voters: []string{"n1", "n2", "n3"}, Domains: zones}
	for i := range nodes {
		s.Nodes = append(s.Nodes, NodeShape{Name: fmt.Sprintf("n%d", i+1), Domain: zones[i%len(zones)], Disk: i < disks})
	}
	return s.offers(replicas, offers)
}
