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

func TestBusyRouterNeverBlocksControl(t *testing.T) {
	tb, busy, elapsed := &tomb.Tomb{}, make(chan struct{}), make(chan router.Event, 4096)
	v := newCoalescer(tb, func(ev router.Event) {
		<-busy
		elapsed <- ev
	})
	for i := range 20000 {
		v.in <- router.LoadReport{Replica: fmt.Sprint(i % 50), Running: i}
		v.in <- router.ReplicaSuspect{Replica: "7"}
	}
	close(busy)
	last := map[string]int{}
	n := 0
	for last["49"] != 19999 {
		n++
		if u, ok := (<-elapsed).(router.LoadReport); ok {
			last[u.Replica] = u.Running
		}
	}
	if n > 53 || len(last) != 50 || last["0"] != 19950 {
		t.Errorf("%d events for %d replicas, replica 0 has %d", n, len(last), last["0"])
	}
	tb.Kill(nil)
	if err := tb.Wait(); err != nil {
		t.Error(err)
	}
}

func TestFollowerOfManyReplicasGetsAllState(t *testing.T) {
	fs := newFollowers(&Daemon{})
	for i := range 3000 {
		fs.tell(router.LoadReport{Replica: fmt.Sprint(i)})
	}
	f := &follower{q: make(chan any, followQueue), ready: make(chan struct{})}
	fs.join(f, nil)
	fs.tell(router.ControlStatus{})
	if last := (<-f.q).(router.NumberedEvent); len(f.first) != 3001 || last.Seq != 3000 {
		t.Errorf("%d at the start, then number %d", len(f.first), last.Seq)
	}
}

func TestStalledDiskBoundsPendingReplies(t *testing.T) {
	n := control.New(0, control.Config{
		Name: "n1", Addr: "a", BootID: "b", Zone: "d", Disk: &control.DiskState{Register: register.State{Disk: "x"}}, Membership: membership.Defaults(), Gossip: gossip.Defaults(),
	})
	writes := make(chan []control.LogWrite, control.MaxPendingReplies)
	for i := range uint64(4 * control.MaxPendingReplies) {
		out := n.Step(0, control.Received{From: "other", Msg: register.Prepare{RequestID: i, Disk: "x", Ballot: register.Ballot{N: i + 1}}})
		for _, s := range out.Sends {
			if p, ok := s.Msg.(register.Promise); ok {
				t.Fatalf("a promise left before its sync: %v", p)
			}
		}
		if len(out.Writes) == 0 {
			continue
		}
		select {
		case writes <- out.Writes:
		default:
			t.Fatalf("write %d would stop the control owner", i)
		}
	}
	if len(writes) != control.MaxPendingReplies {
		t.Errorf("%d writes wait", len(writes))
	}
}
