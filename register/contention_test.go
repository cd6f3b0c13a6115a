package register

import (
	"fmt"
	"testing"
	"time"
)

// clusterSeeds is the number of seeds of each test in this file.
const clusterSeeds = 50

// urgentBound is how long a change of voters may take under a load of operator requests: well below the 4 s within which a repaired set of
// voters must be complete.
const urgentBound = time.Second

// TestVoterChangeIsNotStarvedByOrders submits an urgent change to one proposer while the others submit orders without pause.
func TestVoterChangeIsNotStarvedByOrders(t *testing.T) {
	for _, competitors := range []int{4, 8} {
		for _, frozen := range []string{"", "c"} {
			t.Run(fmt.Sprintf("%d competitors, frozen %q", competitors, frozen), func(t *testing.T) { checkUrgentChange(t, competitors, frozen) })
		}
	}
}

func checkUrgentChange(t *testing.T, competitors int, frozen string) {
	var times []time.Duration
	for seed := range uint64(clusterSeeds) {
		c := newCluster(seed, 1+competitors)
		c.frozen = frozen
		for _, p := range c.proposers[1:] {
			c.keepBusy(p)
		}
		c.runUntil(300*time.Millisecond + c.randomDuration(0, 100*time.Millisecond))
		elapsed, ended := 4*time.Second, false
		c.submit(c.proposers[0], elapsed, true, func(r Result, duration time.Duration) {
			ended = true
			if r.Err == nil {
				elapsed = duration
			}
		})
		for !ended {
			c.runUntil(c.now + tickInterval)
		}
		times = append(times, elapsed)
		if elapsed > urgentBound {
			t.Errorf("seed %d: the urgent change took %v", seed, elapsed)
		}
	}
	report(t, "urgent change", times)
}

// TestOrdersDoNotStarveInABurst submits ten orders a second at random nodes, with and without a frozen voter among the three.
func TestOrdersDoNotStarveInABurst(t *testing.T) {
	for _, frozen := range []string{"", "c"} {
		t.Run(fmt.Sprintf("frozen %q", frozen), func(t *testing.T) { runBurst(t, frozen) })
	}
}

const (
	// A burst is burstOrders orders at intervals of burstInterval.
	burstOrders   = 60
	burstInterval = 100 * time.Millisecond
	// mostOrdersBound is the time within which 99 of 100 orders of a burst must be confirmed: most reach a proposer that was idle.
	mostOrdersBound = 100 * time.Millisecond
	// orderBound is the time within which every order must be confirmed, evacuationTimeout the deadline of an evacuation.
	orderBound        = 4 * time.Second
	evacuationTimeout = 850 * time.Millisecond
	// evacuationRatio is the ratio of the evacuations during a burst that must be confirmed within a second.
	evacuationRatio = 0.98
)

func runBurst(t *testing.T, frozen string) {
	var s burstReport
	for seed := range uint64(clusterSeeds) {
		s.play(t, seed, frozen)
	}
	report(t, "order of a burst", s.orders)
	report(t, "evacuation during a burst", s.evacuations)
	t.Logf("%d of %d evacuations were not confirmed within a second", s.failed, len(s.evacuations))
	if slowest := quantile(s.orders, 0.99); slowest > mostOrdersBound {
		t.Errorf("the 99th percentile of the orders is %v", slowest)
	}
	if float64(s.failed) > (1-evacuationRatio)*float64(len(s.evacuations)) {
		t.Error("too many evacuations were not confirmed within a second")
	}
}

// burstReport has the durations of orders and evacuations in bursts, and the number of evacuations that failed or took more than a second.
type burstReport struct {
	orders, evacuations []time.Duration
	failed              int
}

func (s *burstReport) play(t *testing.T, seed uint64, frozen string) {
	t.Helper()
	c := newCluster(seed, 8)
	c.frozen = frozen
	for range burstOrders {
		c.submit(c.proposers[c.rng.IntN(8)], orderBound, false, func(r Result, elapsed time.Duration) {
			if r.Err != nil {
				t.Errorf("seed %d: an order ended with %v after %v", seed, r.Err, elapsed)
			}
			s.orders = append(s.orders, elapsed)
		})
		if c.rng.IntN(10) == 0 {
			c.after(c.randomDuration(0, burstInterval), func() { s.evacuate(c) })
		}
		c.runUntil(c.now + burstInterval)
	}
	c.runUntil(c.now + 5*time.Second)
}

func (s *burstReport) evacuate(c *cluster) {
	c.submit(c.proposers[c.rng.IntN(8)], evacuationTimeout, false, func(r Result, elapsed time.Duration) {
		if r.Err != nil || elapsed > time.Second {
			s.failed++
		}
		s.evacuations = append(s.evacuations, elapsed)
	})
}

// concurrentOrdersBound is the time within which each of eight orders that are submitted together must be confirmed.
const concurrentOrdersBound = time.Second

// TestEightConcurrentOrdersAreConfirmedSoon submits an order to each of eight proposers at the same time.
func TestEightConcurrentOrdersAreConfirmedSoon(t *testing.T) {
	var times []time.Duration
	for seed := range uint64(clusterSeeds) {
		c := newCluster(seed, 8)
		for _, p := range c.proposers {
			c.submit(p, orderBound, false, func(r Result, elapsed time.Duration) {
				if r.Err != nil {
					t.Errorf("seed %d: an order ended with %v after %v", seed, r.Err, elapsed)
				}
				times = append(times, elapsed)
			})
		}
		c.runUntil(5 * time.Second)
	}
	report(t, "one of eight orders", times)
	if slowest := quantile(times, 1); slowest > concurrentOrdersBound {
		t.Errorf("an order took %v", slowest)
	}
}
