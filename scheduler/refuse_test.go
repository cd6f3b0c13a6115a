package scheduler

import (
	"testing"
	"time"
)

func TestNoReplicasMeansRetryLater(t *testing.T) {
	m := queueing(8, stream)
	m.Replicas[0].Listed, m.Replicas[1].Listed = false, false
	m.Arrive(now, Request{})
	if acts := m.Tick(now); len(acts) != 0 {
		t.Fatalf("%+v, a list may come at any moment", acts)
	}
	d := only(t, m.Tick(now+stream.FirstTokenTarget/5), Reject)
	if d.RetryAfter != time.Second || d.RejectedLate {
		t.Errorf("%+v", d)
	}
}
