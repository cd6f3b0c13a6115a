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

type Config struct {
	Name, Addr, HTTP, Domain string
	Seeds                    []string
	Boot                     string
	Build                    uint32
	Inc                      uint64
	Seed                     uint64
	Disk                     *Kept
	Kin                      membership.Config
	Rumor                    gossip.Config

	// Read reads and checks the operators' document; nil: charter.Read.
	Read config.Reader
	// ListEvery is how often the platform's list of replicas is read; 0: there is none.
	ListEvery time.Duration
	// Tolerate is how many voters may be lost together; the fleet then seats voters by itself. 0: operators do.
	Tolerate int
	// Founds has the seeds found the register by themselves.
	Founds bool
	// ServesCutOff keeps a node serving by what it knows while it hears nobody.
	ServesCutOff bool
}

type held struct {
	ticket uint64
	send   Send
}

type ending func(now time.Duration, r register.Result)

type Node struct {
	cfg    Config
	out    *Out
	Kin    *membership.Kin
	Rumor  *gossip.Store
	prop   *register.Proposer
	voter  *register.Acceptor
	grants *lease.Granter
	hold   *lease.Holder

	ticket  uint64
	held    []held
	oldest  time.Duration
	broken  error
	local   []Recv
	opSeq   uint64
	waiting map[uint64]ending
	reading bool

	value   *register.Value
	pic     *config.Picture
	where   map[string]config.Replica
	obeyed  uint64
	joined  bool
	since   time.Duration
	asked   time.Duration
	met     map[string]bool
	settled time.Duration
	left    bool
	why     string
	routers string
	fedAt   time.Duration
	behind  time.Duration
	ahead   time.Duration
	reread  time.Duration

	born     time.Duration
	founding bool
	foundAt  time.Duration
	lists    listing
	failures uint64
	derived  derived

	duties  duties
	sights  map[string]*sight
	told    map[string]told
	witness witness
}

func New(now time.Duration, cfg Config) (n *Node) {
	if cfg.Read == nil {
		cfg.Read = config.Read
	}
	self := membership.Member{Name: cfg.Name, Addr: cfg.Addr, HTTP: cfg.HTTP, Domain: cfg.Domain, Inc: cfg.Inc, Build: max(cfg.Build, transport.Build)}
	by := cfg.Name + "/" + cfg.Boot
	n = &Node{
		cfg: cfg, prop: register.NewProposer(by, cfg.Seed), hold: lease.NewHolder(by, cfg.Seed), Rumor: gossip.New(cfg.Rumor, cfg.Seed),
		waiting: map[uint64]ending{}, met: map[string]bool{}, since: now, asked: -time.Hour, fedAt: -time.Hour,
		born: now, foundAt: -time.Hour, lists: listing{heard: now, asked: -time.Hour},
		duties: newDuties(), witness: newWitness(now), sights: map[string]*sight{}, told: map[string]told{},
	}
	if cfg.Disk != nil {
		self.Disk = cfg.Disk.Pact.Disk
		n.voter = &register.Acceptor{State: cfg.Disk.Pact}
		n.grants = lease.NewGranter(self.Disk, cfg.Disk.Grants, now+lease.TTL)
		n.prop.Learn(cfg.Disk.Pact.Value)
		if v := cfg.Disk.Pact.Value; v != nil {
			n.grants.Reseat(now, v.Seat)
		}
	}
	n.Kin = membership.New(cfg.Kin, self, cfg.Seed, now)
	return n
}

func (n *Node) Step(now time.Duration, in In) (out Out) {
	n.out = &out
	switch i := in.(type) {
	case Recv:
		n.recv(now, i)
	case Saved:
		n.saved(now, i)
	case Probed:
		n.probed(now, i)
	case Sighted:
		n.sighted(now, i)
	case Failed:
		n.failed(i)
	case ListRead:
		n.listRead(now, i)
	case Command:
		n.command(now, i)
	case Prefills:
		n.tellPrefills(i)
	case Tick:
		n.tick(now)
	}
	n.flush(now)
	if n.fedAt > 0 && now-n.fedAt <= n.cfg.Kin.Gap && n.hindrance(now) != n.why {
		n.tell(now)
	}
	return out
}

func (n *Node) flush(now time.Duration) {
	for range 64 {
		n.register(now)
		n.spread(now)
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
	if now-n.fedAt > n.cfg.Kin.Gap && n.fedAt > 0 && n.joined {
		n.wake(now, fmt.Sprintf("%s without a tick", now-n.fedAt))
	}
	n.prop.Tick(now)
	for _, s := range n.Kin.Tick(now) {
		n.send(s.To, s.Msg)
	}
	for _, s := range n.Rumor.Tick(now, n.peers()) {
		n.send(s.To, s.Msg)
	}
	if n.Kin.Alone(now) {
		n.wake(now, "heard by nobody")
	}
	n.foundAlone(now)
	n.join(now)
	n.listWork(now)
	n.mind(now)
	n.fitness(now)
	n.work(now)
	n.witness.tick(now, n)
	n.feed(now)
}

// wake starts over as after a start: what this node knows may be old, and others may have taken its share of room.
func (n *Node) wake(now time.Duration, why string) {
	if n.joined {
		n.change("starts over", why)
	}
	n.joined, n.since, n.settled = false, now, 0
	n.met = map[string]bool{}
}

func (n *Node) change(what, detail string) {
	n.out.Changes = append(n.out.Changes, Change{What: what, Detail: detail})
}

func (n *Node) recv(now time.Duration, r Recv) {
	if r.From != n.cfg.Addr {
		n.rouse(r)
	}
	switch m := r.Msg.(type) {
	case membership.Ping:
		n.kinSends(n.Kin.OnPing(r.From, m))
	case membership.PingFor:
		n.kinSends(n.Kin.OnPingFor(now, r.From, m))
	case membership.Ack:
		n.kinSends(n.Kin.OnAck(now, m))
	case gossip.News:
		n.onNews(now, r.From, m)
	case gossip.Sum:
		n.rumorSends(n.Rumor.OnSum(r.From, m))
	case gossip.Marks:
		n.rumorSends(n.Rumor.OnMarks(r.From, m))
	case gossip.Tell:
		n.rumorSends(n.Rumor.OnTell(now, r.From, m))
	case gossip.Want:
		n.rumorSends(n.Rumor.OnWant(r.From, m))
	case Prefills:
		n.onPrefills(m)
	case WitnessAsk:
		n.send(r.From, n.witness.see(now, m))
	case WitnessForget:
		n.witness.forget(m)
	case WitnessSay:
		n.witness.said(r.From, m, n)
	default:
		n.vote(now, r)
	}
}

func (n *Node) rouse(r Recv) {
	switch r.Msg.(type) {
	case membership.Ping, membership.Ack:
	default:
		return
	}
	for _, m := range n.Kin.Table.All() {
		if m.Addr == r.From && m.State == membership.Dead {
			n.send(r.From, n.Rumor.Marks(true))
		}
	}
}
