package scheduler

import (
	"testing"
	"time"
)

func TestNoReplicasMeansRetryLater(t *testing.T) {
	s := queueingScheduler(8, routeClass)
	s.Replicas[0].Listed, s.Replicas[1].Listed = false, false
	s.Arrive(now, Request{})
	if actions := s.Tick(now); len(actions) != 0 {
		t.Fatalf("%+v, want none: a replica list may arrive at any moment", actions)
	}
	d := wantActions(t, s.Tick(now+routeClass.FirstTokenTarget/5), Reject)
	if d.RetryAfter != time.Second || d.RejectedLate {
		t.Errorf("rejected late or with another RetryAfter than a second: %+v", d)
	}
}
