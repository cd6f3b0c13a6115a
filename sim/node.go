package sim

import (
	"fmt"
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/transport"
)

// Node is a simulated machine of the fleet with its process: control state machine, router, disk and clock.
type Node struct {
	w      *World
	Name   string
	Addr   string
	Domain string
	Alive  bool
	frozen bool
	shut   bool
	retire bool
	// retiredAt is when the process was told to end, where retire is set.
	retiredAt time.Duration
	inbox     []func()
	life      uint64
	front     string
	build     uint32
	skew      time.Duration
	wall      time.Duration
	node      *control.Node
	router    *mallowbridge.Router
	keeper    *control.Journal
	Disk      *Disk
	slow      time.Duration
	stall     bool
	saving    bool
	unsent    []control.LogWrite
	asks      map[string]*flight
	eyes      map[string]*eye
	tick      func()

	trips   map[string]*trip
	tripSeq int
	pool    pool
	wakes   time.Duration
	dark    bool
	mending bool
	open    bool
	door    []func()
	removed bool
}

func newNode(w *World, i int, s NodeShape) *Node {
	n := &Node{
		w: w, Name: s.Name, Addr: fmt.Sprintf("10.0.0.%d:7000", i+1), Domain: s.Domain,
		skew: time.Duration(w.rng.Int64N(int64(100 * time.Hour))),
		wall: time.Duration(w.whim.Int64N(int64(10 * time.Second))), asks: map[string]*flight{},
	}
	if w.S.Builds && i%2 == 0 {
		n.build = transport.Build + 1
	}
	if w.S.Older && i%2 == 1 {
		n.build = transport.Build - 1
	}
	if s.Disk {
		n.Disk = NewDisk(w.S.Seed*100 + uint64(i))
	}
	w.byAddr[n.Addr] = n
	return n
}

func (n *Node) local() time.Duration { return n.skew + n.w.now }

func (n *Node) unixMs() uint64 { return uint64((w0 + n.w.now + n.wall) / time.Millisecond) }

const w0 = 1_700_000_000 * time.Second

func (n *Node) seeds() []string {
	var addrs []string
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
	cfg := control.Config{
		Name: n.Name, Addr: n.Addr, Zone: n.Domain, Seeds: n.seeds(), Boot: boot, Incarnation: control.Inc(time.UnixMilli(int64(n.unixMs())), w.whim.Uint64()), Seed: w.S.Seed<<16 + n.life,
		Membership: membership.Defaults(), Gossip: gossip.Defaults(), Build: n.build,
	}
	n.open, n.door = false, nil
	n.dark, n.mending, n.trips, n.pool, n.wakes = false, false, map[string]*trip{}, pool{}, 0
	rc := mallowbridge.Defaults(n.Name, boot, n.Domain)
	if w.site != nil {
		w.site.configure(&cfg, &rc)
	}
	if n.Disk != nil {
		k, err := control.OpenJournal(n.Disk, fmt.Sprintf("disk-%s-%d", n.Name, n.life))
		if err != nil {
			w.Say("%s cannot start: %v", n.Name, err)
			w.Audit.breach("disk cannot be read", n.Name, err.Error())
			n.Alive = false
			return
		}
		n.keeper = k
		kept := k.State()
		cfg.Disk = &kept
	}
	n.node = control.New(n.local(), cfg)
	n.front = n.Name + "." + boot
	rc.Scheduler.RoundRobin = w.S.RoundRob
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
			n.step(control.Tick{})
			if w.site == nil {
				n.decide(n.router.Step(n.local(), mallowbridge.Tick{}))
			}
		}
	}
	n.tick()
	if w.site != nil {
		n.arm()
		n.unlock(w.now)
	}
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

func (n *Node) step(in control.In) {
	n.live(func() { n.carry(n.node.Step(n.local(), in)) })
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
	n.halt()
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
