package control

import (
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/transport"
)

// Config describes one node. Name, Addr (address of the node protocol), HTTP (address of the public side) and Zone (its zone) are told to
// the other nodes. Boot tells one process of a name from the next, Build is the build of its messages (0: transport.Build), Incarnation the first
// incarnation of its member (see FirstIncarnation), Seed feeds its random choices. Disk is what its disk kept; nil: the node has none.
type Config struct {
	Name, Addr, HTTP, Zone string
	Seeds                  []string
	Boot                   string
	Build                  uint32
	Incarnation            uint64
	Seed                   uint64
	Disk                   *DiskState
	Membership             membership.Config
	Gossip                 gossip.Config

	// Read reads and checks the operators' document; nil: that of the product's own documents.
	Read config.Reader
	// ListEvery is how often the platform's list of replicas is read; 0: there is none.
	ListEvery time.Duration
	// FaultTolerance is how many voters may be lost together; the fleet then seats voters by itself. 0: operators do.
	FaultTolerance int
	// Bootstraps has the seeds found the register by themselves.
	Bootstraps bool
	// ServesIsolated keeps a node serving by its last snapshot while it is isolated.
	ServesIsolated bool
}

type pendingReply struct {
	ticket uint64
	send   Send
}

type completion func(now time.Duration, r register.Result)

// A pendingOp waits for the proposer since it was submitted.
type pendingOp struct {
	since time.Duration
	done  completion
}

// Node is the control state machine of one node. It is owned by one goroutine; only Step changes it.
type Node struct {
	config   Config
	out      *Out
	Members  *membership.Detector
	Gossip   *gossip.Store
	proposer *register.Proposer
	acceptor *register.Acceptor
	grantor  *lease.Grantor
	leases   *lease.Holder

	ticket         uint64
	pendingReplies []pendingReply
	pendingSince   time.Duration
	diskErr        error
	local          []Received
	opSeq          uint64
	pendingOps     map[uint64]pendingOp
	reading        bool

	value             *register.Value
	snapshot          *config.Snapshot
	replicasByName    map[string]config.Replica
	applied           uint64
	joined            bool
	startedOverAt     time.Duration
	askedAt           time.Duration
	neighboursRead    map[string]bool
	joinDeadline      time.Duration
	leaving           bool
	notServing        string
	routers           string
	servingReportedAt time.Duration
	inputAt           time.Duration
	behindSince       time.Duration
	aheadSince        time.Duration
	rereadAt          time.Duration

	startedAt     time.Duration
	bootstrapping bool
	bootstrapAt   time.Duration
	replicaList   listReader
	failures      uint64
	derived       derived

	tasks          tasks
	observations   map[string]*observed
	platformStates map[string]platformState
	witness        witnessState
	documents      documents
}

// New makes a node that starts at now, on the clock of all further steps.
func New(now time.Duration, cfg Config) *Node {
	if cfg.Read == nil {
		cfg.Read = (&config.Documents{}).Read
	}
	if cfg.Build == 0 {
		cfg.Build = transport.Build
	}
	self := membership.Member{Name: cfg.Name, Addr: cfg.Addr, HTTP: cfg.HTTP, Zone: cfg.Zone, Incarnation: cfg.Incarnation, Build: cfg.Build}
	by := cfg.Name + "/" + cfg.Boot
	n := &Node{
		config: cfg, proposer: register.NewProposer(by, cfg.Seed), leases: lease.NewHolder(by, cfg.Seed), Gossip: gossip.New(cfg.Gossip, cfg.Seed),
		pendingOps: map[uint64]pendingOp{}, neighboursRead: map[string]bool{}, startedOverAt: now, askedAt: -time.Hour, servingReportedAt: -time.Hour,
		startedAt: now, bootstrapAt: -time.Hour, replicaList: listReader{confirmedAt: now, askedAt: -time.Hour},
		tasks: newTasks(), witness: newWitness(now), observations: map[string]*observed{}, platformStates: map[string]platformState{},
		documents: newDocuments(),
	}
	if cfg.Disk != nil {
		self.Disk = cfg.Disk.Register.Disk
		n.acceptor = &register.Acceptor{State: cfg.Disk.Register}
		n.grantor = lease.NewGrantor(self.Disk, cfg.Disk.Grants, now+lease.TTL)
		n.proposer.Learn(cfg.Disk.Register.Value)
		if v := cfg.Disk.Register.Value; v != nil {
			n.grantor.ChangeEpoch(now, v.Epoch)
		}
	}
	n.Members = membership.New(cfg.Membership, self, cfg.Seed, now)
	return n
}

// Step takes one input at the time now, which never falls, and returns what is to be done.
func (n *Node) Step(now time.Duration, in In) Out {
	var out Out
	n.out = &out
	n.noticeFreeze(now)
	switch i := in.(type) {
	case Received:
		n.recv(now, i)
	case Persisted:
		n.onPersisted(now, i)
	case Probed:
		n.onProbed(now, i)
	case Observation:
		n.observe(now, i)
	case Failed:
		n.failed(i)
	case ListRead:
		n.onListRead(now, i)
	case Command:
		n.command(now, i)
	case Prefills:
		n.tellPrefills(i)
	case Tick:
		n.tick(now)
	}
	n.flush(now)
	if n.servingReportedAt > 0 && now-n.servingReportedAt <= n.config.Membership.PauseGap && n.notServingReason(now) != n.notServing {
		n.reportServing(now)
	}
	return out
}

func (n *Node) flush(now time.Duration) {
	for range 64 {
		n.drainProposer(now)
		n.publishMembers(now)
		if len(n.local) == 0 {
			return
		}
		next := n.local
		n.local = nil
		for _, r := range next {
			n.recv(now, r)
		}
	}
}

func (n *Node) tick(now time.Duration) {
	if now-n.servingReportedAt > n.config.Membership.PauseGap && n.servingReportedAt > 0 && n.joined {
		n.rejoin(now, fmt.Sprintf("%s without a tick", now-n.servingReportedAt))
	}
	n.proposer.Tick(now)
	for _, s := range n.Members.Tick(now) {
		n.send(s.To, s.Msg)
	}
	for _, s := range n.Gossip.Tick(now, n.peers()) {
		n.send(s.To, s.Msg)
	}
	if n.Members.Isolated(now) {
		n.rejoin(now, "isolated")
	}
	n.bootstrapFromSeeds(now)
	n.join(now)
	n.readList(now)
	n.reconcileAcceptor(now)
	n.checkDisk(now)
	n.runTasks(now)
	n.witness.tick(now, n)
	n.tickFetches(now)
	n.publishServing(now)
}

func (n *Node) logChange(what, detail string) {
	n.out.Changes = append(n.out.Changes, Change{What: what, Detail: detail})
}
