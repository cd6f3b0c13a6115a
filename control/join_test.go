package control

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/router"
)

const body = `{"offers":[{"name":"o","model":"m","replicas":[{"name":"r","addr":"127.0.0.1:9","domain":"a"}],"kinds":[{"name":"k"}]}]}`

func value(version uint64) *register.Value {
	return &register.Value{Fleet: "f", Version: version, Epoch: 1, Document: []byte(body), Voters: []register.Voter{{Disk: "d1", Name: "n1"}, {Disk: "d2", Name: "n2"}, {Disk: "d3", Name: "n3"}}}
}

// loneNode is a node whose peers are simulated by the test. applied are the versions of the snapshots that its router received.
type loneNode struct {
	n       *Node
	now     time.Duration
	applied []uint64
}

// newLoneNode returns a voter with an old value on its disk and two neighbours that acknowledge its pings; no voter responds.
func newLoneNode() *loneNode {
	l := &loneNode{n: New(0, Config{
		Name: "n1", Addr: "a1", BootID: "b", Zone: "a", Seeds: []string{"a2", "a4"}, Disk: &DiskState{Register: register.State{Disk: "d1", Value: value(1)}},
		Membership: membership.Defaults(), Gossip: gossip.Defaults(),
	})}
	for _, name := range []string{"n2", "n4"} {
		l.n.Members.Merge(0, membership.Member{Name: name, Addr: "a" + name[1:], Zone: "a", Incarnation: 1})
	}
	return l
}

func (l *loneNode) step(in Input) Output {
	out := l.n.Step(l.now, in)
	for _, ev := range out.Events {
		if o, ok := ev.(router.SnapshotUpdate); ok {
			l.applied = append(l.applied, o.Snapshot.Version)
		}
	}
	return out
}

func (l *loneNode) sendValue(from string, version uint64) {
	l.step(Received{From: from, Msg: gossip.Update{Items: []gossip.Item{{Key: "c", Version: gossip.Version{Hi: version, Lo: 1}, Data: value(version)}}}})
}

func (l *loneNode) run(until time.Duration) {
	for ; l.now < until; l.now += 50 * time.Millisecond {
		for _, s := range l.step(Tick{}).Sends {
			if p, ok := s.Msg.(membership.Ping); ok {
				l.step(Received{From: s.To, Msg: membership.Ack{Seq: p.Seq}})
			}
		}
	}
}

// nextPing runs until the node sends a ping, and returns it without an acknowledgement.
func (l *loneNode) nextPing() membership.Ping {
	var last membership.Ping
	for last.Seq == 0 {
		for _, s := range l.step(Tick{}).Sends {
			if p, ok := s.Msg.(membership.Ping); ok {
				last = p
			}
		}
		l.now += 50 * time.Millisecond
	}
	return last
}

func TestNoSnapshotIsAppliedBeforeARead(t *testing.T) {
	l := newLoneNode()
	l.sendValue("a2", 1)
	l.run(20 * time.Second)
	if why := l.n.notServingReason(l.now); len(l.applied) > 0 || why != "catching up" {
		t.Fatalf("applied %v, not serving because of %q after one neighbour was read", l.applied, why)
	}
	l.sendValue("a4", 2)
	l.step(Tick{})
	if len(l.applied) != 1 || l.applied[0] != 2 {
		t.Errorf("applied %v after another neighbour sent version 2", l.applied)
	}
}

// TestThawedNodeRejoinsThoughPeersAnswered guards against an acknowledgement of a ping that was sent just before a freeze: it waits in a
// socket and is read first when the node resumes.
func TestThawedNodeRejoinsThoughPeersAnswered(t *testing.T) {
	l := newLoneNode()
	l.sendValue("a2", 1)
	l.sendValue("a4", 1)
	l.run(10 * time.Second)
	if why := l.n.notServingReason(l.now); why != "" {
		t.Fatalf("not serving because of %q", why)
	}
	last := l.nextPing()
	l.now += 6 * time.Second
	l.step(Received{From: "a2", Msg: membership.Ack{Seq: last.Seq}})
	l.step(Tick{})
	if why := l.n.notServingReason(l.now); why != "catching up" {
		t.Errorf("after 6 s without a tick: not serving because of %q, want \"catching up\"", why)
	}
}

// TestNoServingReportBetweenThawAndFirstTick covers messages that a resumed node receives before its first tick detects the freeze. The
// node must not report that it serves.
func TestNoServingReportBetweenThawAndFirstTick(t *testing.T) {
	l := newLoneNode()
	l.sendValue("a2", 1)
	l.sendValue("a4", 1)
	l.run(10 * time.Second)
	last := l.nextPing()
	l.now += 6 * time.Second
	for _, seq := range []uint64{0, last.Seq} {
		for _, ev := range l.step(Received{From: "a2", Msg: membership.Ack{Seq: seq}}).Events {
			if f, ok := ev.(router.ControlStatus); ok && f.Why == "" {
				t.Fatal("the node serves with what it knew before the freeze")
			}
		}
	}
}
