package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/gossip"
)

const contradicts = time.Second

type told struct {
	row Listing
	at  time.Duration
}

func (l Listing) away() (yes bool) { return l.State == "leaving" || l.State == "gone" }

func (n *Node) listed(now time.Duration, op SetListings) {
	for _, l := range op.Rows {
		n.platformStates[l.Replica] = told{row: l, at: now}
		mark := gossip.Version{Hi: op.At, Lo: n.config.Seed}
		if old, ok := n.Gossip.Get("p/" + l.Replica); ok {
			if was, same := old.Data.(Listing); same && was == l {
				continue
			}
			mark.Hi = max(op.At, old.Mark.Hi+1)
		}
		n.list(mark, l)
	}
}

func (n *Node) list(mark gossip.Version, l Listing) {
	if n.Gossip.Put(gossip.Item{Key: "p/" + l.Replica, Mark: mark, Data: l}) {
		n.event(mallowbridge.Listing{Replica: l.Replica, State: l.State})
	}
}

// onListing takes the platform's word from another node. Where it told this node within a second that the replica goes,
// nobody knows which was last, and going wins until the platform says otherwise again.
func (n *Node) onListing(now time.Duration, mark gossip.Version, l Listing) {
	if t, ok := n.platformStates[l.Replica]; ok && now-t.at < contradicts && t.row.away() && !l.away() {
		mark.Hi++
		n.list(mark, t.row)
		return
	}
	n.event(mallowbridge.Listing{Replica: l.Replica, State: l.State})
}
