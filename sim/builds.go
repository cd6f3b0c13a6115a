package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/sim/shape"
	"github.com/mallowbridge/mallowbridge/transport"
	"github.com/mallowbridge/mallowbridge/wire"
)

// Novelty is a gossip item of a type that only the next build knows.
type Novelty struct{ Text string }

// Since returns the first build that can read the item.
func (Novelty) Since() uint32 { return transport.Build + 1 }

func init() { wire.RegisterPlain("xx", Novelty{}) }

// gossipNovelty makes a node of the next build put a Novelty each second.
func (n *Node) gossipNovelty() {
	if n.build <= transport.Build || n.w.Now/time.Second == (n.w.Now-shape.TickEvery)/time.Second {
		return
	}
	n.node.Gossip.Put(gossip.Item{Key: "x/" + n.Name, Version: gossip.Version{Hi: uint64(n.w.Now)}, Data: Novelty{Text: n.Name}})
}

// cannotRead reports whether the message has a type or contents that this node's build does not know.
func (n *Node) cannotRead(msg any) bool {
	build := n.buildNumber()
	switch m := msg.(type) {
	case register.Promise:
		return isManifest(m.Value) && build < manifestsBuild
	case register.Accept:
		return isManifest(m.Value) && build < manifestsBuild
	case gossip.Update:
		for _, it := range m.Items {
			v, _ := it.Data.(*register.Value)
			if addedAfter(it.Data, build) || isManifest(v) && build < manifestsBuild {
				return true
			}
		}
		return false
	}
	return addedAfter(msg, build)
}

// buildNumber returns the build that the node reports.
func (n *Node) buildNumber() uint32 {
	if n.build == 0 {
		return transport.Build
	}
	return n.build
}

// manifestsBuild is the first build that can read manifests of documents.
const manifestsBuild = 3

// isManifest reports whether a value contains only the manifest of its document.
func isManifest(v *register.Value) bool { return v != nil && !v.Complete() }

// addedAfter reports whether a message's type was added after that build.
func addedAfter(kind any, build uint32) bool {
	later, is := kind.(interface{ Since() uint32 })
	return is && later.Since() > build
}
