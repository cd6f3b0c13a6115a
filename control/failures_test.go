package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/router"
)

func TestFailuresReachAllNodes(t *testing.T) {
	l := newLab(t, 30)
	l.run(3 * time.Second)
	for i := range uint64(3) {
		l.failures = map[string]router.Failures{}
		want := router.Failures{By: "n7", Rows: []router.Failure{{Replica: "r", N: float64(i + 1)}}}
		l.step("n7", FailuresObserved{want})
		l.run(900 * time.Millisecond)
		missed := 0
		for _, name := range l.order {
			if got := l.failures[name]; name != "n7" && (got.By != "n7" || len(got.Rows) != 1 || got.Rows[0] != want.Rows[0]) {
				missed++
			}
		}
		if missed > 3 {
			t.Errorf("round %d: %d of 29 nodes did not receive the failures", i, missed)
		}
	}
}

// TestListConfirmationsStayOutOfDigests guards against an item that is replaced every second and keeps digests from ever agreeing: each
// difference makes both sides send all versions.
func TestListConfirmationsStayOutOfDigests(t *testing.T) {
	l := newLab(t, 24)
	l.list = []router.Instance{{ID: "i1", Service: "o"}}
	l.run(8 * time.Second)
	l.digests = 0
	l.run(10 * time.Second)
	if l.digests > 24 {
		t.Errorf("%d digests in 10 s without changes", l.digests)
	}
}

func TestRestartedListReaderIsAcceptedAtOnce(t *testing.T) {
	l := newLab(t, 9)
	l.list = []router.Instance{{ID: "i1", Service: "o"}}
	l.run(6 * time.Second)
	reader := ""
	for name, n := range l.lists {
		if reader == "" || n > l.lists[reader] {
			reader = name
		}
	}
	l.down[reader] = true
	l.run(100 * time.Millisecond)
	l.boot(reader, false)
	l.run(2 * time.Second)
	l.lists = map[string]int{}
	l.run(10 * time.Second)
	sum := 0
	for _, n := range l.lists {
		sum += n
	}
	if sum > 14 {
		t.Errorf("%d reads of the list in 10 s: %v", sum, fmt.Sprint(l.lists))
	}
}
