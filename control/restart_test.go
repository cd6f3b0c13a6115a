package control

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/router"
)

func TestFleetKilledAtOnceServesSoonAfterRestart(t *testing.T) {
	l := newLab(t, 11)
	l.list = []router.Instance{{ID: "i1", Service: "o"}}
	l.run(2 * time.Second)
	if a := l.write("n7", "x"); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.run(3 * time.Second)
	for _, name := range l.order {
		l.down[name] = true
		l.replicaLists[name] = nil
	}
	l.inFlight = nil
	l.run(500 * time.Millisecond)
	for i, name := range l.order {
		l.boot(name, false)
		l.step(name, Tick{})
		l.run(time.Duration(i%3) * 10 * time.Millisecond)
	}
	back := l.now
	ready := func() bool {
		for _, name := range l.order {
			if l.nodes[name].Snapshot() == nil || l.nodes[name].serving.reason != "" || l.replicaLists[name] == nil {
				return false
			}
		}
		return true
	}
	for !ready() {
		if l.run(10 * time.Millisecond); l.now-back > 300*time.Millisecond {
			t.Fatalf("not serving %s after the last start", l.now-back)
		}
	}
}

func TestFewNodesReadTheListWhenAllStart(t *testing.T) {
	l := newLab(t, 40)
	l.list = []router.Instance{{ID: "i1", Service: "o"}}
	l.run(900 * time.Millisecond)
	sum := 0
	for _, n := range l.lists {
		sum += n
	}
	for _, name := range l.order {
		if l.replicaLists[name] == nil {
			t.Errorf("%s knows no replicas", name)
		}
	}
	if sum > 20 {
		t.Errorf("%d reads of the list by %d nodes", sum, len(l.order))
	}
}

// TestNodesThatWereToldToEndRejoinWhileTheirSeedsAreDown guards against a fault found in review (case CONFIG of review/2): core
// nodes that shut down gracefully came back knowing only seeds that were down. No node contacted a member that had left, and after the
// second restart there was no majority of voters any more.
func TestNodesThatWereToldToEndRejoinWhileTheirSeedsAreDown(t *testing.T) {
	l := newLab(t, 8)
	l.run(3 * time.Second)
	if a := l.write("n4", "x"); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.seeds = []string{"n5", "n6", "n7"}
	for _, seed := range l.seeds {
		l.down[seed] = true
	}
	l.run(3 * time.Second)
	for _, name := range []string{"n0", "n1", "n2", "n4"} {
		l.step(name, Command{ID: 1, Op: Leave{}})
		l.run(300 * time.Millisecond)
		l.down[name] = true
		l.run(500 * time.Millisecond)
		l.boot(name, false)
		l.run(5 * time.Second)
		if !l.nodes[name].joining.joined {
			t.Errorf("%s has not joined 5 s after its start", name)
		}
	}
	if got := l.read("n4"); got != "x" {
		t.Errorf("read %q", got)
	}
}
