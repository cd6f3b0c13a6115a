package control

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/router"
)

// delivery is a message to a node, or an input of the node itself (from is empty), to be delivered at the time at.
type delivery struct {
	at   time.Duration
	from string
	to   string
	msg  any
}

// lab runs whole nodes in one process. Nodes are spread over three zones unless a test says otherwise; the first three nodes are the seeds.
type lab struct {
	t     *testing.T
	now   time.Duration
	nodes map[string]*Node
	// order are the names of the nodes, in the order in which they start and get ticks; disks are their disk IDs.
	order []string
	disks map[string]string
	down  map[string]bool
	// cut reports whether messages from one node to another are lost; nil: none are.
	cut      func(from, to string) bool
	inFlight []delivery
	answers  map[uint64]Answer
	ids      uint64
	// list is the platform's replica list, which cannot be read while listFails is set. lists counts each node's reads, and replicaLists
	// has the last list that each router received.
	list      []router.Instance
	listFails bool
	// listFailsAt are the nodes at which the list cannot be read; reader is the reader of the operators' document, nil: anyDocument.
	listFailsAt  []string
	reader       config.Reader
	lists        map[string]int
	replicaLists map[string][]router.Instance
	// changes are the nodes' logged changes, as the node's name and the kind.
	changes []string
	// failures are the last failures that each node received; digests counts the digests sent.
	failures map[string]router.Failures
	digests  int
	// frozen nodes get no inputs; what is sent to them waits until they resume.
	frozen map[string]bool
	// zones and tolerate are the number of zones and the fault tolerance.
	zones    int
	tolerate int
	// sent is called for each message and reports whether it is lost; builds are the builds of nodes that do not run the current one.
	sent   func(from, to string, msg any) bool
	builds map[string]uint32
	// journals keep the nodes' state on disks as the daemon does, if a test needs that; folders are the disks by ID.
	journals map[string]*Journal
	// decided is called with the outcome of each request for a tenant's quota.
	decided func(name string, q router.QuotaDecided)
	folders map[string]*memoryDisk
	// seeds are the seeds of nodes that start; nil: the first three nodes.
	seeds []string
}

func newLab(t *testing.T, size int) *lab {
	return newSizedLab(t, fleetShape{nodes: size, zones: 3, disks: 4, tolerate: 1}, 0)
}

// newSizedLab returns a lab with the given shape. Another seed changes all random draws.
func newSizedLab(t *testing.T, shape fleetShape, seed uint64) *lab {
	l := &lab{t: t, zones: shape.zones, tolerate: shape.tolerate, ids: seed << 20, nodes: map[string]*Node{}, disks: map[string]string{}, down: map[string]bool{}, answers: map[uint64]Answer{}, lists: map[string]int{}, replicaLists: map[string][]router.Instance{}, builds: map[string]uint32{}}
	for i := range shape.nodes {
		name := fmt.Sprint("n", i)
		l.order = append(l.order, name)
		if i < shape.disks {
			l.disks[name] = "disk-" + name
		}
	}
	for _, name := range l.order {
		l.boot(name, true)
	}
	return l
}

func (l *lab) boot(name string, first bool) {
	var at int
	fmt.Sscanf(name, "n%d", &at)
	l.ids++
	cfg := Config{
		Name: name, Addr: name, BootID: fmt.Sprint(l.ids), Zone: fmt.Sprint(at % l.zones), Incarnation: l.ids << 20, Seed: l.ids, Seeds: l.startSeeds(),
		Membership: membership.Defaults(), Gossip: gossip.Defaults(), Read: anyDocument, ListEvery: time.Second, FaultTolerance: l.tolerate, Bootstraps: first, ServesIsolated: true,
		Build: l.builds[name],
	}
	if id := l.disks[name]; id != "" {
		cfg.Disk = &DiskState{}
		if old := l.nodes[name]; old != nil && old.acceptor.Disk == id {
			cfg.Disk.Register, cfg.Disk.Grants = old.acceptor.State, old.grantor.Records()
		}
		cfg.Disk.Register.Disk = id
		l.open(name, &cfg)
	}
	if l.reader != nil {
		cfg.Read = l.reader
	}
	l.nodes[name] = New(l.now, cfg)
	delete(l.down, name)
}

func (l *lab) startSeeds() []string {
	if l.seeds != nil {
		return l.seeds
	}
	return []string{"n0", "n1", "n2"}
}

