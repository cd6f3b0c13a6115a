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

// Node is a simulated machine of the fleet with its process: control state machine, router, disk and clocks.
type Node struct {
	w      *World
	Name   string
	Addr   string
	Zone   string
	Alive  bool
	frozen bool
	// rejecting is set while the node shuts down and answers every request with a rejection.
	rejecting bool
	// shuttingDown is set from the order to stop until the process ends.
	shuttingDown bool
	// shutdownAt is when the process received the order to stop, if shuttingDown is set.
	shutdownAt time.Duration
	// inbox contains the handlers of events that arrived while the node was frozen.
	inbox []func()
	// incarnation is unique among all starts of all nodes; 0 while the process does not run.
	incarnation uint64
	// frontendID is the node's name with the id of this start, as in attempt ids.
	frontendID string
	build      uint32
	// clockOffset is added to the virtual time for the monotonic clock, wallOffset for the wall clock.
	clockOffset time.Duration
	wallOffset  time.Duration
	node        *control.Node
	router      *router.Router
	journal     *control.Journal
	Disk        *disk.Disk
	// syncDelay is the extra time of each sync; while diskStalled is set, no sync completes.
	syncDelay   time.Duration
	diskStalled bool
	writing     bool
	// unwritten are entries that wait for the write in progress.
	unwritten     []control.LogWrite
	fleetRequests map[string]*fleetRequest
	watchers      map[string]*watcher
	tick          func()

	requests   map[string]*proxyRequest
	requestSeq int
	pool       pool
	// nextWake is when the router's next tick is scheduled; 0 if none is.
	nextWake time.Duration
	// poweredOff is set if the machine itself is down, so that nothing resets its connections.
	poweredOff bool
	// repairing is set while a failed disk is rewritten.
	repairing bool
	// accepting is set once the process accepts connections; until then they wait in acceptQueue.
	accepting   bool
	acceptQueue []func()
	// removed is set if the machine was permanently replaced by another one.
	removed bool
}

func newNode(w *World, i int, s shape.Node) *Node {
	n := &Node{
		w: w, Name: s.Name, Addr: fmt.Sprintf("10.0.0.%d:7000", i+1), Zone: s.Zone,
		clockOffset: time.Duration(w.rng.Int64N(int64(100 * time.Hour))),
		wallOffset:  time.Duration(w.auxRNG.Int64N(int64(10 * time.Second))), fleetRequests: map[string]*fleetRequest{},
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
	w.nodesByAddr[n.Addr] = n
	return n
}

func (n *Node) localTime() time.Duration { return n.clockOffset + n.w.Now }

func (n *Node) unixMs() uint64 {
	return uint64((clockEpoch + n.w.Now + n.wallOffset) / time.Millisecond)
}

// clockEpoch is the Unix time at which every run starts.
const clockEpoch = 1_700_000_000 * time.Second

func (n *Node) seedAddrs() []string {
	var addrs []string
	for _, o := range n.w.Nodes[:3] {
		addrs = append(addrs, o.Addr)
	}
	return addrs
}

// start starts a new incarnation of the node's process.
func (n *Node) start() {
	if n.Alive {
		return
	}
	w := n.w
	w.lastIncarnation++
	n.reset(w.lastIncarnation)
	boot := strconv.FormatUint(w.auxRNG.Uint64(), 36)
	cfg := control.Config{
		Name: n.Name, Addr: n.Addr, Zone: n.Zone, Seeds: n.seedAddrs(), BootID: boot,
		Incarnation: control.FirstIncarnation(time.UnixMilli(int64(n.unixMs())), w.auxRNG.Uint64()), Seed: w.Scenario.Seed<<16 + n.incarnation,
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
	n.node = control.New(n.localTime(), cfg)
	n.frontendID = n.Name + "." + boot
	rc.Scheduler.RoundRobin = w.Scenario.RoundRobin
	n.router = router.New(rc)
	if w.Scenario.DisableIndex || w.Scenario.RoundRobin {
		n.router.DisableIndex()
	}
	w.Tracef("%s starts", n.Name)
	n.startTicking()
	if w.site != nil {
		n.scheduleTick()
		n.startAccepting(w.Now)
	}
}

// reset puts the node's process into its state at the start of an incarnation.
func (n *Node) reset(incarnation uint64) {
	n.watchers, n.rejecting, n.shuttingDown = map[string]*watcher{}, false, false
	n.incarnation, n.Alive, n.frozen, n.inbox, n.writing, n.unwritten, n.journal = incarnation, true, false, nil, false, nil, nil
	n.accepting, n.acceptQueue = false, nil
	n.poweredOff, n.repairing, n.requests, n.pool, n.nextWake = false, false, map[string]*proxyRequest{}, pool{}, 0
}

// openJournal reads the node's disk; it returns false and records a breach if that fails.
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
		n.gossipNovelty()
		n.step(control.Tick{})
		if w.site == nil {
			n.handleDecisions(n.router.Step(n.localTime(), router.Tick{}))
		}
	}
	n.tick()
}

// runIfAlive runs do if the process is alive. If the process is frozen, do runs after it thaws, unless it was killed in the meantime.
func (n *Node) runIfAlive(do func()) {
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

// later schedules do for this incarnation of the process.
func (n *Node) later(d time.Duration, do func()) {
	incarnation := n.incarnation
	n.w.After(d, func() {
		if n.incarnation == incarnation {
			n.runIfAlive(do)
		}
	})
}

func (n *Node) step(in control.Input) {
	n.runIfAlive(func() { n.handleOutput(n.node.Step(n.localTime(), in)) })
}

func (n *Node) kill() {
	if !n.Alive {
		return
	}
	n.Alive = false
	n.incarnation = 0
	n.w.Tracef("%s is killed", n.Name)
	for _, name := range sortedKeys(n.fleetRequests) {
		n.fleetRequests[name].nodeStopped()
	}
	n.fleetRequests = map[string]*fleetRequest{}
	n.closeConnections()
}

func (n *Node) freeze() {
	if n.Alive {
		n.w.Tracef("%s is frozen", n.Name)
		n.frozen = true
	}
}

func (n *Node) thaw() {
	if !n.frozen {
		return
	}
	n.w.Tracef("%s is no longer frozen", n.Name)
	n.frozen = false
	queued := n.inbox
	n.inbox = nil
	for _, do := range queued {
		do()
	}
}
