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
	// probeEvery is the time between two probes of a replica, publishEvery that between two publications of a zone's reports.
	probeEvery   = 250 * time.Millisecond
	publishEvery = time.Second
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
	reportedAt      map[string]time.Duration
	token           map[string]uint64
	seq             map[string]uint64
	probed          map[string]time.Duration
	publishedAt     map[string]time.Duration
	urgent          map[string]bool
	replicas        map[string]*replicaRecord
	lostSince       map[string]time.Duration
	started         time.Duration
	votersChangedAt time.Duration
}

func newTasks() tasks {
	return tasks{
		reportedAt: map[string]time.Duration{}, token: map[string]uint64{}, seq: map[string]uint64{}, probed: map[string]time.Duration{},
		publishedAt: map[string]time.Duration{}, urgent: map[string]bool{}, replicas: map[string]*replicaRecord{}, lostSince: map[string]time.Duration{},
	}
}

func (n *Node) zones() []string {
	if n.snapshot == nil {
		return nil
	}
	var ds []string
	for _, o := range n.snapshot.Config.Services {
		for _, r := range o.Replicas {
			if !slices.Contains(ds, r.Zone) {
				ds = append(ds, r.Zone)
			}
		}
	}
	sort.Strings(ds)
	return ds
}

func (n *Node) ranksFirst(role, zone string) bool {
	near := false
	for _, m := range n.Members.Table.All() {
		near = near || (m.State == membership.Alive && m.Zone == zone)
	}
	kind := "all/"
	if near {
		kind = "near/" + zone + "/"
	}
	return n.place(kind, role, func(m membership.Member) bool {
		return m.State == membership.Alive && (!near || m.Zone == zone)
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
		n.probeRole(now, d)
	}
	n.maintainVoters(now)
}

func (n *Node) probeRole(now time.Duration, zone string) {
	role := "probe/" + zone
	version, ok := n.leases.Holds(now, role)
	overdue := now - max(n.tasks.reportedAt[zone], n.tasks.started)
	fresh := n.tasks.reportedAt[zone] == 0
	if ok || ((fresh || overdue > takeoverAfter) && n.ranksFirst(role, zone)) {
		n.sendToGrantors(n.leases.Acquire(now, role, n.value))
	}
	if !ok && overdue > probeWithoutLeaseAfter && n.ranksFirst(role, zone) {
		n.probe(now, zone, n.tasks.token[zone])
		return
	}
	if ok {
		n.probe(now, zone, packToken(version))
	}
}

func packToken(m lease.Token) uint64 { return m.Epoch<<32 | m.Number&0xffffffff }

func (n *Node) probe(now time.Duration, zone string, hi uint64) {
	if hi < n.tasks.token[zone] {
		return
	}
	n.tasks.token[zone] = hi
	if now-n.tasks.probed[zone] >= probeEvery {
		n.tasks.probed[zone] = now
		n.eachReplica(zone, func(name, addr string) {
			if n.tasks.replicas[name] == nil {
				n.tasks.replicas[name] = &replicaRecord{since: now, row: mallowbridge.LoadReport{Replica: name, Down: true}}
			}
			n.out.Probes = append(n.out.Probes, Probe{Replica: name, Addr: addr})
		})
	}
	if now-n.tasks.publishedAt[zone] < publishEvery && !n.tasks.urgent[zone] {
		return
	}
	n.publish(now, zone, hi)
}

func (n *Node) eachReplica(zone string, act func(name, addr string)) {
	for _, o := range n.snapshot.Config.Services {
		for _, r := range o.Replicas {
			if r.Zone == zone {
				act(r.Name, r.Addr)
			}
		}
	}
}

func (n *Node) publish(now time.Duration, zone string, hi uint64) {
	u := LoadReports{Zone: zone, By: n.config.Name, Urgent: n.tasks.urgent[zone]}
	n.eachReplica(zone, func(name, _ string) {
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
	n.tasks.publishedAt[zone], n.tasks.urgent[zone] = now, false
	n.tasks.seq[zone]++
	it := gossip.Item{Key: "u/" + zone, Version: gossip.Version{Hi: hi, Lo: n.tasks.seq[zone]}, Data: u}
	if n.Gossip.Put(it) {
		n.onLoadReports(now, it.Version, u)
	}
}

func (n *Node) onLoadReports(now time.Duration, m gossip.Version, u LoadReports) {
	n.tasks.reportedAt[u.Zone] = now
	n.tasks.token[u.Zone] = max(n.tasks.token[u.Zone], m.Hi)
	n.tasks.seq[u.Zone] = m.Lo
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
	if p.Local {
		n.observe(now, Observation{State: map[bool]ConnectionState{true: Up, false: Closed}[p.OK], Probed: p})
		return
	}
	w := n.tasks.replicas[p.Replica]
	if w == nil || n.snapshot == nil {
		return
	}
	zone := n.replicasByName[p.Replica].Zone
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
		w.row = mallowbridge.LoadReport{Replica: p.Replica, InstanceID: p.InstanceID, Running: p.Running, Leaving: p.Draining, Lag: p.Lag}
	}
	if was.InstanceID != w.row.InstanceID || was.Down != w.row.Down || was.Leaving != w.row.Leaving || (w.row.Down && w.misses == missesDown) {
		n.tasks.urgent[zone] = true
	}
}

// Knows says whether a zone is known: by the document, by a member in it, or as evacuated.
func (n *Node) Knows(zone string) bool {
	if n.value != nil && slices.Contains(n.value.EvacuatedZones, zone) || slices.Contains(n.zones(), zone) {
		return true
	}
	for _, m := range n.Members.Table.All() {
		if m.Zone == zone {
			return true
		}
	}
	return false
}
