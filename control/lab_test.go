package control

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/router"
)

type parcel struct {
	at   time.Duration
	from string
	to   string
	msg  any
}

// A lab runs whole nodes in one process: three zones where nothing else is said, the first three nodes are the seeds.
type lab struct {
	t     *testing.T
	now   time.Duration
	nodes map[string]*Node
	order []string
	disks map[string]string
	down  map[string]bool
	// cut tells which ways carry nothing; nil: none is cut.
	cut     func(from, to string) bool
	mail    []parcel
	answers map[uint64]Answer
	ids     uint64
	list    []router.Instance
	listBad bool
	lists   map[string]int
	rosters map[string][]router.Instance
	changes []string
	// failures are the last ones each node heard of, versions the lists of versions sent.
	failures map[string]router.Failures
	digests  int
	// frozen nodes take nothing; what is sent to them waits until they wake.
	frozen map[string]bool
	// zones and tolerate are those of every node.
	zones    int
	tolerate int
	// sent sees each message, and tells whether it is lost; builds are those of nodes that run another one.
	sent   func(from, to string, msg any) bool
	builds map[string]uint32
	// journals keep the disks' state as the daemon does, where a test wants it.
	journals map[string]*Journal
	// decided sees what becomes of requests for tenants' quotas.
	decided func(name string, q router.QuotaDecided)
	folders map[string]*memory
	// seeds are those of nodes that start; nil: the first three nodes.
	seeds []string
}

func newLab(t *testing.T, size int) *lab {
	return newSizedLab(t, fleetShape{nodes: size, zones: 3, disks: 4, tolerate: 1}, 0)
}

// newSizedLab has the nodes of the shape over its zones in turn; another seed draws everything else anew.
func newSizedLab(t *testing.T, shape fleetShape, seed uint64) *lab {
	l := &lab{t: t, zones: shape.zones, tolerate: shape.tolerate, ids: seed << 20, nodes: map[string]*Node{}, disks: map[string]string{}, down: map[string]bool{}, answers: map[uint64]Answer{}, lists: map[string]int{}, rosters: map[string][]router.Instance{}, builds: map[string]uint32{}}
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
		Name: name, Addr: name, Boot: fmt.Sprint(l.ids), Zone: fmt.Sprint(at % l.zones), Incarnation: l.ids << 20, Seed: l.ids, Seeds: l.startSeeds(),
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
		l.mail = append(l.mail, parcel{at: l.now + 3*time.Millisecond, to: name, msg: Persisted{Seq: out.Writes[n-1].Seq}})
	}
	if out.ReadReplicaList {
		l.readList(name)
	}
	for _, ev := range out.Events {
		if r, ok := ev.(router.ReplicaList); ok {
			l.rosters[name] = r.Instances
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
		l.mail = append(l.mail, parcel{at: l.now + time.Millisecond, from: name, to: s.To, msg: s.Msg})
	}
}

func (l *lab) readList(name string) {
	l.lists[name]++
	r := ListRead{Rows: l.list}
	if l.listBad {
		r = ListRead{Err: errors.New("list is down")}
	}
	l.mail = append(l.mail, parcel{at: l.now + 2*time.Millisecond, to: name, msg: r})
}

func (l *lab) run(d time.Duration) {
	for until := l.now + d; l.now < until; l.now += time.Millisecond {
		due := l.mail
		l.mail = nil
		for _, p := range due {
			l.deliver(p)
		}
		if l.now%(50*time.Millisecond) == 0 {
			l.tick()
		}
	}
}

// deliver hands a message or an input in, or keeps it until its time has come and its node has thawed.
func (l *lab) deliver(p parcel) {
	in, local := p.msg.(Input)
	switch {
	case p.at > l.now || l.frozen[p.to]:
		l.mail = append(l.mail, p)
	case l.nodes[p.to] == nil || l.down[p.to] || l.down[p.from]:
	case l.cut != nil && p.from != "" && l.cut(p.from, p.to):
	case local:
		l.step(p.to, in)
	default:
		l.step(p.to, Received{From: p.from, Build: l.speaks(p.from), Msg: p.msg})
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
