package scheduler

import (
	"testing"
	"time"
)

func TestWithoutReplicasUserAgentsComeBackLater(t *testing.T) {
	m := queueing(8, stream)
	m.Reps[0].Listed, m.Reps[1].Listed = false, false
	m.Arrive(now, Ask{})
	if acts := m.Tick(now); len(acts) != 0 {
		t.Fatalf("%+v, a list may come at any moment", acts)
	}
	d := only(t, m.Tick(now+stream.Bound/5), Deny)
	if d.After != time.Second || d.Late {
		t.Errorf("%+v", d)
	}
}
