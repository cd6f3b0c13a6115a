package register

import (
	"errors"
	"testing"
	"time"
)

const (
	// cancelSeeds is the number of seeds of TestCancelledChangeIsNotProposedLater, cancelChanges the number of changes for each seed.
	cancelSeeds   = 40
	cancelChanges = 60
)

// TestCancelledChangeIsNotProposedLater guards against a change that is executed although its client has disconnected (case EVAC of review/3). Two of three
// proposers are under load. Changes at the third are cancelled at random times. They must end at once, and a change that ends as
// not proposed must never be found in the register.
func TestCancelledChangeIsNotProposedLater(t *testing.T) {
	var all cancelTally
	for seed := range uint64(cancelSeeds) {
		c := newCluster(seed, 3)
		c.keepBusy(c.proposers[1])
		c.keepBusy(c.proposers[2])
		for range cancelChanges {
			result, id := c.submitAndCancel(t, c.proposers[0])
			c.runUntil(c.now + c.randomDuration(0, 200*time.Millisecond))
			_, found := c.newest().AppliedAt(orderID(id))
			if all.count(result) && found {
				t.Fatalf("seed %d: change %d ended as not proposed, but was applied", seed, id)
			}
		}
	}
	if all.notProposed == 0 || all.unknown == 0 || all.done == 0 {
		t.Errorf("%+v: one of the outcomes did not occur", all)
	}
	t.Logf("%+v", all)
}

// cancelTally counts the outcomes of cancelled changes.
type cancelTally struct{ notProposed, unknown, done int }

// count adds a result and reports whether the change ended without having been proposed.
func (a *cancelTally) count(r *Result) bool {
	var noQuorum *NoQuorumError
	switch {
	case r.Err == nil:
		a.done++
	case errors.As(r.Err, &noQuorum):
		a.notProposed++
		return true
	default:
		a.unknown++
	}
	return false
}

// submitAndCancel submits a change and cancels it after a random time, unless it has ended. The change must then end at once.
func (c *cluster) submitAndCancel(t *testing.T, p *Proposer) (*Result, uint64) {
	t.Helper()
	var ended *Result
	c.submit(p, 4*time.Second, false, func(r Result, _ time.Duration) { ended = &r })
	id := c.ids
	c.runUntil(c.now + c.randomDuration(0, 40*time.Millisecond))
	if ended == nil {
		p.Cancel(c.now, id)
		c.step(p)
	}
	if ended == nil {
		t.Fatalf("change %d did not end when it was cancelled", id)
	}
	return ended, id
}

// TestCancelledChangeLeavesTheQueue cancels a change that is queued behind another one: it must end at once and never start.
func TestCancelledChangeLeavesTheQueue(t *testing.T) {
	c := newCluster(1, 1)
	var first, second *Result
	c.submit(c.proposers[0], time.Second, false, func(r Result, _ time.Duration) { first = &r })
	c.submit(c.proposers[0], time.Second, false, func(r Result, _ time.Duration) { second = &r })
	c.proposers[0].Cancel(c.now, c.ids)
	c.step(c.proposers[0])
	var noQuorum *NoQuorumError
	if second == nil || !errors.As(second.Err, &noQuorum) {
		t.Fatalf("the second change ended with %+v", second)
	}
	c.runUntil(time.Second)
	if first == nil || first.Err != nil || first.Value.Version != 1 {
		t.Errorf("the first change ended with %+v", first)
	}
}

// newest returns the value with the highest accepted ballot on any disk.
func (c *cluster) newest() *Value {
	var top Ballot
	newest := new(Value)
	for _, d := range c.disks {
		if d.Value != nil && top.Less(d.Accepted) {
			newest, top = d.Value, d.Accepted
		}
	}
	return newest
}
