package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/sim/shape"
	"github.com/mallowbridge/mallowbridge/transport"
	"github.com/mallowbridge/mallowbridge/wire"
)

// Novelty is news of a kind that the next build knows and this one does not.
type Novelty struct{ Text string }

// Since is the first build that reads the item.
func (Novelty) Since() uint32 { return transport.Build + 1 }

func init() { wire.RegisterPlain("xx", Novelty{}) }

func (n *Node) novel() {
	if n.build <= transport.Build || n.w.Now/time.Second == (n.w.Now-shape.TickEvery)/time.Second {
		return
	}
	n.node.Gossip.Put(gossip.Item{Key: "x/" + n.Name, Version: gossip.Version{Hi: uint64(n.w.Now)}, Data: Novelty{Text: n.Name}})
}

// foreign tells whether this node's build would fail to read the message, or to make sense of it.
func (n *Node) foreign(msg any) bool {
	build := n.speaks()
	switch m := msg.(type) {
	case register.Promise:
		return manifest(m.Value) && build < manifestsBuild
	case register.Accept:
		return manifest(m.Value) && build < manifestsBuild
	case gossip.Update:
		for _, it := range m.Items {
			v, _ := it.Data.(*register.Value)
			if unknown(it.Data, build) || manifest(v) && build < manifestsBuild {
				return true
			}
		}
		return false
	}
	return unknown(msg, build)
}

// speaks is the build that the node says it is.
func (n *Node) speaks() uint32 {
	if n.build == 0 {
		return transport.Build
	}
	return n.build
}

// manifestsBuild is the first build that reads manifests of documents.
const manifestsBuild = 3

func manifest(v *register.Value) bool { return v != nil && !v.Complete() }

func unknown(kind any, build uint32) bool {
	later, is := kind.(interface{ Since() uint32 })
	return is && later.Since() > build
}
