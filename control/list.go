package control

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

const (
	replicaListKey      = "l"
	listConfirmationKey = "lt/"
	// confirmationTimeout is how long the list may go without a confirmation until the other nodes take turns to read it, each for listTurn.
	confirmationTimeout = 1300 * time.Millisecond
	listTurn            = 200 * time.Millisecond
	// listMissesUntilRelease is the number of consecutive failed reads after which a node gives up the lease: others may reach the platform.
	listMissesUntilRelease = 2
	// firstListRetry is the minimum time between reads by a starting node; a turn per position in rank, up to maxFirstListRank, spreads the
	// reads of nodes that start at once.
	firstListRetry   = 200 * time.Millisecond
	maxFirstListRank = 8
	// firstListWait is how long after its start a node that is not a seed waits before its first read.
	firstListWait = 150 * time.Millisecond
	// firstListSpread is the interval, in milliseconds, over which nodes that are not seeds spread their first read.
	firstListSpread = 400
)

// listRole is the reading of the platform's replica list. Two readers at once cost one more read.
var listRole = leasedRole{
	work:       singletonRole{name: "list", turn: listTurn},
	leaseAfter: confirmationTimeout, workAfter: confirmationTimeout,
}

// ReplicaListItem is the gossip item with the platform's replica list as read by one node. It is published only when it changes.
type ReplicaListItem struct{ Rows []router.Instance }

// Size returns the approximate size of the item in a message, in bytes.
func (r ReplicaListItem) Size() int { return 96 * len(r.Rows) }

// Since returns the first build that can decode the item.
func (ReplicaListItem) Since() uint32 { return 2 }

// ListConfirmation is the gossip item which confirms that the list was read and that the ReplicaListItem of that version is still current.
type ListConfirmation struct {
	Version gossip.Version
	// Unleased reports that the node that read the list did not have its lease; builds from before it was added leave it unset.
	Unleased bool
}

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
	confirmed     workRecord
	readStartedAt time.Duration
	reading       bool
	// leased is set if the last read was started under the lease.
	leased bool
	// misses is the number of consecutive failed reads.
	misses int
	fails  uint64
	reads  uint64
}

// readList requests a read of the platform's list. The holder of the lease does so every ListEvery; while there are no confirmations, the
// other nodes take turns.
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
	right, _ := n.seekRole(now, listRole, n.replicaList.confirmed, n.startedAt)
	n.replicaList.leased = right == byLease
	return right != noRight
}

// firstListDue reports whether to read the list while no node is known to have read it. Until then nothing can be served. Seeds read first,
// and most other nodes receive their result.
func (n *Node) firstListDue(now time.Duration) bool {
	spread := time.Duration(scheduler.RendezvousWeight(listRole.work.name, n.config.Name)%firstListSpread) * time.Millisecond
	if !slices.Contains(n.config.Seeds, n.config.Addr) && now-n.startedAt < firstListWait+spread {
		return false
	}
	rank := min(n.position(listRole.work).rank, maxFirstListRank)
	return now-n.replicaList.readStartedAt >= firstListRetry+time.Duration(rank)*listTurn
}

func (n *Node) onListRead(now time.Duration, r ListRead) {
	l := &n.replicaList
	l.reading = false
	if r.Err != nil {
		l.fails++
		if l.misses++; l.misses >= listMissesUntilRelease && n.value != nil {
			n.releaseRole(listRole)
		}
		return
	}
	l.reads++
	l.misses = 0
	l.confirmed.done(now, l.leased)
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
	n.Gossip.Put(gossip.Item{Key: listConfirmationKey + n.config.Name, Version: n.itemVersion(l.reads), Data: ListConfirmation{Version: version, Unleased: !l.leased}})
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

func (n *Node) onListConfirmation(now time.Duration, c ListConfirmation) {
	n.replicaList.confirmed.done(now, !c.Unleased)
}
