package daemon

import (
	"fmt"
	"testing"

	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/router"
)

func TestSlowRouterDoesNotBlockControlLoop(t *testing.T) {
	tb, unblock, received := &tomb.Tomb{}, make(chan struct{}), make(chan router.Event, 4096)
	c := newCoalescer(tb, func(ev router.Event) {
		<-unblock
		received <- ev
	})
	for i := range 20000 {
		c.in <- router.LoadReport{Replica: fmt.Sprint(i % 50), Running: i}
		c.in <- router.ReplicaSuspect{Replica: "7"}
	}
	close(unblock)
	last := map[string]int{}
	n := 0
	for last["49"] != 19999 {
		n++
		if report, ok := (<-received).(router.LoadReport); ok {
			last[report.Replica] = report.Running
		}
	}
	if n > 53 || len(last) != 50 || last["0"] != 19950 {
		t.Errorf("%d events received for %d replicas, the last load of replica 0 is %d", n, len(last), last["0"])
	}
	tb.Kill(nil)
	if err := tb.Wait(); err != nil {
		t.Error(err)
	}
}

// TestNewFollowerReceivesLatestLoadOfAllReplicas uses more replicas than fit into the follower's queue.
func TestNewFollowerReceivesLatestLoadOfAllReplicas(t *testing.T) {
	fs := newFollowers(&Daemon{})
	for i := range 3000 {
		fs.publish(router.LoadReport{Replica: fmt.Sprint(i)})
	}
	f := &follower{queue: make(chan any, followerQueueLength), ready: make(chan struct{})}
	fs.add(f, nil)
	fs.publish(router.ControlStatus{})
	if last := (<-f.queue).(router.NumberedEvent); len(f.initial) != 3001 || last.Seq != 3000 {
		t.Errorf("%d initial messages, then sequence number %d", len(f.initial), last.Seq)
	}
}

// TestStalledDiskBoundsPendingReplies checks that a node produces at most control.MaxPendingReplies writes while no write becomes durable, so
// that the control loop is never blocked by the channel of the writes.
func TestStalledDiskBoundsPendingReplies(t *testing.T) {
	n := control.New(0, control.Config{
		Name: "n1", Addr: "a", BootID: "b", Zone: "d", Disk: &control.DiskState{Register: register.State{Disk: "x"}}, Membership: membership.Defaults(), Gossip: gossip.Defaults(),
	})
	writes := make(chan []control.LogWrite, control.MaxPendingReplies)
	for i := range uint64(4 * control.MaxPendingReplies) {
		out := n.Step(0, control.Received{From: "other", Msg: register.Prepare{RequestID: i, Disk: "x", Ballot: register.Ballot{N: i + 1}}})
		for _, s := range out.Sends {
			if p, ok := s.Msg.(register.Promise); ok {
				t.Fatalf("a promise was sent before its entry was durable: %v", p)
			}
		}
		if len(out.Writes) == 0 {
			continue
		}
		select {
		case writes <- out.Writes:
		default:
			t.Fatalf("write %d would block the control loop", i)
		}
	}
	if len(writes) != control.MaxPendingReplies {
		t.Errorf("%d writes are waiting", len(writes))
	}
}
