package control

import (
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/router"
)

// Failures is the gossip item with the failed requests that one router reports of replicas.
type Failures struct{ router.Failures }

// Ephemeral says that the item is worth nothing to a node that starts later.
func (Failures) Ephemeral() bool { return true }

// Since is the first build that reads the item.
func (Failures) Since() uint32 { return 2 }

// FailuresObserved has the other nodes told of failures that this node's router met.
type FailuresObserved struct{ router.Failures }

func (FailuresObserved) in() {}

func (n *Node) failed(f FailuresObserved) {
	n.failureSeq++
	n.Gossip.Put(gossip.Item{Key: "f/" + n.config.Name, Version: n.itemVersion(n.failureSeq), Data: Failures(f)})
}

// itemVersion orders the items that only this node publishes, over its incarnations.
func (n *Node) itemVersion(seq uint64) gossip.Version {
	return gossip.Version{Hi: n.Members.Self.Incarnation, Lo: seq}
}

func (n *Node) onFailures(f Failures) { n.emit(f.Failures) }
