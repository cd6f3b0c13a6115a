package control

import (
	"slices"
	"sort"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/membership"
)

// runSingletonRoles runs the roles that only one node has at a time, if this node has the lease or may request it.
func (n *Node) runSingletonRoles(now time.Duration) {
	if !n.joining.joined || n.value == nil || n.serving.leaving || n.Members.Isolated(now) {
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

// checkZone checks a zone's replicas if this node has the zone's lease. If there have been no reports on the zone for takeoverAfter, the
// first node in rank requests the lease; after probeWithoutLeaseAfter, it checks the replicas without one.
func (n *Node) checkZone(now time.Duration, zone string) {
	role := "probe/" + zone
	token, holds := n.leases.Holds(now, role)
	overdue := n.health.sinceLastReports(now, zone)
	never := n.health.zone(zone).reportedAt == 0
	if holds || ((never || overdue > takeoverAfter) && n.ranksFirst(role, zone)) {
		n.sendToGrantors(n.leases.Acquire(now, role, n.value))
	}
	switch {
	case holds:
		n.checkReplicas(now, zone, packToken(token))
	case overdue > probeWithoutLeaseAfter && n.ranksFirst(role, zone):
		n.checkReplicas(now, zone, n.health.zone(zone).token)
	}
}

func packToken(t lease.Token) uint64 { return t.Epoch<<32 | t.Number&0xffffffff }

func (n *Node) checkReplicas(now time.Duration, zone string, token uint64) {
	replicas := n.replicasIn(zone)
	if !n.health.check(now, zone, token, replicas) {
		return
	}
	reports := LoadReports{Zone: zone, By: n.config.Name, Urgent: n.health.zone(zone).urgent, Rows: n.health.reports(now, replicas)}
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

// ranksFirst reports whether this node ranks first for a role: among the alive members of the zone if there are any, otherwise among all
// alive members.
func (n *Node) ranksFirst(role, zone string) bool {
	near := false
	for _, m := range n.Members.Table.All() {
		near = near || (m.State == membership.Alive && m.Zone == zone)
	}
	kind := "all/"
	if near {
		kind = "near/" + zone + "/"
	}
	return n.rankAmong(kind, role, func(m membership.Member) bool {
		return m.State == membership.Alive && (!near || m.Zone == zone)
	}) == 0
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
