package control

import (
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

// derived holds what follows from the members alone. It is kept until they change, since every tick of every node asks for it.
type derived struct {
	rev    uint64
	places map[string]int
	peers  []gossip.Peer
	joined bool
	shared bool
}

const absent = -1

func (n *Node) derive() *derived {
	if rev := n.Members.Table.Generation(); n.derived.places == nil || n.derived.rev != rev {
		n.derived = derived{rev: rev, places: map[string]int{}}
	}
	return &n.derived
}

// place is how many of the members that fit come before this node in the ranking for a role, or absent where it does not fit itself.
func (n *Node) place(kind, role string, fits func(m membership.Member) bool) int {
	d := n.derive()
	above, ok := d.places[kind+role]
	if ok {
		return above
	}
	mine, here := scheduler.RendezvousWeight(role, n.config.Name), false
	for _, m := range n.Members.Table.All() {
		if !fits(m) {
			continue
		}
		if m.Name == n.config.Name {
			here = true
			continue
		}
		if w := scheduler.RendezvousWeight(role, m.Name); w > mine || (w == mine && m.Name < n.config.Name) {
			above++
		}
	}
	if !here {
		above = absent
	}
	d.places[kind+role] = above
	return above
}
