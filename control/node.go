package control

import (
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/quota"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/transport"
)

// Config describes one node. Name, Addr (address of the node protocol), HTTP (address of the public HTTP side) and Zone are published to
// the other nodes. BootID distinguishes a node's successive processes, Build is the build of its messages (0: transport.Build), Incarnation
// the first incarnation of its member entry (see FirstIncarnation), and Seed seeds its random choices. Seeds are the addresses that it
// contacts while it joins. Disk is the state that its disk kept; nil if the node has no disk.
type Config struct {
	Name, Addr, HTTP, Zone string
	Seeds                  []string
	BootID                 string
	Build                  uint32
	Incarnation            uint64
	Seed                   uint64
	Disk                   *DiskState
	Membership             membership.Config
	Gossip                 gossip.Config

	// Read parses and validates the operators' document; nil: the reader of the product's own documents.
	Read config.Reader
	// ListEvery is how often the platform's replica list is read; 0: there is no such list.
	ListEvery time.Duration
	// FaultTolerance is how many voters may be lost at once; the fleet then chooses its voters automatically. 0: operators choose them.
	FaultTolerance int
	// Bootstraps makes the seeds create the register automatically.
	Bootstraps bool
	// HidesDocument omits the operators' document from the status, because it contains secrets.
	HidesDocument bool
	// Quota is how strictly tenants' limits are enforced; zero: quota.DefaultRule.
	Quota quota.Rule
	// ServesIsolated lets a node serve with its last snapshot while it is isolated.
	ServesIsolated bool
}

// Node is the control state machine of one node. It is owned by one goroutine; only Step changes it. Each of its parts keeps its own state,
// and all of them add what a step requests to effects.
type Node struct {
	config Config
	*effects
	Members  *membership.Detector
	Gossip   *gossip.Store
	proposer *register.Proposer
	// acceptor and grantor are nil on a node without a disk.
	acceptor *register.Acceptor
	grantor  *lease.Grantor
	leases   *lease.Holder

	// value is the newest value of the register known to be chosen, snapshot the configuration in its document, and applied the version
	// that the router applies.
	value          *register.Value
	snapshot       *config.Snapshot
	replicasByName map[string]config.Replica
	applied        uint64

	startedAt time.Duration
	// local are messages of this node to itself, handled at the end of the step.
	local []Received
	// failureSeq numbers this router's reports of failed requests.
	failureSeq uint64

	disk          durableReplies
	operations    operations
	joining       joinState
	serving       servingState
	reconciling   reconciliation
	bootstrapping bootstrapState
	memberCache   memberCache
	replicaList   listReader
	health        healthChecks
	voters        voterRepair
	// platformStates are the states that operators set for replicas at this node.
	platformStates map[string]platformState
	witness        witnessState
	documents      documents
	quotas         quotaState
}

// New returns a node that starts at now. All later steps use the same clock.
func New(now time.Duration, cfg Config) *Node {
	if cfg.Read == nil {
		cfg.Read = (&config.CachingReader{}).Read
	}
	if cfg.Build == 0 {
		cfg.Build = transport.Build
	}
	self := membership.Member{Name: cfg.Name, Addr: cfg.Addr, HTTP: cfg.HTTP, Zone: cfg.Zone, Incarnation: cfg.Incarnation, Build: cfg.Build}
	by := cfg.Name + "/" + cfg.BootID
	n := &Node{
		config: cfg, proposer: register.NewProposer(by, cfg.Seed), leases: lease.NewHolder(by, cfg.Seed), Gossip: gossip.New(cfg.Gossip, cfg.Seed),
		effects: &effects{}, startedAt: now, operations: newOperations(), joining: newJoinState(now), serving: servingState{reportedAt: -time.Hour},
		bootstrapping: bootstrapState{at: -time.Hour}, replicaList: listReader{readStartedAt: -time.Hour},
		witness: newWitness(now), platformStates: map[string]platformState{}, documents: newDocuments(), quotas: newQuotaState(now, cfg),
	}
	n.health = newHealthChecks(n.effects)
	if cfg.Disk != nil {
		self.Disk = cfg.Disk.Register.Disk
		n.acceptor = &register.Acceptor{State: cfg.Disk.Register}
		n.grantor = lease.NewGrantor(self.Disk, cfg.Disk.Grants, now+lease.TTL)
		n.proposer.LearnVoters(cfg.Disk.Register.Value)
		if v := cfg.Disk.Register.Value; v != nil {
			n.grantor.ChangeEpoch(now, v.Epoch)
		}
	}
	n.Members = membership.New(cfg.Membership, self, cfg.Seed, now)
	return n
}

// Step handles one input at the time now, which must never decrease, and returns what the caller must do.
func (n *Node) Step(now time.Duration, in Input) Output {
	var out Output
	n.out = &out
	n.detectPause(now)
	switch i := in.(type) {
	case Received:
		n.recv(now, i)
	case Persisted:
		n.onPersisted(now, i)
	case Probed:
		n.onProbed(now, i)
	case ConnectionChange:
		n.health.observe(now, i)
	case QuotaRequested:
		n.quotaRequested(now, i)
	case FailuresObserved:
		n.publishFailures(i)
	case ListRead:
		n.onListRead(now, i)
	case Command:
		n.command(now, i)
	case Cancel:
		n.cancel(now, i)
	case Prefills:
		n.sendPrefills(i)
	case Tick:
		n.tick(now)
	}
	n.flush(now)
	if n.serving.reportedAt > 0 && now-n.serving.reportedAt <= n.config.Membership.PauseGap && n.notServingReason(now) != n.serving.reason {
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
	if now-n.serving.reportedAt > n.config.Membership.PauseGap && n.serving.reportedAt > 0 && n.joining.joined {
		n.rejoin(now, fmt.Sprintf("%s without a tick", now-n.serving.reportedAt))
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
	n.runSingletonRoles(now)
	n.witness.tick(now, n)
	n.tickQuotas(now)
	n.tickFetches(now)
	n.publishServing(now)
}
