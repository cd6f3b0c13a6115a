package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/router"
)

// conflictWindow is how long after a state set at this node a differing state from another node counts as concurrent.
const conflictWindow = time.Second

// platformState is a replica state that operators set at this node, and when.
type platformState struct {
	row ReplicaState
	at  time.Duration
}

func (s ReplicaState) draining() bool { return s.State == router.Draining || s.State == router.Removed }

func (n *Node) setReplicaStates(now time.Duration, op SetReplicaStates) {
	for _, state := range op.Rows {
		n.platformStates[state.Replica] = platformState{row: state, at: now}
		version := gossip.Version{Hi: op.At, Lo: n.config.Seed}
		if old, ok := n.Gossip.Get("p/" + state.Replica); ok {
			if was, same := old.Data.(ReplicaState); same && was == state {
				continue
			}
			version.Hi = max(op.At, old.Version.Hi+1)
		}
		n.publishReplicaState(version, state)
	}
}

func (n *Node) publishReplicaState(version gossip.Version, state ReplicaState) {
	if n.Gossip.Put(gossip.Item{Key: "p/" + state.Replica, Version: version, Data: state}) {
		n.emit(router.Listing{Replica: state.Replica, State: state.State})
	}
}

// onReplicaState applies a replica state from another node. If an operator set the replica to a draining state at this node within
// conflictWindow, the order of the two is unknown. The draining state then wins, until operators set the state again.
func (n *Node) onReplicaState(now time.Duration, version gossip.Version, state ReplicaState) {
	if t, ok := n.platformStates[state.Replica]; ok && now-t.at < conflictWindow && t.row.draining() && !state.draining() {
		version.Hi++
		n.publishReplicaState(version, t.row)
		return
	}
	n.emit(router.Listing{Replica: state.Replica, State: state.State})
}
