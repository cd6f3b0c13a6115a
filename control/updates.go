package control

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/router"
)

func (n *Node) onUpdate(now time.Duration, from string, m gossip.Update) {
	n.mergeItems(now, from, m.Items)
	n.joining.neighboursRead[from] = true
}

func (n *Node) mergeItems(now time.Duration, from string, items []gossip.Item) {
	near := n.near(from)
	for _, it := range items {
		if !n.Gossip.Merge(it, near) {
			continue
		}
		n.applyItem(now, it)
	}
}

// near reports whether the node at addr is in this node's zone, or is not a known member.
func (n *Node) near(addr string) bool {
	for _, m := range n.Members.Table.All() {
		if m.Addr == addr {
			return m.Zone == n.config.Zone
		}
	}
	return true
}

func (n *Node) applyItem(now time.Duration, it gossip.Item) {
	switch d := it.Data.(type) {
	case membership.Member:
		d.State = membership.State(it.Version.Lo)
		n.Members.Merge(now, d)
	case *register.Value:
		if d.Complete() {
			n.learnValue(now, d)
		}
	case LoadReports:
		n.onLoadReports(now, it.Version, d)
	case ReplicaState:
		n.onReplicaState(now, it.Version, d)
	case ReplicaListItem:
		n.onReplicaListItem(d)
	case ListConfirmation:
		n.onListConfirmation(now, d)
	case Failures:
		n.onFailures(d)
	}
}

func (n *Node) publishMembers(now time.Duration) {
	for _, m := range n.Members.TakeChanges() {
		n.Gossip.Put(gossip.Item{Key: "m/" + m.Name, Version: gossip.Version{Hi: m.Incarnation, Lo: uint64(m.State)}, Data: m})
		if m.Name != n.config.Name {
			n.logChange(ChangeKind("member "+m.State.String()), m.Name)
		}
	}
	n.publishRouters(now)
}

func (n *Node) publishRouters(now time.Duration) {
	if n.joining.servesFrom == 0 && n.joining.joined {
		n.joining.servesFrom = now + joinDelay
	}
	cache := n.cachedMembers()
	if cache.routersPublished && cache.joined == n.joining.joined {
		return
	}
	cache.routersPublished, cache.joined = true, n.joining.joined
	var names, zones []string
	for _, m := range n.Members.Table.All() {
		if !m.Live() || (m.Name == n.config.Name && !n.joining.joined) {
			continue
		}
		names, zones = append(names, m.Name), append(zones, m.Zone)
		for i := range m.EmbeddedRouters {
			names, zones = append(names, m.Name+"#"+strconv.Itoa(i+1)), append(zones, m.Zone)
		}
	}
	if key := strings.Join(names, ","); key != n.serving.routers {
		n.serving.routers = key
		n.emit(router.Routers{Names: names, Zones: zones})
	}
}

func (n *Node) learnValue(now time.Duration, v *register.Value) {
	if !v.Newer(n.value) {
		return
	}
	c, err := n.config.Read(v.Document)
	if err != nil && len(v.Document) > 0 {
		n.logChange(ChangeConfigurationRejected, err.Error())
		return
	}
	old := n.value
	n.value = v
	n.proposer.LearnChosen(v)
	n.Gossip.Put(gossip.Item{Key: "c", Version: gossip.Version{Hi: v.Version, Lo: v.Epoch}, Data: v})
	if old == nil || !register.SameVoters(old, v) {
		n.logChange(ChangeVoters, fmt.Sprintf("%v, next %v", v.Voters, v.NextVoters))
	}
	if len(v.Document) > 0 {
		n.snapshot = &config.Snapshot{Version: v.Version, Config: c, EvacuatedZones: v.EvacuatedZones}
		n.replicasByName = map[string]config.Replica{}
		for _, o := range c.Services {
			for _, r := range o.Replicas {
				n.replicasByName[r.Name] = r
			}
		}
	}
	n.applySnapshot(now)
}

func (n *Node) applySnapshot(now time.Duration) {
	if !n.joining.joined || n.snapshot == nil || n.snapshot.Version <= n.applied {
		return
	}
	n.applied = n.snapshot.Version
	n.logChange(ChangeConfigurationApplied, fmt.Sprintf("version %d", n.applied))
	n.quotas.applyQuotas(now, n.snapshot.Config.Tenants)
	n.emit(router.SnapshotUpdate{Snapshot: n.snapshot})
	n.replayGossip(now)
}

// replayGossip emits the gossiped states and load reports of the replicas in the newly applied snapshot.
func (n *Node) replayGossip(now time.Duration) {
	for _, service := range n.snapshot.Config.Services {
		for _, r := range service.Replicas {
			if state, ok := gossiped[ReplicaState](n, "p/"+r.Name); ok {
				n.emit(router.Listing{Replica: state.Replica, State: state.State})
			}
		}
	}
	for _, zone := range n.zones() {
		if reports, ok := gossiped[LoadReports](n, "u/"+zone); ok {
			n.forwardLoadReports(now, reports)
		}
	}
}

// gossiped returns the data of the gossip item under a key, if it has that type.
func gossiped[Data any](n *Node, key string) (Data, bool) {
	item, _ := n.Gossip.Get(key)
	data, ok := item.Data.(Data)
	return data, ok
}
