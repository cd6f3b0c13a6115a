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
	// confirmationTimeout is how long a node waits for a confirmation by another node before it reads the list itself. Each position in
	// rank adds listRankDelay.
	confirmationTimeout = 1300 * time.Millisecond
	listRankDelay       = 200 * time.Millisecond
	// maxListRank is the highest rank that counts in these delays.
	maxListRank = 8
	// firstListRetry is the minimum time between reads by a starting node; listRankDelay per position in rank spreads the reads of nodes
	// that start at once.
	firstListRetry = 200 * time.Millisecond
	// firstListWait is how long after its start a node that is not a seed waits before its first read.
	firstListWait = 150 * time.Millisecond
	// firstListSpread is the interval, in milliseconds, over which nodes that are not seeds spread their first read.
	firstListSpread = 400
)

// ReplicaListItem is the gossip item with the platform's replica list as read by one node. It is published only when it changes.
type ReplicaListItem struct{ Rows []router.Instance }

// Size returns the approximate size of the item in a message, in bytes.
func (r ReplicaListItem) Size() int { return 96 * len(r.Rows) }

// Since returns the first build that can decode the item.
func (ReplicaListItem) Since() uint32 { return 2 }

// ListConfirmation is the gossip item which confirms that the list was read and that the ReplicaListItem of that version is still current.
type ListConfirmation struct{ Version gossip.Version }

// Ephemeral reports that a node that starts later does not need the item.
func (ListConfirmation) Ephemeral() bool { return true }

// Since returns the first build that can decode the item.
func (ListConfirmation) Since() uint32 { return 2 }

// ListRead is the input with the result of a read of the platform's replica list.
type ListRead struct {
	Rows []router.Instance
	Err  error
}

func (ListRead) in() {}

// listReader records when any node last confirmed the list and when this node last started to read it, and counts its failed and successful
// reads.
type listReader struct {
	confirmedAt   time.Duration
	readStartedAt time.Duration
	reading       bool
	fails         uint64
	reads         uint64
}

// readList requests a read of the platform's list. The holder of the lease does so every ListEvery, any other node only while it receives
// no confirmation.
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
	l.reading, l.readStartedAt = true, now
	n.out.ReadReplicaList = true
}

func (n *Node) listDue(now time.Duration) bool {
	if now-n.replicaList.readStartedAt < n.config.ListEvery {
		return false
	}
	return n.holdsListRole(now) || now-n.replicaList.confirmedAt >= confirmationTimeout+time.Duration(n.rank(listRole))*listRankDelay
}

// holdsListRole reports whether this node has the list lease. It renews the lease, or requests it if this node ranks first.
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

// firstListDue reports whether to read the list while no node is known to have read it. Until then nothing can be served. Seeds read first,
// and most other nodes receive their result.
func (n *Node) firstListDue(now time.Duration) bool {
	spread := time.Duration(scheduler.RendezvousWeight(listRole, n.config.Name)%firstListSpread) * time.Millisecond
	if !slices.Contains(n.config.Seeds, n.config.Addr) && now-n.startedAt < firstListWait+spread {
		return false
	}
	return now-n.replicaList.readStartedAt >= firstListRetry+time.Duration(n.rank(listRole))*listRankDelay
}

func (n *Node) rank(role string) int {
	return min(n.rankAmong("live/", role, membership.Member.Live), maxListRank)
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

// sameInstances compares two lists. It ignores how much longer a replica warms up, but not whether it does.
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
