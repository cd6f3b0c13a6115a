package control

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

// singletonRole is work that one node does for all others. Alive members take turns at it in the order of their rank while it is due. That a
// member is alive, because some member reaches it, does not imply that it reaches what the work needs: then the next member's turn follows.
type singletonRole struct {
	name string
	// zone, if not empty, is the zone whose members rank before all others.
	zone string
	// voters means that voters rank before other members, because the work needs a majority of them.
	voters bool
	// turn is how long a member's turn lasts.
	turn time.Duration
}

// position is a node's position among the alive members in the order of their turns, and the number of these members.
type position struct{ rank, members int }

// memberCache contains values computed from the member table and the voters alone. They are kept until these change, because every tick of
// every node reads them.
type memberCache struct {
	// generation is that of the member table, epoch that of the voters from which the values were computed.
	generation, epoch uint64
	// positions are this node's positions by the role's name.
	positions map[string]position
	peers     []gossip.Peer
	// routersPublished is set once the routers of these members have been published; joined is whether this node had joined then.
	joined           bool
	routersPublished bool
}

func (n *Node) cachedMembers() *memberCache {
	generation, epoch := n.Members.Table.Generation(), uint64(0)
	if n.value != nil {
		epoch = n.value.Epoch
	}
	if c := &n.memberCache; c.positions == nil || c.generation != generation || c.epoch != epoch {
		n.memberCache = memberCache{generation: generation, epoch: epoch, positions: map[string]position{}}
	}
	return &n.memberCache
}

// hasTurn reports whether it is this node's turn at a role whose work has been due for some time. Turns start over after the last member. Due
// times are measured by each node, so two nodes may have a turn at once, and the role's work must allow that. An isolated node has nobody to
// wait for.
func (n *Node) hasTurn(now time.Duration, role singletonRole, due time.Duration) bool {
	if due < 0 || n.Members.Isolated(now) {
		return due >= 0
	}
	p := n.position(role)
	return p.members > 0 && int(due/role.turn)%p.members == p.rank
}

// ranksFirst reports whether the first turn at a role is this node's.
func (n *Node) ranksFirst(role singletonRole) bool { return n.position(role).rank == 0 }

// position returns this node's position in the order of turns at a role.
func (n *Node) position(role singletonRole) position {
	cache := n.cachedMembers()
	p, ok := cache.positions[role.name]
	if !ok {
		order := n.turnOrder(role)
		p = position{rank: slices.Index(order, n.config.Name), members: len(order)}
		cache.positions[role.name] = p
	}
	return p
}

// turnOrder returns the names of the alive members in the order of their turns at a role.
func (n *Node) turnOrder(role singletonRole) []string {
	var names []string
	preference := map[string]int{}
	for _, m := range n.Members.Table.All() {
		if m.State != membership.Alive {
			continue
		}
		names = append(names, m.Name)
		if role.zone != "" && m.Zone == role.zone {
			preference[m.Name] -= 2
		}
		if role.voters && n.value != nil && !m.Degraded && !m.Retiring && isVoter(n.value.AllVoters(), m.Disk) {
			preference[m.Name]--
		}
	}
	names = scheduler.SortByWeight(role.name, names)
	slices.SortStableFunc(names, func(a, b string) int { return preference[a] - preference[b] })
	return names
}
