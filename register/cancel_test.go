package register

import (
	"errors"
	"testing"
	"time"
)

const (
	// cancelSeeds is how many seeds the test below plays, cancelChanges how many changes each.
	cancelSeeds   = 40
	cancelChanges = 60
)

// TestCancelledChangeIsNotProposedLater guards against EVAC: a change is executed although its caller has left. Of three proposers under load
// one is told at random moments that its caller has left: the change then ends at once, and one of which it says that nothing was proposed is
// never found in the register.
func TestCancelledChangeIsNotProposedLater(t *testing.T) {
	var all cancelTally
	for seed := range uint64(cancelSeeds) {
		c := newCluster(seed, 3)
		c.load(c.proposers[1])
		c.load(c.proposers[2])
		for range cancelChanges {
			result, id := c.submitAndCancel(t, c.proposers[0])
			c.runUntil(c.now + c.between(0, 200*time.Millisecond))
			_, found := c.newest().AppliedAt(orderName(id))
			if all.count(result) && found {
				t.Fatalf("seed %d: change %d was not proposed by its end, and is in force", seed, id)
			}
		}
	}
	if all.notProposed == 0 || all.unknown == 0 || all.done == 0 {
		t.Errorf("%+v: a kind is missing", all)
	}
	t.Logf("%+v", all)
}

// cancelTally counts how cancelled changes ended.
type cancelTally struct{ notProposed, unknown, done int }

// count tells whether the change ended without having been proposed.
func (a *cancelTally) count(r *Result) bool {
	var none *NoQuorumError
	switch {
	case r.Err == nil:
		a.done++
	case errors.As(r.Err, &none):
		a.notProposed++
		return true
	default:
		a.unknown++
	}
	return false
}

// submitAndCancel has a change's caller leave at a random moment; the change must end by then.
func (c *cluster) submitAndCancel(t *testing.T, p *Proposer) (*Result, uint64) {
	t.Helper()
	var ended *Result
	c.submit(p, 4*time.Second, false, func(r Result, _ time.Duration) { ended = &r })
	id := c.ids
	c.runUntil(c.now + c.between(0, 40*time.Millisecond))
	if ended == nil {
		p.Cancel(c.now, id)
		c.carry(p)
	}
	if ended == nil {
		t.Fatalf("change %d goes on after its caller left", id)
	}
	return ended, id
}

// TestCancelledChangeLeavesTheQueue: a change that waits behind another one is not begun once its caller has left.
func TestCancelledChangeLeavesTheQueue(t *testing.T) {
	c := newCluster(1, 1)
	var first, second *Result
	c.submit(c.proposers[0], time.Second, false, func(r Result, _ time.Duration) { first = &r })
	c.submit(c.proposers[0], time.Second, false, func(r Result, _ time.Duration) { second = &r })
	c.proposers[0].Cancel(c.now, c.ids)
	c.carry(c.proposers[0])
	var none *NoQuorumError
	if second == nil || !errors.As(second.Err, &none) {
		t.Fatalf("the second change ended with %+v", second)
	}
	c.runUntil(time.Second)
	if first == nil || first.Err != nil || first.Value.Version != 1 {
		t.Errorf("the first change ended with %+v", first)
	}
}

// newest gives the value of the highest ballot on any disk.
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
