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
	for _, at := range []time.Duration{0, 500 * ms, RefreshInterval - ms} {
		s.RecordControlContact(now+at, "")
		if actions := s.Tick(now + at); len(actions) != 0 {
			t.Fatalf("%+v, want none: a replica list may arrive at any moment", actions)
		}
	}
	if d := wantActions(t, s.Tick(now+RefreshInterval), Reject); d.RetryAfter != RefreshInterval {
		t.Errorf("RetryAfter %v, want %v: until the next list", d.RetryAfter, RefreshInterval)
	}
}

// TestRetryAfterSaysWhenRoomIsExpected rejects requests for several reasons. RetryAfter depends only on when a replica will
// have room for the client's next attempt.
func TestRetryAfterSaysWhenRoomIsExpected(t *testing.T) {
	single := routeClass
	single.MaxAttempts = 1
	free := func(*Scheduler) {}
	for _, c := range []struct {
		name       string
		begin      func(t *testing.T, s *Scheduler) func()
		room       func(s *Scheduler)
		least, max time.Duration
	}{
		{"no attempts left, free slots", refusedOnce, free, MinRetryAfter, MinRetryAfter},
		{"no attempts left, backoffs", refusedOnce, backOffAll, 700 * ms, 700 * ms},
		{"no attempts left, full", refusedOnce, queueForThreeSeconds, 3 * time.Second, 3100 * ms},
		{"no retry budget, free slots", retryWithoutBudget, free, MinRetryAfter, MinRetryAfter},
		{"client leaves first, full", hurried, queueForThreeSeconds, 3 * time.Second, 3100 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := queueingScheduler(8, single)
			end := c.begin(t, s)
			c.room(s)
			end()
			actions := s.Tick(now)
			if d := actions[len(actions)-1]; d.Kind != Reject || d.RetryAfter < c.least || d.RetryAfter > c.max {
				t.Errorf("%+v, want Reject with a RetryAfter from %v to %v", d, c.least, c.max)
			}
		})
	}
}

func backOffAll(s *Scheduler) {
	for i := range s.Replicas {
		s.Replicas[i].BackoffUntil = now + 700*ms
	}
}

// queueForThreeSeconds reports 48 requests more than each replica's 8 slots, which occupy a slot for 0.5 s each.
func queueForThreeSeconds(s *Scheduler) {
	for i := range s.Replicas {
		s.ReportLoadFromResponse(now+responseLoadAge, i, 8+48)
	}
}

// refusedOnce returns a function that reports that a replica refused a request on its only attempt.
func refusedOnce(t *testing.T, s *Scheduler) func() {
	id, p := sendRequest(t, s, now)
	return func() { s.EndAttempt(now, id, p.Attempt, Refused) }
}

// retryWithoutBudget returns a function that asks to send a retry when the retry budget is spent.
func retryWithoutBudget(t *testing.T, s *Scheduler) func() {
	id := s.Arrive(now, Request{})
	p := wantActions(t, s.Tick(now), Place)
	s.Requests.get(id).Sends = 1
	return func() { s.AuthorizeSend(now, id, p.Attempt) }
}

// hurried returns a function that adds a request whose client waits for 1 s.
func hurried(_ *testing.T, s *Scheduler) func() {
	return func() { s.Arrive(now, Request{ClientTimeout: time.Second}) }
}

// TestRequestThatCannotWaitIsSentToBackedOffReplicaOnce has the replicas' connection limits refuse each attempt before it is
// sent, in a service whose backoffs outlast the clients' time. Such attempts draw on no other limit.
func TestRequestThatCannotWaitIsSentToBackedOffReplicaOnce(t *testing.T) {
	s := queueingScheduler(8, routeClass)
	for i := range s.Replicas {
		s.Replicas[i].BackoffUntil = now + time.Second
	}
	id := s.Arrive(now, Request{ClientTimeout: 900 * ms})
	p := wantActions(t, s.Tick(now), Place)
	s.EndAttempt(now, id, p.Attempt, Refused)
	if d := wantActions(t, s.Tick(now), Reject); d.RetryAfter != time.Second {
		t.Errorf("RetryAfter %v, want 1s: until the backoffs end", d.RetryAfter)
	}
}

// TestExpectedStartAtWarmingReplica checks that a router without a share of a warming replica's starts expects room when the
// warm-up ends, and that a backoff delays every start.
func TestExpectedStartAtWarmingReplica(t *testing.T) {
	s := warmupScheduler(0, 88)
	for i := 0; s.warmupShare(10*time.Second, 0) > 0; i++ {
		s = warmupScheduler(i, 88)
		s.RecordControlContact(10*time.Second, "")
	}
	s.Replicas[0].WarmupUntil = 13 * time.Second
	s.RecordControlContact(10*time.Second, "")
	s.Arrive(10*time.Second, Request{})
	if d := wantActions(t, s.Tick(10*time.Second), Reject); d.RetryAfter != 3*time.Second {
		t.Errorf("RetryAfter %v, want 3s: until the warm-up ends", d.RetryAfter)
	}
	s.Replicas[0].BackoffUntil = 15 * time.Second
	s.Arrive(10*time.Second, Request{})
	if d := wantActions(t, s.Tick(10*time.Second), Reject); d.RetryAfter != 5*time.Second {
		t.Errorf("RetryAfter %v, want 5s: until the backoff ends", d.RetryAfter)
	}
}
