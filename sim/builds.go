package sim

import (
	"encoding/gob"
	"time"

	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/transport"
)

// Novelty is news of a kind that the next build knows and this one does not.
type Novelty struct{ Text string }

func (Novelty) Since() (build uint32) { return transport.Build + 1 }

func init() { gob.RegisterName("xx", Novelty{}) }

func (n *Node) novel() {
	if n.build <= transport.Build || n.w.now/time.Second == (n.w.now-tickEvery)/time.Second {
		return
	}
	n.node.Gossip.Put(gossip.Item{Key: "x/" + n.Name, Mark: gossip.Version{Hi: uint64(n.w.now)}, Data: Novelty{Text: n.Name}})
}

// foreign tells whether this node's build would fail to read the message, and lose its connection by it.
func (n *Node) foreign(msg any) (yes bool) {
	if n.build > transport.Build {
		return false
	}
	news, ok := msg.(gossip.Update)
	if !ok {
		_, yes = msg.(Novelty)
		return yes
	}
	for _, it := range news.Items {
		if _, ok := it.Data.(Novelty); ok {
			return true
		}
	}
	return false
}
