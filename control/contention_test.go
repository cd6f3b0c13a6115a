package control

import (
	"fmt"
	"testing"
	"time"
)

// tick is the interval at which all of the lab's nodes get a Tick.
const tick = 50 * time.Millisecond

// untilTick runs the lab until a Tick has just passed.
func (l *lab) untilTick() {
	for l.now%tick != time.Millisecond {
		l.run(time.Millisecond)
	}
}

// TestPreemptedOrderRetriesBeforeNextTick covers a node whose ballot is old because it was idle, so that its first round is refused.
func TestPreemptedOrderRetriesBeforeNextTick(t *testing.T) {
	l := newLab(t, 8)
	l.run(1500 * time.Millisecond)
	for i := range 5 {
		l.write("n1", fmt.Sprint("first ", i))
	}
	l.untilTick()
	startedAt := l.now
	if a := l.write("n6", "second"); a.Err != nil {
		t.Fatal(a.Err)
	}
	if elapsed := l.now - startedAt; elapsed >= tick-2*time.Millisecond {
		t.Errorf("the request took %v", elapsed)
	}
}

// TestVoterChangeGoesBeforeQueuedOrders checks that a change of the voters overtakes operator requests queued at the same node.
func TestVoterChangeGoesBeforeQueuedOrders(t *testing.T) {
	l := newLab(t, 8)
	l.run(1500 * time.Millisecond)
	const orders = 20
	var last uint64
	for i := range orders {
		l.ids++
		last = l.ids
		text := fmt.Sprint("order ", i)
		l.step("n1", Command{ID: last, Op: Edit{ID: text, Apply: func([]byte) ([]byte, error) { return []byte(text), nil }}})
	}
	if a := l.call("n1", ReplaceVoters{ID: "voters", Names: []string{"n1", "n2", "n3"}}); a.Err != nil {
		t.Fatal(a.Err)
	}
	if _, over := l.answers[last]; over {
		t.Error("the voters changed only after the queued requests")
	}
	l.run(2 * time.Second)
	if a, over := l.answers[last]; !over || a.Err != nil {
		t.Errorf("last request: answered %v, error %v", over, a.Err)
	}
}
