package control

import (
	"slices"
	"sort"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/lease"
)

// runSingletonRoles runs the roles that only one node has at a time, if this node has the lease or may request it.
func (n *Node) runSingletonRoles(now time.Duration) {
	if !n.mayLead(now) {
		return
	}
	if n.health.startedAt == 0 {
		n.health.startedAt = now
	}
	for _, zone := range n.zones() {
		n.checkZone(now, zone)
	}
	n.maintainVoters(now)
}

// checksRole is the checking of a zone's replicas. If two nodes do it at once, the reports under the newer token replace the others.
func checksRole(zone string) leasedRole {
	return leasedRole{
		work:       singletonRole{name: "probe/" + zone, zone: zone, turn: publishInterval},
		leaseAfter: takeoverAfter, workAfter: probeWithoutLeaseAfter,
	}
}

// checkZone checks a zone's replicas if that is this node's right.
func (n *Node) checkZone(now time.Duration, zone string) {
	z := n.health.zone(zone)
	right, token := n.seekRole(now, checksRole(zone), z.reported, n.health.startedAt)
	switch right {
	case byLease:
		n.checkReplicas(now, zone, packToken(token), true)
	case byTurn:
		n.checkReplicas(now, zone, z.token, false)
	}
}

func packToken(t lease.Token) uint64 { return t.Epoch<<32 | t.Number&0xffffffff }

// checkReplicas probes a zone's replicas and publishes reports when they are due; leased is whether that is under a lease with the token.
func (n *Node) checkReplicas(now time.Duration, zone string, token uint64, leased bool) {
	replicas := n.replicasIn(zone)
	if !n.health.check(now, zone, token, replicas) {
		return
	}
	reports := LoadReports{Zone: zone, By: n.config.Name, Urgent: n.health.zone(zone).urgent, Rows: n.health.reports(now, replicas), Unleased: !leased}
	if len(reports.Rows) == 0 {
		return
	}
	item := gossip.Item{Key: "u/" + zone, Version: n.health.markPublished(now, zone), Data: reports}
	if n.Gossip.Put(item) {
		n.onLoadReports(now, item.Version, reports)
	}
}

func (n *Node) onLoadReports(now time.Duration, version gossip.Version, reports LoadReports) {
	n.health.onReports(now, version, reports, reports.By == n.config.Name)
	n.forwardLoadReports(now, reports)
}

func (n *Node) forwardLoadReports(now time.Duration, reports LoadReports) {
	for _, row := range reports.Rows {
		if n.health.accepts(now, row, n.replicasByName[row.Replica].Addr) {
			n.emit(row)
		}
	}
}

func (n *Node) onProbed(now time.Duration, p Probed) {
	switch {
	case p.Local && p.OK:
		n.health.observe(now, ConnectionChange{State: ConnectionUp, Probed: p})
	case p.Local:
		n.health.observe(now, ConnectionChange{State: ConnectionClosed, Probed: p})
	case n.snapshot != nil:
		n.health.onProbed(now, p, n.replicasByName[p.Replica].Zone)
	}
}

// zones returns the zones of the replicas in the operators' document, sorted.
func (n *Node) zones() []string {
	if n.snapshot == nil {
		return nil
	}
	var zones []string
	for _, service := range n.snapshot.Config.Services {
		for _, r := range service.Replicas {
			if !slices.Contains(zones, r.Zone) {
				zones = append(zones, r.Zone)
			}
		}
	}
	sort.Strings(zones)
	return zones
}

func (n *Node) replicasIn(zone string) []config.Replica {
	var replicas []config.Replica
	for _, service := range n.snapshot.Config.Services {
		for _, r := range service.Replicas {
			if r.Zone == zone {
				replicas = append(replicas, r)
			}
		}
	}
	return replicas
}

// KnowsZone reports whether a zone appears in the operators' document, in the member table or among the evacuated zones.
func (n *Node) KnowsZone(zone string) bool {
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
