package control

import (
	"cmp"
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/router"
)

const (
	joinDelay       = 2200 * time.Millisecond
	askEvery        = 300 * time.Millisecond
	askFirst        = 80 * time.Millisecond
	readWithin      = time.Second
	neighboursAfter = 1500 * time.Millisecond
)

// FirstIncarnation is where a node's incarnations start. The clock only saves a round trip: a node whose clock was set back, or that drew a lower
// number than before, receives its own older member from others and goes above.
func FirstIncarnation(now time.Time, chance uint64) uint64 {
	return uint64(now.UnixMilli())<<16 | chance&0xffff
}

// joinState is how far a node is in catching up with its fleet, after a start or a pause.
type joinState struct {
	joined        bool
	startedOverAt time.Duration
	askedAt       time.Duration
	// inputAt is when the last input came, 0 before the first.
	inputAt        time.Duration
	neighboursRead map[string]bool
	// servesFrom is when the others have had time to count this node's router in; 0: not joined yet.
	servesFrom time.Duration
}

func newJoinState(now time.Duration) joinState {
	return joinState{startedOverAt: now, askedAt: -time.Hour, neighboursRead: map[string]bool{}}
}

// restart has the node catch up anew.
func (j *joinState) restart(now time.Duration) {
	j.joined, j.startedOverAt, j.servesFrom = false, now, 0
	j.neighboursRead = map[string]bool{}
}

// pause is how long no input came before this one.
func (j *joinState) pause(now time.Duration) time.Duration {
	last := j.inputAt
	j.inputAt = now
	if last == 0 {
		return 0
	}
	return now - last
}

// askDue tells whether to ask other nodes for what they know, and notes that it is asked.
func (j *joinState) askDue(now time.Duration) bool {
	if now-j.askedAt < min(askEvery, askFirst+(now-j.startedOverAt)/4) {
		return false
	}
	j.askedAt = now
	return true
}

// servingState is what the node last told its router about serving.
type servingState struct {
	leaving bool
	// reason is why the router may not serve, empty where it may.
	reason     string
	reportedAt time.Duration
	// routers are the names of the routers last told.
	routers string
}

func (n *Node) join(now time.Duration) {
	if n.joining.joined {
		return
	}
	if n.joining.askDue(now) {
		n.greet()
	}
	if n.knownValue() != nil && !n.operations.reading {
		n.read(now, readWithin)
	}
	if now-n.joining.startedOverAt < neighboursAfter {
		return
	}
	others := 0
	for _, m := range n.Members.Table.All() {
		if m.Name != n.config.Name && m.Live() {
			others++
		}
	}
	if len(n.joining.neighboursRead) > 0 && len(n.joining.neighboursRead) >= min(2, others) {
		n.finishJoin(now, "neighbours were read")
		return
	}
	if len(n.config.Seeds) == 0 && others == 0 && n.knownValue() == nil {
		n.finishJoin(now, "first of its fleet")
	}
}

func (n *Node) knownValue() *register.Value {
	if n.value != nil {
		return n.value
	}
	if n.acceptor != nil {
		return n.acceptor.Value
	}
	return nil
}

func (n *Node) greet() {
	sent := map[string]bool{n.config.Addr: true}
	versions := n.Gossip.ReplyDigest()
	for _, s := range n.config.Seeds {
		if !sent[s] {
			sent[s] = true
			n.send(s, versions)
		}
	}
	for _, m := range n.Members.Table.All() {
		if len(sent) > len(n.config.Seeds)+3 {
			return
		}
		if !sent[m.Addr] {
			sent[m.Addr] = true
			n.send(m.Addr, versions)
		}
	}
}

// noticeFreeze starts over at the first input after a pause, before that is taken in: it may have lain in a socket since before the
// pause, as may the answers to a read.
func (n *Node) noticeFreeze(now time.Duration) {
	if pause := n.joining.pause(now); pause > n.config.Membership.PauseGap {
		n.rejoin(now, fmt.Sprintf("%s without an input", pause))
	}
}

// rejoin starts over as after a start: what this node knows may be old, and others may have taken its share of room.
// Messages that wait for chunks were sent before.
func (n *Node) rejoin(now time.Duration, why string) {
	if n.joining.joined {
		n.logChange(ChangeRejoining, why)
	}
	n.joining.restart(now)
	n.documents.fetches = nil
	n.quotas.owner.Reset(now + quotaTakeover)
}

func (n *Node) finishJoin(now time.Duration, how string) {
	if n.joining.joined {
		return
	}
	n.joining.joined = true
	n.logChange(ChangeJoined, how)
	n.applySnapshot(now)
}

func (n *Node) publishServing(now time.Duration) {
	n.serving.reportedAt = now
	n.reportServing(now)
}

// reportServing reports at once when serving becomes possible or impossible.
func (n *Node) reportServing(now time.Duration) {
	why := n.notServingReason(now)
	if why != n.serving.reason {
		n.serving.reason = why
		n.logChange(ChangeServing, cmp.Or(why, "yes"))
	}
	n.emit(router.ControlStatus{Why: why})
}

func (n *Node) notServingReason(now time.Duration) string {
	switch {
	case n.serving.leaving:
		return "draining"
	case n.config.ServesIsolated && n.applied > 0:
		return ""
	case n.Members.Isolated(now):
		return "isolated"
	case !n.joining.joined:
		return "catching up"
	case n.snapshot == nil:
		return "no configuration yet"
	case n.joining.servesFrom == 0 || now < n.joining.servesFrom:
		return "settling in"
	}
	return ""
}
