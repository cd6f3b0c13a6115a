package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/router"
)

const (
	// probeInterval is the time between two probes of a replica, publishInterval the time between two publications of a zone's reports.
	probeInterval   = 250 * time.Millisecond
	publishInterval = time.Second
	// takeoverAfter is how long a zone may have no reports until other nodes request its lease.
	takeoverAfter = 2500 * time.Millisecond
	// probeWithoutLeaseAfter is how long a zone may have no reports until nodes probe its replicas without a lease.
	probeWithoutLeaseAfter = 4 * time.Second
	// missesUntilDown is the number of consecutive failed probes after which a replica counts as down.
	missesUntilDown = 2
)

// replicaRecord is the last load report of a replica. since is when its instance was first seen, at is when the report's figures were
// received, and misses is the number of consecutive failed probes.
type replicaRecord struct {
	row    router.LoadReport
	since  time.Duration
	at     time.Duration
	misses int
}

// zoneChecks is the state of the health checks of one zone's replicas. The holder of the zone's lease probes them and publishes reports.
type zoneChecks struct {
	// reported is when reports were last received, or published by this node.
	reported    workRecord
	probedAt    time.Duration
	publishedAt time.Duration
	// token is the newest lease token under which reports were made, packed into one number; seq numbers the reports under it.
	token, seq uint64
	// urgent is set if a replica went up, went down or began to drain since the last publication.
	urgent bool
}

// healthChecks are the health checks of replicas: active probes by the holders of the zones' leases, and observations of this node's own
// idle connections.
type healthChecks struct {
	*effects
	zones        map[string]*zoneChecks
	replicas     map[string]*replicaRecord
	observations map[string]*observation
	// startedAt is when this node was first able to run singleton roles; 0: not yet.
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

// check probes a zone's replicas under a lease token and reports whether their reports must be published. It does nothing if reports under
// a newer token have been seen.
func (h *healthChecks) check(now time.Duration, zone string, token uint64, replicas []config.Replica) bool {
	z := h.zone(zone)
	if token < z.token {
		return false
	}
	z.token = token
	if now-z.probedAt >= probeInterval {
		z.probedAt = now
		for _, r := range replicas {
			h.probeReplica(now, r)
		}
	}
	return now-z.publishedAt >= publishInterval || z.urgent
}

func (h *healthChecks) probeReplica(now time.Duration, r config.Replica) {
	if h.replicas[r.Name] == nil {
		h.replicas[r.Name] = &replicaRecord{since: now, row: router.LoadReport{Replica: r.Name, Down: true}}
	}
	h.probe(Probe{Replica: r.Name, Addr: r.Addr})
}

// reports returns a zone's load reports as of now. It omits replicas that have never responded and have not missed enough probes to count
// as down.
func (h *healthChecks) reports(now time.Duration, replicas []config.Replica) []router.LoadReport {
	var rows []router.LoadReport
	for _, r := range replicas {
		record := h.replicas[r.Name]
		if record == nil || (record.row.InstanceID == "" && record.misses < missesUntilDown) {
			continue
		}
		row := record.row
		row.Lag += now - record.at
		row.Age = now - record.since
		rows = append(rows, row)
	}
	return rows
}

// markPublished records that a zone's reports are published and returns their version.
func (h *healthChecks) markPublished(now time.Duration, zone string) gossip.Version {
	z := h.zone(zone)
	z.publishedAt, z.urgent = now, false
	z.seq++
	return gossip.Version{Hi: z.token, Lo: z.seq}
}

// onReports records a zone's reports; local is set if this node published them.
func (h *healthChecks) onReports(now time.Duration, version gossip.Version, reports LoadReports, local bool) {
	z := h.zone(reports.Zone)
	z.reported.done(now, !reports.Unleased)
	z.token, z.seq = max(z.token, version.Hi), version.Lo
	if local {
		return
	}
	for _, row := range reports.Rows {
		h.replicas[row.Replica] = &replicaRecord{row: row, since: now - row.Age, at: now}
	}
}

// onProbed records the outcome of a probe of a replica in a zone.
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
	if before.InstanceID != row.InstanceID || before.Down != row.Down || before.Leaving != row.Leaving || (row.Down && record.misses == missesUntilDown) {
		h.zone(zone).urgent = true
	}
}

func (r *replicaRecord) missed() {
	r.misses++
	if r.misses >= missesUntilDown {
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
