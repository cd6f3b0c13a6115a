package control

import (
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/router"
)

// Failures is the gossip item with the failed requests to replicas that one router observed.
type Failures struct{ router.Failures }

// Ephemeral reports that a node that starts later does not need the item.
func (Failures) Ephemeral() bool { return true }

// Since returns the first build that can decode the item.
func (Failures) Since() uint32 { return 2 }

// FailuresObserved is the input that reports failed requests of this node's router; the node publishes them to the other nodes.
type FailuresObserved struct{ router.Failures }

func (FailuresObserved) in() {}

func (n *Node) publishFailures(f FailuresObserved) {
	n.failureSeq++
	n.Gossip.Put(gossip.Item{Key: "f/" + n.config.Name, Version: n.itemVersion(n.failureSeq), Data: Failures(f)})
}

// itemVersion returns the version of an item that only this node publishes. It rises with seq and across incarnations.
func (n *Node) itemVersion(seq uint64) gossip.Version {
	return gossip.Version{Hi: n.Members.Self.Incarnation, Lo: seq}
}

func (n *Node) onFailures(f Failures) { n.emit(f.Failures) }
