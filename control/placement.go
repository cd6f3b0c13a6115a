package control

import (
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

// memberCache contains values computed from the member table alone. They are kept until the table changes, because every tick of every node
// reads them.
type memberCache struct {
	// rev is the revision of the member table that the values were computed from.
	rev uint64
	// ranks caches the results of rankAmong by kind and role.
	ranks map[string]int
	peers []gossip.Peer
	// routersPublished is set once the routers of these members have been published; joined is whether this node had joined then.
	joined           bool
	routersPublished bool
}

// notEligible is the result of rankAmong on a node that is not eligible itself.
const notEligible = -1

func (n *Node) cachedMembers() *memberCache {
	if rev := n.Members.Table.Generation(); n.memberCache.ranks == nil || n.memberCache.rev != rev {
		n.memberCache = memberCache{rev: rev, ranks: map[string]int{}}
	}
	return &n.memberCache
}

// rankAmong returns the number of eligible members that come before this node in the ranking for a role, or notEligible. kind identifies
// the condition eligible in the cache.
func (n *Node) rankAmong(kind, role string, eligible func(m membership.Member) bool) int {
	cache := n.cachedMembers()
	before, ok := cache.ranks[kind+role]
	if ok {
		return before
	}
	weight, found := scheduler.RendezvousWeight(role, n.config.Name), false
	for _, m := range n.Members.Table.All() {
		if !eligible(m) {
			continue
		}
		if m.Name == n.config.Name {
			found = true
			continue
		}
		if w := scheduler.RendezvousWeight(role, m.Name); w > weight || (w == weight && m.Name < n.config.Name) {
			before++
		}
	}
	if !found {
		before = notEligible
	}
	cache.ranks[kind+role] = before
	return before
}
