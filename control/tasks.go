package control

import (
	"slices"
	"sort"
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/membership"
)

const (
	// probeEvery is the time between two probes of a replica, shareEvery that between two publications of a zone's reports.
	probeEvery = 250 * time.Millisecond
	shareEvery = time.Second
	// takeoverAfter is how long a zone may be without reports until another node asks for its lease.
	takeoverAfter = 2500 * time.Millisecond
	// probeWithoutLeaseAfter is how long it may be without them until the first by rank probes without a lease.
	probeWithoutLeaseAfter = 4 * time.Second
	// missesDown is how many probes in a row a replica misses until it counts as down.
	missesDown = 2
)

// replicaRecord is the last load report of a replica, and how many probes in a row it missed.
type replicaRecord struct {
	row    mallowbridge.LoadReport
	since  time.Duration
	at     time.Duration
	misses int
}

// tasks is the state of the duties that nodes share out by lease: per zone when load reports were received, probed and published, and the
// token of the lease that they were made under.
type tasks struct {
	receivedAt      map[string]time.Duration
	token           map[string]uint64
	seq             map[string]uint64
	probed          map[string]time.Duration
	shared          map[string]time.Duration
	urgent          map[string]bool
	replicas        map[string]*replicaRecord
	lostSince       map[string]time.Duration
	started         time.Duration
	votersChangedAt time.Duration
}

func newTasks() tasks {
	return tasks{
		receivedAt: map[string]time.Duration{}, token: map[string]uint64{}, seq: map[string]uint64{}, probed: map[string]time.Duration{},
		shared: map[string]time.Duration{}, urgent: map[string]bool{}, replicas: map[string]*replicaRecord{}, lostSince: map[string]time.Duration{},
	}
}

func (n *Node) zones() []string {
	if n.snapshot == nil {
		return nil
	}
	var ds []string
	for _, o := range n.snapshot.Charter.Offers {
		for _, r := range o.Replicas {
			if !slices.Contains(ds, r.Domain) {
				ds = append(ds, r.Domain)
			}
		}
	}
	sort.Strings(ds)
	return ds
}

func (n *Node) ranksFirst(duty, domain string) bool {
	near := false
	for _, m := range n.Members.Table.All() {
		near = near || (m.State == membership.Alive && m.Domain == domain)
	}
	kind := "all/"
	if near {
		kind = "near/" + domain + "/"
	}
	return n.place(kind, duty, func(m membership.Member) bool {
		return m.State == membership.Alive && (!near || m.Domain == domain)
	}) == 0
}

func (n *Node) runTasks(now time.Duration) {
	if !n.joined || n.value == nil || n.leaving || n.Members.Isolated(now) {
		return
	}
	if n.tasks.started == 0 {
		n.tasks.started = now
	}
	for _, d := range n.zones() {
		n.probeDuty(now, d)
	}
	n.maintainVoters(now)
}

func (n *Node) probeDuty(now time.Duration, domain string) {
	duty := "probe/" + domain
	mark, ok := n.leases.Holds(now, duty)
	silent := now - max(n.tasks.receivedAt[domain], n.tasks.started)
	fresh := n.tasks.receivedAt[domain] == 0
	if ok || ((fresh || silent > takeoverAfter) && n.ranksFirst(duty, domain)) {
		n.sendToGrantors(n.leases.Acquire(now, duty, n.value))
	}
	if !ok && silent > probeWithoutLeaseAfter && n.ranksFirst(duty, domain) {
		n.probe(now, domain, n.tasks.token[domain])
		return
	}
	if ok {
		n.probe(now, domain, packToken(mark))
	}
}

func packToken(m lease.Token) uint64 { return m.Seat<<32 | m.N&0xffffffff }

