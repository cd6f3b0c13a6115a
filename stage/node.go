package stage

import (
	"fmt"
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/crux"
	"github.com/mallowbridge/mallowbridge/kin"
	"github.com/mallowbridge/mallowbridge/rumor"
	"github.com/mallowbridge/mallowbridge/wire"
)

type Node struct {
	w      *World
	Name   string
	Addr   string
	Domain string
	Alive  bool
	frozen bool
	shut   bool
	retire bool
	inbox  []func()
	life   uint64
	front  string
	build  uint32
	skew   time.Duration
	wall   time.Duration
	node   *crux.Node
	router *mallowbridge.Router
	keeper *crux.Keeper
	Disk   *Disk
	slow   time.Duration
	stall  bool
	saving bool
	unsent []crux.Write
	asks   map[string]*flight
	eyes   map[string]*eye
	tick   func()
}

func newNode(w *World, i int, s NodeShape) (n *Node) {
	n = &Node{
		w: w, Name: s.Name, Addr: fmt.Sprintf("10.0.0.%d:7000", i+1), Domain: s.Domain,
		skew: time.Duration(w.rng.Int64N(int64(100 * time.Hour))),
		wall: time.Duration(w.whim.Int64N(int64(10 * time.Second))), asks: map[string]*flight{},
	}
	if w.S.Builds && i%2 == 0 {
		n.build = wire.Build + 1
	}
	if s.Disk {
		n.Disk = NewDisk(w.S.Seed*100 + uint64(i))
	}
	w.byAddr[n.Addr] = n
	return n
}

func (n *Node) local() (now time.Duration) { return n.skew + n.w.now }

func (n *Node) unixMs() (ms uint64) { return uint64((w0 + n.w.now + n.wall) / time.Millisecond) }

const w0 = 1_700_000_000 * time.Second

func (n *Node) seeds() (addrs []string) {
	for _, o := range n.w.Nodes[:3] {
		addrs = append(addrs, o.Addr)
	}
	return addrs
}

func (n *Node) start() {
	if n.Alive {
		return
	}
	w := n.w
	w.lives++
	n.eyes, n.shut, n.retire = map[string]*eye{}, false, false
	n.life, n.Alive, n.frozen, n.inbox, n.saving, n.unsent, n.keeper = w.lives, true, false, nil, false, nil, nil
	boot := strconv.FormatUint(w.whim.Uint64(), 36)
	cfg := crux.Config{
		Name: n.Name, Addr: n.Addr, Domain: n.Domain, Seeds: n.seeds(), Boot: boot, Inc: crux.Inc(time.UnixMilli(int64(n.unixMs())), w.whim.Uint64()), Seed: w.S.Seed<<16 + n.life,
		Kin: kin.Defaults(), Rumor: rumor.Defaults(), Build: n.build,
	}
	if n.Disk != nil {
		k, err := crux.OpenKeeper(n.Disk, fmt.Sprintf("disk-%s-%d", n.Name, n.life))
		if err != nil {
			w.Say("%s cannot start: %v", n.Name, err)
			w.Audit.breach("disk cannot be read", n.Name, err.Error())
			n.Alive = false
			return
		}
		n.keeper = k
		kept := k.Kept()
		cfg.Disk = &kept
	}
	n.node = crux.New(n.local(), cfg)
	n.front = n.Name + "." + boot
	rc := mallowbridge.Defaults(n.Name, boot, n.Domain)
	rc.Market.RoundRobin = w.S.RoundRob
	n.router = mallowbridge.New(rc)
	if w.S.IndexOff || w.S.RoundRob {
		n.router.IndexOff()
	}
	w.Say("%s starts", n.Name)
	life := n.life
	n.tick = func() {
		if n.life != life || !n.Alive {
			return
		}
		w.after(tickEvery, n.tick)
		if !n.frozen {
			n.novel()
			n.step(crux.Tick{})
			n.decide(n.router.Step(n.local(), mallowbridge.Tick{}))
		}
	}
	n.tick()
}

func (n *Node) live(do func()) {
	life := n.life
	wrapped := func() {
		if n.Alive && n.life == life {
			do()
		}
	}
	if n.frozen {
		n.inbox = append(n.inbox, wrapped)
		return
	}
	wrapped()
}

func (n *Node) later(d time.Duration, do func()) {
	life := n.life
	n.w.after(d, func() {
		if n.life == life {
			n.live(do)
		}
	})
}

func (n *Node) step(in crux.In) {
	n.live(func() { n.carry(n.node.Step(n.local(), in)) })
}

func (n *Node) event(ev mallowbridge.Event) {
	n.live(func() { n.decide(n.router.Step(n.local(), ev)) })
}

func (n *Node) carry(out crux.Out) {
	w := n.w
	for _, s := range out.Sends {
		to := w.byAddr[s.To]
		if to == nil {
			continue
		}
		if to.foreign(s.Msg) {
			w.Audit.breach(Unreadable, to.Name, fmt.Sprintf("%T from %s", s.Msg, n.Name))
			continue
		}
		msgs, delays := w.Net.carry(n.Addr, s.To, n.Domain == to.Domain, s.Msg, fmt.Sprintf("%T", s.Msg))
		for i, m := range msgs {
			w.after(delays[i], func() { to.step(crux.Recv{From: n.Addr, Msg: m}) })
		}
	}
	if len(out.Writes) > 0 {
		n.unsent = append(n.unsent, out.Writes...)
		n.save()
	}
	for _, ev := range out.Events {
		n.decide(n.router.Step(n.local(), ev))
		if o, ok := ev.(mallowbridge.Order); ok {
			w.Audit.obeys(n)
			n.watch(o.Picture)
		}
	}
	for _, p := range out.Probes {
		n.probe(p)
	}
	for _, name := range out.Looks {
		n.eyes[name].poke()
	}
	for _, c := range out.Changes {
		w.Say("%s %s: %s", n.Name, c.What, c.Detail)
		if w.trap != nil {
			w.trap(n, c.What)
		}
	}
	for _, a := range out.Answers {
		if done := w.answers[a.ID]; done != nil {
			delete(w.answers, a.ID)
			done(a)
		}
	}
}

func (n *Node) save() {
	if n.saving || n.stall || len(n.unsent) == 0 {
		return
	}
	n.saving = true
	batch := n.unsent
	n.unsent = nil
	d := time.Millisecond + time.Duration(n.w.rng.Int64N(int64(4*time.Millisecond))) + n.slow
	n.later(d, func() {
		n.saving = false
		err := n.keeper.Save(batch)
		n.step(crux.Saved{Ticket: batch[len(batch)-1].Ticket, Err: err})
		n.save()
	})
}

func (n *Node) kill() {
	if !n.Alive {
		return
	}
	n.Alive = false
	n.life = 0
	n.w.Say("%s is killed", n.Name)
	for _, name := range sortedKeys(n.asks) {
		n.asks[name].orphan()
	}
	n.asks = map[string]*flight{}
}

func (n *Node) freeze() {
	if n.Alive {
		n.w.Say("%s freezes", n.Name)
		n.frozen = true
	}
}

func (n *Node) thaw() {
	if !n.frozen {
		return
	}
	n.w.Say("%s thaws", n.Name)
	n.frozen = false
	box := n.inbox
	n.inbox = nil
	for _, do := range box {
		do()
	}
}
