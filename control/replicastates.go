package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/router"
)

const conflictWindow = time.Second

type platformState struct {
	row ReplicaState
	at  time.Duration
}

func (l ReplicaState) draining() bool { return l.State == router.Draining || l.State == router.Removed }

func (n *Node) setReplicaStates(now time.Duration, op SetReplicaStates) {
	for _, l := range op.Rows {
		n.platformStates[l.Replica] = platformState{row: l, at: now}
		version := gossip.Version{Hi: op.At, Lo: n.config.Seed}
		if old, ok := n.Gossip.Get("p/" + l.Replica); ok {
			if was, same := old.Data.(ReplicaState); same && was == l {
				continue
			}
			version.Hi = max(op.At, old.Version.Hi+1)
		}
		n.publishReplicaState(version, l)
	}
}

func (n *Node) publishReplicaState(version gossip.Version, l ReplicaState) {
	if n.Gossip.Put(gossip.Item{Key: "p/" + l.Replica, Version: version, Data: l}) {
		n.emit(router.Listing{Replica: l.Replica, State: l.State})
	}
}

// onReplicaState takes a state of a replica from another node. Where this node was told within conflictWindow that the replica leaves, the
// order of the two is unknown, and leaving wins until the operators say otherwise again.
func (n *Node) onReplicaState(now time.Duration, version gossip.Version, l ReplicaState) {
	if t, ok := n.platformStates[l.Replica]; ok && now-t.at < conflictWindow && t.row.draining() && !l.draining() {
		version.Hi++
		n.publishReplicaState(version, t.row)
		return
	}
	n.emit(router.Listing{Replica: l.Replica, State: l.State})
}
