package control

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

const (
	rosterKey = "l"
	readKey   = "lt/"
	listDuty  = "list"
	// listPatience is how long news of a reading may stay away until a node reads for itself; each next in rank waits one step more.
	listPatience = 1300 * time.Millisecond
	listStep     = 200 * time.Millisecond
	listStride   = 8
	// firstListAgain paces a starting node's own readings, and its rank spreads those of many that start together.
	firstListAgain = 200 * time.Millisecond
	firstListWait  = 150 * time.Millisecond
	// firstListSpread is over how many milliseconds those that are no seeds spread their first reading.
	firstListSpread = 400
)

// Roster is the platform's list as one node read it. It is told anew only when it changes.
type Roster struct{ Rows []mallowbridge.Instance }

func (r Roster) Size() (bytes int)     { return 96 * len(r.Rows) }
func (r Roster) Since() (build uint32) { return 2 }

// Reading tells that the list was read and that the roster of that version is what it says.
type Reading struct{ Version gossip.Version }

func (r Reading) Ephemeral() (yes bool) { return true }
func (r Reading) Since() (build uint32) { return 2 }

// ListRead is what a reading of the platform's list brought.
type ListRead struct {
	Rows []mallowbridge.Instance
	Err  error
}

func (ListRead) in() {}

type listing struct {
	heard  time.Duration
	asked  time.Duration
	asking bool
	fails  uint64
	reads  uint64
}

// list has the platform's list read: by who holds the duty, and by each for itself who hears of no reading.
func (n *Node) listWork(now time.Duration) {
	if n.config.ListEvery == 0 || n.leaving {
		return
	}
	l := &n.replicaList
	if _, known := n.Gossip.Get(rosterKey); !known {
		n.firstList(now)
		return
	}
	if l.asking || now-l.asked < n.config.ListEvery {
		return
	}
	held := false
	if n.value != nil && n.joined && !n.Members.Isolated(now) {
		if _, held = n.leases.Holds(now, listDuty); held || n.ranksFirst(listDuty, "") {
			n.toDisks(n.leases.Acquire(now, listDuty, n.value))
		}
	}
	if !held && now-l.heard < listPatience+time.Duration(n.rank(listDuty))*listStep {
		return
	}
	l.asking, l.asked = true, now
	n.out.List = true
}

// firstList reads the list soon after a start: until somebody has, nothing can be served. Seeds begin, and most others hear of it.
func (n *Node) firstList(now time.Duration) {
	l := &n.replicaList
	if !slices.Contains(n.config.Seeds, n.config.Addr) && now-n.startedAt < firstListWait+time.Duration(scheduler.Rank(listDuty, n.config.Name)%firstListSpread)*time.Millisecond {
		return
	}
	if l.asking || now-l.asked < firstListAgain+time.Duration(n.rank(listDuty))*listStep {
		return
	}
	l.asking, l.asked = true, now
	n.out.List = true
}

func (n *Node) rank(duty string) (place int) {
	return min(n.place("live/", duty, membership.Member.Live), listStride)
}

func (n *Node) listRead(now time.Duration, r ListRead) {
	l := &n.replicaList
	l.asking = false
	if r.Err != nil {
		l.fails++
		return
	}
	l.reads, l.heard = l.reads+1, now
	version := gossip.Version{Lo: n.config.Seed}
	it, ok := n.Gossip.Get(rosterKey)
	if ok {
		version.Hi = it.Mark.Hi
	}
	if !ok || !sameRoster(it.Data.(Roster).Rows, r.Rows) {
		version.Hi++
		n.Gossip.Put(gossip.Item{Key: rosterKey, Mark: version, Data: Roster{Rows: r.Rows}})
		n.event(mallowbridge.ReplicaList{Rows: r.Rows})
	} else {
		version = it.Mark
	}
	n.Gossip.Put(gossip.Item{Key: readKey + n.config.Name, Mark: n.mark(l.reads), Data: Reading{Version: version}})
}

// sameRoster leaves out how long a replica stays cold, but not whether it is.
func sameRoster(a, b []mallowbridge.Instance) (yes bool) {
	return slices.EqualFunc(a, b, func(x, y mallowbridge.Instance) bool {
		if (x.Cold > 0) != (y.Cold > 0) {
			return false
		}
		x.Cold, y.Cold = 0, 0
		return x == y
	})
}

func (n *Node) onRoster(r Roster) { n.event(mallowbridge.ReplicaList{Rows: r.Rows}) }

func (n *Node) onReading(now time.Duration, r Reading) { n.replicaList.heard = now }
