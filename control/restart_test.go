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
		l.rosters[name] = nil
	}
	l.mail = nil
	l.run(500 * time.Millisecond)
	for i, name := range l.order {
		l.boot(name, false)
		l.step(name, Tick{})
		l.run(time.Duration(i%3) * 10 * time.Millisecond)
	}
	back := l.now
	ready := func() bool {
		for _, name := range l.order {
			if l.nodes[name].Snapshot() == nil || l.nodes[name].serving.reason != "" || l.rosters[name] == nil {
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
		if l.rosters[name] == nil {
			t.Errorf("%s knows no replicas", name)
		}
	}
	if sum > 20 {
		t.Errorf("%d readings by %d nodes", sum, len(l.order))
	}
}
