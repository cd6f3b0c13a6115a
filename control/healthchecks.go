package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/router"
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
	row    router.LoadReport
	since  time.Duration
	at     time.Duration
	misses int
}

// zoneChecks is the state of the health checks of one zone's replicas. The holder of the zone's lease probes them and publishes reports.
type zoneChecks struct {
	// reportedAt is when reports were last received or published here; 0: never.
	reportedAt  time.Duration
	probedAt    time.Duration
	publishedAt time.Duration
	// token is the newest lease token under which reports were made, packed; seq numbers the reports under it.
	token, seq uint64
	// urgent: a replica went up, down or began to drain since the last publication.
	urgent bool
}

// healthChecks are the health checks of replicas: active ones by the holders of the zones' leases, and what this node's own idle
// connections show.
type healthChecks struct {
	*effects
	zones        map[string]*zoneChecks
	replicas     map[string]*replicaRecord
	observations map[string]*observation
	// startedAt is when this node was first able to take part; 0: not yet.
	startedAt time.Duration
}

func newHealthChecks(e *effects) healthChecks {
	return healthChecks{effects: e, zones: map[string]*zoneChecks{}, replicas: map[string]*replicaRecord{}, observations: map[string]*observation{}}
}

func (h *healthChecks) zone(name string) *zoneChecks {
	zone := h.zones[name]
	if zone == nil {
		zone = &zoneChecks{}
		h.zones[name] = zone
	}
	return zone
}

// overdue is how long ago a zone's last reports came, or this node started.
func (h *healthChecks) overdue(now time.Duration, zone string) time.Duration {
	return now - max(h.zone(zone).reportedAt, h.startedAt)
}

// check probes a zone's replicas under a lease token, and tells whether reports are to be published. An older token than one that reports
// were seen under has no effect.
func (h *healthChecks) check(now time.Duration, zone string, token uint64, replicas []config.Replica) bool {
	z := h.zone(zone)
	if token < z.token {
		return false
	}
	z.token = token
	if now-z.probedAt >= probeEvery {
		z.probedAt = now
		for _, r := range replicas {
			h.probeReplica(now, r)
		}
	}
	return now-z.publishedAt >= publishEvery || z.urgent
}

func (h *healthChecks) probeReplica(now time.Duration, r config.Replica) {
	if h.replicas[r.Name] == nil {
		h.replicas[r.Name] = &replicaRecord{since: now, row: router.LoadReport{Replica: r.Name, Down: true}}
	}
	h.probe(Probe{Replica: r.Name, Addr: r.Addr})
}

// reports are a zone's load reports as of now, without replicas that have not answered yet and may.
func (h *healthChecks) reports(now time.Duration, replicas []config.Replica) []router.LoadReport {
	var rows []router.LoadReport
	for _, r := range replicas {
		record := h.replicas[r.Name]
		if record == nil || (record.row.InstanceID == "" && record.misses < missesDown) {
			continue
		}
		row := record.row
		row.Lag += now - record.at
		row.Age = now - record.since
		rows = append(rows, row)
	}
	return rows
}

// published notes that reports of a zone go out, and numbers them.
func (h *healthChecks) published(now time.Duration, zone string) gossip.Version {
	z := h.zone(zone)
	z.publishedAt, z.urgent = now, false
	z.seq++
	return gossip.Version{Hi: z.token, Lo: z.seq}
}

// onReports takes in a zone's reports, published here where local is set.
func (h *healthChecks) onReports(now time.Duration, version gossip.Version, reports LoadReports, local bool) {
	z := h.zone(reports.Zone)
	z.reportedAt, z.token, z.seq = now, max(z.token, version.Hi), version.Lo
	if local {
		return
	}
	for _, row := range reports.Rows {
		h.replicas[row.Replica] = &replicaRecord{row: row, since: now - row.Age, at: now}
	}
}

// onProbed takes in the outcome of a probe of a replica in a zone.
func (h *healthChecks) onProbed(now time.Duration, p Probed, zone string) {
	record := h.replicas[p.Replica]
	if record == nil {
		return
	}
	before := record.row
	if p.OK {
		record.answered(now, p)
	} else {
		record.missed()
	}
	row := record.row
	if before.InstanceID != row.InstanceID || before.Down != row.Down || before.Leaving != row.Leaving || (row.Down && record.misses == missesDown) {
		h.zone(zone).urgent = true
	}
}

func (r *replicaRecord) missed() {
	r.misses++
	if r.misses >= missesDown {
		r.row.Down = true
	}
}

func (r *replicaRecord) answered(now time.Duration, p Probed) {
	if r.row.InstanceID != p.InstanceID || r.row.Down {
		r.since = now
	}
	r.misses, r.at = 0, now
	r.row = router.LoadReport{Replica: p.Replica, InstanceID: p.InstanceID, Running: p.Running, Leaving: p.Draining, Lag: p.Lag}
}
