package control

import (
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/register"
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

func (n *Node) join(now time.Duration) {
	if n.joined {
		return
	}
	if now-n.askedAt >= min(askEvery, askFirst+(now-n.startedOverAt)/4) {
		n.askedAt = now
		n.greet()
	}
	if n.knownValue() != nil && !n.reading {
		n.read(now, readWithin, false)
	}
	if now-n.startedOverAt < neighboursAfter {
		return
	}
	others := 0
	for _, m := range n.Members.Table.All() {
		if m.Name != n.config.Name && m.Live() {
			others++
		}
	}
	if len(n.neighboursRead) > 0 && len(n.neighboursRead) >= min(2, others) {
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
	versions := n.Gossip.Digest(true)
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
	if pause := now - n.inputAt; n.inputAt > 0 && pause > n.config.Membership.PauseGap {
		n.rejoin(now, fmt.Sprintf("%s without an input", pause))
	}
	n.inputAt = now
}

// rejoin starts over as after a start: what this node knows may be old, and others may have taken its share of room.
// Messages that wait for chunks were sent before.
func (n *Node) rejoin(now time.Duration, why string) {
	if n.joined {
		n.logChange("starts over", why)
	}
	n.joined, n.startedOverAt, n.joinDeadline = false, now, 0
	n.neighboursRead = map[string]bool{}
	n.documents.fetches = nil
}

func (n *Node) finishJoin(now time.Duration, how string) {
	if n.joined {
		return
	}
	n.joined = true
	n.logChange("caught up", how)
	n.applySnapshot(now)
}

func (n *Node) publishServing(now time.Duration) {
	n.servingReportedAt = now
	n.reportServing(now)
}

// reportServing reports at once when serving becomes possible or impossible.
func (n *Node) reportServing(now time.Duration) {
	why := n.notServingReason(now)
	if why != n.notServing {
		n.notServing = why
		n.logChange("serving", map[bool]string{true: "yes", false: why}[why == ""])
	}
	n.emit(mallowbridge.ControlStatus{Why: why})
}

func (n *Node) notServingReason(now time.Duration) string {
	switch {
	case n.leaving:
		return "draining"
	case n.config.ServesIsolated && n.applied > 0:
		return ""
	case n.Members.Isolated(now):
		return "isolated"
	case !n.joined:
		return "catching up"
	case n.snapshot == nil:
		return "no configuration yet"
	case n.joinDeadline == 0 || now < n.joinDeadline:
		return "settling in"
	}
	return ""
}
