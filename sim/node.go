package sim

import (
	"fmt"
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/disk"
	"github.com/mallowbridge/mallowbridge/sim/shape"
	"github.com/mallowbridge/mallowbridge/transport"
)

// Node is a simulated machine of the fleet with its process: control state machine, router, disk and clock.
type Node struct {
	w            *World
	Name         string
	Addr         string
	Zone         string
	Alive        bool
	frozen       bool
	rejecting    bool
	shuttingDown bool
	// shutdownAt is when the process was told to end, where retire is set.
	shutdownAt  time.Duration
	inbox       []func()
	incarnation uint64
	frontendID  string
	build       uint32
	skew        time.Duration
	wall        time.Duration
	node        *control.Node
	router      *router.Router
	journal     *control.Journal
	Disk        *disk.Disk
	slow        time.Duration
	stall       bool
	saving      bool
	unsent      []control.LogWrite
	asks        map[string]*fleetRequest
	watchers    map[string]*watcher
	tick        func()

	requests    map[string]*proxyRequest
	requestSeq  int
	pool        pool
	wakes       time.Duration
	dark        bool
	repairing   bool
	serving     bool
	acceptQueue []func()
	removed     bool
}

func newNode(w *World, i int, s shape.Node) *Node {
	n := &Node{
		w: w, Name: s.Name, Addr: fmt.Sprintf("10.0.0.%d:7000", i+1), Zone: s.Zone,
		skew: time.Duration(w.rng.Int64N(int64(100 * time.Hour))),
		wall: time.Duration(w.whim.Int64N(int64(10 * time.Second))), asks: map[string]*fleetRequest{},
	}
	if w.Scenario.MixNextBuild && i%2 == 0 {
		n.build = transport.Build + 1
	}
	if w.Scenario.MixPreviousBuild && i%2 == 1 {
		n.build = transport.Build - 1
	}
	if s.Disk {
		n.Disk = disk.New(w.Scenario.Seed*100 + uint64(i))
	}
	w.byAddr[n.Addr] = n
	return n
}

func (n *Node) local() time.Duration { return n.skew + n.w.Now }

func (n *Node) unixMs() uint64 { return uint64((w0 + n.w.Now + n.wall) / time.Millisecond) }

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
	w.incarnations++
	n.reset(w.incarnations)
	boot := strconv.FormatUint(w.whim.Uint64(), 36)
	cfg := control.Config{
		Name: n.Name, Addr: n.Addr, Zone: n.Zone, Seeds: n.seeds(), Boot: boot,
		Incarnation: control.FirstIncarnation(time.UnixMilli(int64(n.unixMs())), w.whim.Uint64()), Seed: w.Scenario.Seed<<16 + n.incarnation,
		Membership: membership.Defaults(), Gossip: gossip.Defaults(), Build: n.build,
	}
	rc := router.Defaults(n.Name, boot, n.Zone)
	if w.site != nil {
		w.site.configure(&cfg, &rc)
	}
	if n.Disk != nil && !n.openJournal(&cfg) {
		n.Alive = false
		return
	}
	n.node = control.New(n.local(), cfg)
	n.frontendID = n.Name + "." + boot
	rc.Scheduler.RoundRobin = w.Scenario.RoundRobin
	n.router = router.New(rc)
	if w.Scenario.DisableIndex || w.Scenario.RoundRobin {
		n.router.DisableIndex()
	}
	w.Tracef("%s starts", n.Name)
	n.startTicking()
	if w.site != nil {
		n.arm()
		n.open(w.Now)
	}
}

// reset gives the node's process the state that it has at the start of an incarnation.
func (n *Node) reset(incarnation uint64) {
	n.watchers, n.rejecting, n.shuttingDown = map[string]*watcher{}, false, false
	n.incarnation, n.Alive, n.frozen, n.inbox, n.saving, n.unsent, n.journal = incarnation, true, false, nil, false, nil, nil
	n.serving, n.acceptQueue = false, nil
	n.dark, n.repairing, n.requests, n.pool, n.wakes = false, false, map[string]*proxyRequest{}, pool{}, 0
}

// openJournal reads the node's disk; false where that fails, which is a breach.
func (n *Node) openJournal(cfg *control.Config) bool {
	journal, err := control.OpenJournal(n.Disk, fmt.Sprintf("disk-%s-%d", n.Name, n.incarnation))
	if err != nil {
		n.w.Tracef("%s cannot start: %v", n.Name, err)
		n.w.Audit.breach("disk cannot be read", n.Name, err.Error())
		return false
	}
	n.journal = journal
	kept := journal.State()
	cfg.Disk = &kept
	return true
}

func (n *Node) startTicking() {
	w, incarnation := n.w, n.incarnation
	n.tick = func() {
		if n.incarnation != incarnation || !n.Alive {
			return
		}
		w.After(shape.TickEvery, n.tick)
		if n.frozen {
			return
		}
		n.novel()
		n.step(control.Tick{})
		if w.site == nil {
			n.decide(n.router.Step(n.local(), router.Tick{}))
		}
	}
	n.tick()
}

func (n *Node) live(do func()) {
	incarnation := n.incarnation
	wrapped := func() {
		if n.Alive && n.incarnation == incarnation {
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
	incarnation := n.incarnation
	n.w.After(d, func() {
		if n.incarnation == incarnation {
			n.live(do)
		}
	})
}

func (n *Node) step(in control.Input) {
	n.live(func() { n.carry(n.node.Step(n.local(), in)) })
}

func (n *Node) kill() {
	if !n.Alive {
		return
	}
	n.Alive = false
	n.incarnation = 0
	n.w.Tracef("%s is killed", n.Name)
	for _, name := range sortedKeys(n.asks) {
		n.asks[name].orphan()
	}
	n.asks = map[string]*fleetRequest{}
	n.halt()
}

func (n *Node) freeze() {
	if n.Alive {
		n.w.Tracef("%s freezes", n.Name)
		n.frozen = true
	}
}

func (n *Node) thaw() {
	if !n.frozen {
		return
	}
	n.w.Tracef("%s thaws", n.Name)
	n.frozen = false
	box := n.inbox
	n.inbox = nil
	for _, do := range box {
		do()
	}
}
