package control

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

const (
	replicaListKey      = "l"
	listConfirmationKey = "lt/"
	listRole            = "list"
	// confirmationTimeout is how long confirmations may stay away until a node reads for itself; each next in rank waits one step more.
	confirmationTimeout = 1300 * time.Millisecond
	listStep            = 200 * time.Millisecond
	listStride          = 8
	// firstListRetry paces a starting node's own readings, and its rank spreads those of many that start together.
	firstListRetry = 200 * time.Millisecond
	firstListWait  = 150 * time.Millisecond
	// firstListSpread is over how many milliseconds those that are no seeds spread their first reading.
	firstListSpread = 400
)

// ReplicaListItem is the gossip item with the platform's list of replicas as one node read it. It is published only when it changes.
type ReplicaListItem struct{ Rows []router.Instance }

// Size is about the bytes that the item takes in a message.
func (r ReplicaListItem) Size() int { return 96 * len(r.Rows) }

// Since is the first build that reads the item.
func (ReplicaListItem) Since() uint32 { return 2 }

// ListConfirmation is the gossip item which says that the list was read and that the ReplicaListItem of that version still holds.
type ListConfirmation struct{ Version gossip.Version }

// Ephemeral says that the item is worth nothing to a node that starts later.
func (ListConfirmation) Ephemeral() bool { return true }

// Since is the first build that reads the item.
func (ListConfirmation) Since() uint32 { return 2 }

// ListRead is what a reading of the platform's list brought.
type ListRead struct {
	Rows []router.Instance
	Err  error
}

func (ListRead) in() {}

// listReader is when the list was last confirmed by any node and read by this one, and counts failed and successful readings.
type listReader struct {
	confirmedAt time.Duration
	askedAt     time.Duration
	reading     bool
	fails       uint64
	reads       uint64
}

// readList has the platform's list read: by the holder of the lease, and by each node that receives no confirmation.
func (n *Node) readList(now time.Duration) {
	l := &n.replicaList
	if n.config.ListEvery == 0 || n.serving.leaving || l.reading {
		return
	}
	due := n.listDue
	if _, known := n.Gossip.Get(replicaListKey); !known {
		due = n.firstListDue
	}
	if !due(now) {
		return
	}
	l.reading, l.askedAt = true, now
	n.out.ReadReplicaList = true
}

func (n *Node) listDue(now time.Duration) bool {
	if now-n.replicaList.askedAt < n.config.ListEvery {
		return false
	}
	return n.holdsListRole(now) || now-n.replicaList.confirmedAt >= confirmationTimeout+time.Duration(n.rank(listRole))*listStep
}

// holdsListRole renews or asks for the lease, where this node holds it or is the first by rank.
func (n *Node) holdsListRole(now time.Duration) bool {
	if n.value == nil || !n.joining.joined || n.Members.Isolated(now) {
		return false
	}
	_, yes := n.leases.Holds(now, listRole)
	if yes || n.ranksFirst(listRole, "") {
		n.sendToGrantors(n.leases.Acquire(now, listRole, n.value))
	}
	return yes
}

// firstListDue has the list read soon after a start: until some node has, nothing can be served. Seeds begin, and most others receive their
// result.
func (n *Node) firstListDue(now time.Duration) bool {
	spread := time.Duration(scheduler.RendezvousWeight(listRole, n.config.Name)%firstListSpread) * time.Millisecond
	if !slices.Contains(n.config.Seeds, n.config.Addr) && now-n.startedAt < firstListWait+spread {
		return false
	}
	return now-n.replicaList.askedAt >= firstListRetry+time.Duration(n.rank(listRole))*listStep
}

func (n *Node) rank(role string) int {
	return min(n.place("live/", role, membership.Member.Live), listStride)
}

func (n *Node) onListRead(now time.Duration, r ListRead) {
	l := &n.replicaList
	l.reading = false
	if r.Err != nil {
		l.fails++
		return
	}
	l.reads, l.confirmedAt = l.reads+1, now
	version := gossip.Version{Lo: n.config.Seed}
	it, ok := n.Gossip.Get(replicaListKey)
	if ok {
		version.Hi = it.Version.Hi
	}
	if !ok || !sameInstances(it.Data.(ReplicaListItem).Rows, r.Rows) {
		version.Hi++
		n.Gossip.Put(gossip.Item{Key: replicaListKey, Version: version, Data: ReplicaListItem{Rows: r.Rows}})
		n.emit(router.ReplicaList{Instances: r.Rows})
	} else {
		version = it.Version
	}
	n.Gossip.Put(gossip.Item{Key: listConfirmationKey + n.config.Name, Version: n.itemVersion(l.reads), Data: ListConfirmation{Version: version}})
}

// sameInstances ignores how long a replica keeps warming up, but not whether it is.
func sameInstances(a, b []router.Instance) bool {
	return slices.EqualFunc(a, b, func(x, y router.Instance) bool {
		if (x.WarmUpRemaining > 0) != (y.WarmUpRemaining > 0) {
			return false
		}
		x.WarmUpRemaining, y.WarmUpRemaining = 0, 0
		return x == y
	})
}

func (n *Node) onReplicaListItem(r ReplicaListItem) { n.emit(router.ReplicaList{Instances: r.Rows}) }

func (n *Node) onListConfirmation(now time.Duration, _ ListConfirmation) {
	n.replicaList.confirmedAt = now
}
