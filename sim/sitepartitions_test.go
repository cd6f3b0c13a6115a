package sim

import (
	"testing"
	"time"
)

// TestRestoredDisksRespectFaultTolerance checks that a disk is restored later if the site tolerates no further loss of core machines.
func TestRestoredDisksRespectFaultTolerance(t *testing.T) {
	w := New(Scenario{Seed: 1, Site: &[]SiteSpec{TramitesSite()}[0]})
	w.Boot()
	w.Run(8 * time.Second)
	s, first, second := w.site, w.Nodes[0], w.Nodes[1]
	s.restoreDisk(first, time.Second)
	s.restoreDisk(second, time.Second+100*time.Millisecond)
	bothAlive := func() bool { return first.Alive && second.Alive }
	for range 300 {
		w.Run(w.Now + 50*time.Millisecond)
		if !first.Alive && !second.Alive {
			t.Fatalf("at %s: two of three core machines are down, at most one may be", w.Now)
		}
	}
	if !bothAlive() || first.incarnation < 2 || second.incarnation < 2 {
		t.Errorf("incarnations %d and %d: a disk was never restored", first.incarnation, second.incarnation)
	}
}