func (n *Node) probe(now time.Duration, domain string, hi uint64) {
	if hi < n.tasks.token[domain] {
		return
	}
	n.tasks.token[domain] = hi
	if now-n.tasks.probed[domain] >= probeEvery {
		n.tasks.probed[domain] = now
		n.eachReplica(domain, func(name, addr string) {
			if n.tasks.replicas[name] == nil {
				n.tasks.replicas[name] = &replicaRecord{since: now, row: mallowbridge.LoadReport{Replica: name, Down: true}}
			}
			n.out.Probes = append(n.out.Probes, Probe{Replica: name, Addr: addr})
		})
	}
	if now-n.tasks.shared[domain] < shareEvery && !n.tasks.urgent[domain] {
		return
	}
	n.publish(now, domain, hi)
}

func (n *Node) eachReplica(domain string, act func(name, addr string)) {
	for _, o := range n.snapshot.Charter.Offers {
		for _, r := range o.Replicas {
			if r.Domain == domain {
				act(r.Name, r.Addr)
			}
		}
	}
}

func (n *Node) publish(now time.Duration, domain string, hi uint64) {
	u := LoadReports{Domain: domain, By: n.config.Name, Urgent: n.tasks.urgent[domain]}
	n.eachReplica(domain, func(name, _ string) {
		w := n.tasks.replicas[name]
		if w == nil || (w.row.InstanceID == "" && w.misses < missesDown) {
			return
		}
		row := w.row
		row.Lag += now - w.at
		row.Age = now - w.since
		u.Rows = append(u.Rows, row)
	})
	if len(u.Rows) == 0 {
		return
	}
	n.tasks.shared[domain], n.tasks.urgent[domain] = now, false
	n.tasks.seq[domain]++
	it := gossip.Item{Key: "u/" + domain, Mark: gossip.Version{Hi: hi, Lo: n.tasks.seq[domain]}, Data: u}
	if n.Gossip.Put(it) {
		n.onLoadReports(now, it.Mark, u)
	}
}

func (n *Node) onLoadReports(now time.Duration, m gossip.Version, u LoadReports) {
	n.tasks.receivedAt[u.Domain] = now
	n.tasks.token[u.Domain] = max(n.tasks.token[u.Domain], m.Hi)
	n.tasks.seq[u.Domain] = m.Lo
	if u.By != n.config.Name {
		for _, r := range u.Rows {
			n.tasks.replicas[r.Replica] = &replicaRecord{row: r, since: now - r.Age, at: now}
		}
	}
	n.forwardLoadReports(now, u)
}

func (n *Node) forwardLoadReports(now time.Duration, u LoadReports) {
	for _, r := range u.Rows {
		if n.acceptsReport(now, r) {
			n.emit(r)
		}
	}
}

func (n *Node) onProbed(now time.Duration, p Probed) {
	if p.Own {
		n.observe(now, Observation{State: map[bool]ConnectionState{true: Up, false: Closed}[p.OK], Probed: p})
		return
	}
	w := n.tasks.replicas[p.Replica]
	if w == nil || n.snapshot == nil {
		return
	}
	domain := n.replicasByName[p.Replica].Domain
	was := w.row
	if !p.OK {
		w.misses++
		if w.misses >= missesDown {
			w.row.Down = true
		}
	} else {
		if w.row.InstanceID != p.InstanceID || w.row.Down {
			w.since = now
		}
		w.misses, w.at = 0, now
		w.row = mallowbridge.LoadReport{Replica: p.Replica, InstanceID: p.InstanceID, Running: p.Running, Leaving: p.Leaving, Lag: p.Lag}
	}
	if was.InstanceID != w.row.InstanceID || was.Down != w.row.Down || was.Leaving != w.row.Leaving || (w.row.Down && w.misses == missesDown) {
		n.tasks.urgent[domain] = true
	}
}

// Knows says whether a zone is known: by the document, by a member in it, or as evacuated.
func (n *Node) Knows(domain string) bool {
	if n.value != nil && slices.Contains(n.value.Emptied, domain) || slices.Contains(n.zones(), domain) {
		return true
	}
	for _, m := range n.Members.Table.All() {
		if m.Domain == domain {
			return true
		}
	}
	return false
}