func anyDocument(_ []byte) (config.Config, error) {
	return config.Config{Services: []config.Service{{Name: "o", Discovered: true}}, Tenants: []config.Tenant{labTenant}}, nil
}

func (l *lab) step(name string, in Input) {
	out := l.nodes[name].Step(l.now, in)
	l.sendAll(name, out.Sends)
	if n := len(out.Writes); n > 0 {
		l.save(name, out.Writes)
		l.inFlight = append(l.inFlight, delivery{at: l.now + 3*time.Millisecond, to: name, msg: Persisted{Seq: out.Writes[n-1].Seq}})
	}
	if out.ReadReplicaList {
		l.readList(name)
	}
	for _, p := range out.Probes {
		l.inFlight = append(l.inFlight, delivery{at: l.now + time.Millisecond, to: name, msg: Probed{Replica: p.Replica, Local: p.Local, OK: true, InstanceID: "i-" + p.Replica}})
	}
	for _, ev := range out.Events {
		if r, ok := ev.(router.ReplicaList); ok {
			l.replicaLists[name] = r.Instances
		}
		if q, ok := ev.(router.QuotaDecided); ok && l.decided != nil {
			l.decided(name, q)
		}
		if f, ok := ev.(router.Failures); ok && l.failures != nil {
			l.failures[name] = f
		}
	}
	for _, c := range out.Changes {
		l.changes = append(l.changes, name+" "+string(c.What))
	}
	for _, a := range out.Answers {
		l.answers[a.ID] = a
	}
}

func (l *lab) sendAll(name string, sends []Send) {
	for _, s := range sends {
		if _, ok := s.Msg.(gossip.Digest); ok {
			l.digests++
		}
		if l.sent != nil && l.sent(name, s.To, s.Msg) {
			continue
		}
		l.inFlight = append(l.inFlight, delivery{at: l.now + time.Millisecond, from: name, to: s.To, msg: s.Msg})
	}
}

func (l *lab) readList(name string) {
	l.lists[name]++
	r := ListRead{Rows: l.list}
	if l.listFails || slices.Contains(l.listFailsAt, name) {
		r = ListRead{Err: errors.New("list is unavailable")}
	}
	l.inFlight = append(l.inFlight, delivery{at: l.now + 2*time.Millisecond, to: name, msg: r})
}

func (l *lab) run(d time.Duration) {
	for until := l.now + d; l.now < until; l.now += time.Millisecond {
		due := l.inFlight
		l.inFlight = nil
		for _, p := range due {
			l.deliver(p)
		}
		if l.now%(50*time.Millisecond) == 0 {
			l.tick()
		}
	}
}

// deliver delivers a message or an input, or keeps it until it is due and its node is not frozen.
func (l *lab) deliver(p delivery) {
	in, local := p.msg.(Input)
	switch {
	case p.at > l.now || l.frozen[p.to]:
		l.inFlight = append(l.inFlight, p)
	case l.nodes[p.to] == nil || l.down[p.to] || l.down[p.from]:
	case l.cut != nil && p.from != "" && l.cut(p.from, p.to):
	case local:
		l.step(p.to, in)
	default:
		l.step(p.to, Received{From: p.from, Build: l.buildOf(p.from), Msg: p.msg})
	}
}

func (l *lab) tick() {
	for _, name := range l.order {
		if !l.down[name] && !l.frozen[name] {
			l.step(name, Tick{})
		}
	}
}

func (l *lab) call(at string, op Op) Answer {
	l.ids++
	id := l.ids
	l.step(at, Command{ID: id, Op: op})
	for range 6000 {
		l.run(time.Millisecond)
		if a, ok := l.answers[id]; ok {
			return a
		}
	}
	l.t.Fatalf("%s never answered %T", at, op)
	var a Answer
	return a
}

func (l *lab) write(at, text string) Answer {
	return l.call(at, Edit{ID: text, Apply: func([]byte) ([]byte, error) { return []byte(text), nil }})
}

func (l *lab) read(at string) string {
	a := l.call(at, Get{})
	if a.Err != nil {
		return a.Err.Error()
	}
	return string(a.Value.Document)
}

func (l *lab) wipe(name string) {
	l.ids++
	l.disks[name] = fmt.Sprint("disk-", name, "-", l.ids)
	l.down[name] = true
}
