package control

import (
	"cmp"
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/quota"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/router"
)

const (
	// joinDelay is how long a node that has joined waits before it serves, so that the other routers count its router first.
	joinDelay = 2200 * time.Millisecond
	// digestInterval is the maximum time between two digests that a joining node sends, firstDigestDelay the minimum; in between it grows
	// by a quarter of the time since the node started to join.
	digestInterval   = 300 * time.Millisecond
	firstDigestDelay = 80 * time.Millisecond
	// readTimeout is the timeout of the read that completes a join.
	readTimeout = time.Second
	// neighboursReadDelay is how long a node waits before it joins without a read of the register, with what its neighbours sent.
	neighboursReadDelay = 1500 * time.Millisecond
)

// FirstIncarnation returns a node's first incarnation after a start, from the clock and the low 16 bits of random. The clock only saves a round trip:
// a node whose clock was set back, or that drew a lower number than before, receives its own older member entry from other nodes and takes
// a higher incarnation.
func FirstIncarnation(now time.Time, random uint64) uint64 {
	return uint64(now.UnixMilli())<<16 | random&0xffff
}

// joinState is a node's progress in catching up with its fleet after a start or a pause.
type joinState struct {
	joined bool
	// restartedAt is when the node last started to join: at its start, after a pause or because of isolation.
	restartedAt  time.Duration
	digestSentAt time.Duration
	// inputAt is the time of the last input, 0 before the first.
	inputAt time.Duration
	// neighboursRead contains the addresses of the nodes that have sent a gossip update since restartedAt.
	neighboursRead map[string]bool
	// servesFrom is the time from which the node may serve, because the other routers have counted its router by then; 0: not joined yet.
	servesFrom time.Duration
}

func newJoinState(now time.Duration) joinState {
	return joinState{restartedAt: now, digestSentAt: -time.Hour, neighboursRead: map[string]bool{}}
}

// restart makes the node catch up again from the start.
func (j *joinState) restart(now time.Duration) {
	j.joined, j.restartedAt, j.servesFrom = false, now, 0
	j.neighboursRead = map[string]bool{}
}

// pause returns how long there was no input before this one, and records the time of this one.
func (j *joinState) pause(now time.Duration) time.Duration {
	last := j.inputAt
	j.inputAt = now
	if last == 0 {
		return 0
	}
	return now - last
}

// digestDue reports whether to send digests to other nodes now, and if so records the time.
func (j *joinState) digestDue(now time.Duration) bool {
	if now-j.digestSentAt < min(digestInterval, firstDigestDelay+(now-j.restartedAt)/4) {
		return false
	}
	j.digestSentAt = now
	return true
}

// servingState is what the node last reported to its router about serving.
type servingState struct {
	leaving bool
	// reason is why the router may not serve, empty if it may.
	reason     string
	reportedAt time.Duration
	// routers are the names of the fleet's routers as last reported, separated by commas.
	routers string
}

func (n *Node) join(now time.Duration) {
	if n.joining.joined {
		return
	}
	if n.joining.digestDue(now) {
		n.sendDigests()
	}
	if n.knownValue() != nil && !n.operations.reading {
		n.read(now, readTimeout)
	}
	if now-n.joining.restartedAt < neighboursReadDelay {
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

func (n *Node) sendDigests() {
	sent := map[string]bool{n.config.Addr: true}
	digest := n.Gossip.ReplyDigest()
	for _, s := range n.config.Seeds {
		if !sent[s] {
			sent[s] = true
			n.send(s, digest)
		}
	}
	for _, m := range n.Members.Table.All() {
		if len(sent) > len(n.config.Seeds)+3 {
			return
		}
		if !sent[m.Addr] {
			sent[m.Addr] = true
			n.send(m.Addr, digest)
		}
	}
}

// detectPause restarts the join at the first input after a pause of the process, before the input is handled: it may have waited in a
// socket since before the pause, and so may the replies to a read.
func (n *Node) detectPause(now time.Duration) {
	if pause := n.joining.pause(now); pause > n.config.Membership.PauseGap {
		n.rejoin(now, fmt.Sprintf("%s without an input", pause))
	}
}

// rejoin restarts the join as after a start of the process: what this node knows may be out of date, and other nodes may have taken over
// its share of the capacity. Messages that wait for chunks are dropped, because they were sent before.
func (n *Node) rejoin(now time.Duration, why string) {
	if n.joining.joined {
		n.logChange(ChangeRejoining, why)
	}
	n.joining.restart(now)
	n.documents.fetches = nil
	n.quotas.owner.Reset(now + quota.TakeoverDelay)
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

// reportServing reports to the router whether it may serve. A change is reported without waiting for the next tick.
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
