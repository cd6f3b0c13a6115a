package register

import (
	"fmt"
	"testing"
	"time"
)

// clusterSeeds is the number of seeds of each test here.
const clusterSeeds = 50

// urgentBound is how long a change of voters may take behind operators' orders: well within the 4 s in which a repaired set must be whole.
const urgentBound = time.Second

// TestVoterChangeIsNotStarvedByOrders: one proposer with an urgent change against proposers that never rest.
func TestVoterChangeIsNotStarvedByOrders(t *testing.T) {
	for _, rivals := range []int{4, 8} {
		for _, frozen := range []string{"", "c"} {
			t.Run(fmt.Sprintf("%d rivals, frozen %q", rivals, frozen), func(t *testing.T) { urgentAgainst(t, rivals, frozen) })
		}
	}
}

func urgentAgainst(t *testing.T, rivals int, frozen string) {
	var times []time.Duration
	for seed := range uint64(clusterSeeds) {
		c := newCluster(seed, 1+rivals)
		c.frozen = frozen
		for _, p := range c.proposers[1:] {
			c.load(p)
		}
		c.runUntil(300*time.Millisecond + c.between(0, 100*time.Millisecond))
		elapsed, over := 4*time.Second, false
		c.submit(c.proposers[0], elapsed, true, func(r Result, spent time.Duration) {
			over = true
			if r.Err == nil {
				elapsed = spent
			}
		})
		for !over {
			c.runUntil(c.now + ticks)
		}
		times = append(times, elapsed)
		if elapsed > urgentBound {
			t.Errorf("seed %d: %v", seed, elapsed)
		}
	}
	report(t, "urgent change", times)
}

// TestOrdersDoNotStarveInAStorm: ten orders a second at random nodes, while one of three voters may be frozen.
func TestOrdersDoNotStarveInAStorm(t *testing.T) {
	for _, frozen := range []string{"", "c"} {
		t.Run(fmt.Sprintf("frozen %q", frozen), func(t *testing.T) { storm(t, frozen) })
	}
}

const (
	// stormOrders come stormGap apart.
	stormOrders = 60
	stormGap    = 100 * time.Millisecond
	// mostOrdersBound is in which 99 of 100 orders of a storm must be confirmed: most come to a proposer that was idle.
	mostOrdersBound = 100 * time.Millisecond
	// orderBound is in which an order of a storm must be confirmed; evacuationTimeout the deadline of an evacuation.
	orderBound        = 4 * time.Second
	evacuationTimeout = 850 * time.Millisecond
	// evacuationRatio of the evacuations that meet a storm must be confirmed within their second.
	evacuationRatio = 0.98
)

func storm(t *testing.T, frozen string) {
	var s stormReport
	for seed := range uint64(clusterSeeds) {
		s.play(t, seed, frozen)
	}
	report(t, "order of a storm", s.orders)
	report(t, "evacuation in a storm", s.evacuations)
	t.Logf("%d of %d evacuations were not confirmed within a second", s.failed, len(s.evacuations))
	if most := quantile(s.orders, 0.99); most > mostOrdersBound {
		t.Errorf("one order of a hundred took %v", most)
	}
	if float64(s.failed) > (1-evacuationRatio)*float64(len(s.evacuations)) {
		t.Error("too many evacuations were not confirmed within a second")
	}
}

// stormReport is how long orders and evacuations took in storms, and how many evacuations failed or took over a second.
type stormReport struct {
	orders, evacuations []time.Duration
	failed              int
}

func (s *stormReport) play(t *testing.T, seed uint64, frozen string) {
	t.Helper()
	c := newCluster(seed, 8)
	c.frozen = frozen
	for range stormOrders {
		c.submit(c.proposers[c.rng.IntN(8)], orderBound, false, func(r Result, elapsed time.Duration) {
			if r.Err != nil {
				t.Errorf("seed %d: an order ends with %v after %v", seed, r.Err, elapsed)
			}
			s.orders = append(s.orders, elapsed)
		})
		if c.rng.IntN(10) == 0 {
			c.after(c.between(0, stormGap), func() { s.evacuate(c) })
		}
		c.runUntil(c.now + stormGap)
	}
	c.runUntil(c.now + 5*time.Second)
}

func (s *stormReport) evacuate(c *cluster) {
	c.submit(c.proposers[c.rng.IntN(8)], evacuationTimeout, false, func(r Result, elapsed time.Duration) {
		if r.Err != nil || elapsed > time.Second {
			s.failed++
		}
		s.evacuations = append(s.evacuations, elapsed)
	})
}

// atOnceBound is in which each of eight orders that begin together is confirmed.
const atOnceBound = time.Second

// TestEightConcurrentOrdersAreConfirmedSoon: eight proposers begin at the same time.
func TestEightConcurrentOrdersAreConfirmedSoon(t *testing.T) {
	var times []time.Duration
	for seed := range uint64(clusterSeeds) {
		c := newCluster(seed, 8)
		for _, p := range c.proposers {
			c.submit(p, orderBound, false, func(r Result, elapsed time.Duration) {
				if r.Err != nil {
					t.Errorf("seed %d: %v after %v", seed, r.Err, elapsed)
				}
				times = append(times, elapsed)
			})
		}
		c.runUntil(5 * time.Second)
	}
	report(t, "one of eight orders", times)
	if most := quantile(times, 1); most > atOnceBound {
		t.Errorf("an order took %v", most)
	}
}
