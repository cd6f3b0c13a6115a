package scheduler

import (
	"testing"
	"time"
)

// TestNoReplicasMeansRetryLater checks that a request without any replica waits for the next reading of the platform's
// list, and is told when there will be another.
func TestNoReplicasMeansRetryLater(t *testing.T) {
	s := queueingScheduler(8, routeClass)
	s.Replicas[0].Listed, s.Replicas[1].Listed = false, false
	s.Arrive(now, Request{})
	for _, at := range []time.Duration{0, 500 * ms, refreshInterval - ms} {
		s.RecordControlContact(now+at, "")
		if actions := s.Tick(now + at); len(actions) != 0 {
			t.Fatalf("%+v, want none: a replica list may arrive at any moment", actions)
		}
	}
	if d := wantActions(t, s.Tick(now+refreshInterval), Reject); d.RetryAfter != refreshInterval {
		t.Errorf("RetryAfter %v, want %v: until the next list", d.RetryAfter, refreshInterval)
	}
}
