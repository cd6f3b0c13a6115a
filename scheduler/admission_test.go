package scheduler

import (
	"slices"
	"testing"
	"time"
)

// fillReplicas reports all replicas as full, with as many requests in their queues as they accept.
func fillReplicas(s *Scheduler, at time.Duration) {
	s.RecordControlContact(at, "")
	for i := range s.Replicas {
		s.ReportLoadFromResponse(at+responseLoadAge, i, s.Replicas[i].Capacity+queueMargin(s.Replicas[i].Capacity))
	}
}

// TestFirstAttemptsAndRetriesWaitAlike compares a request that a replica refused with a new one that has the same
// deadline, while all replicas are full. Both clients have the same time left, so both requests wait equally long.
func TestFirstAttemptsAndRetriesWaitAlike(t *testing.T) {
	class := routeClass
	class.Timeout = 4 * time.Second
	s := queueingScheduler(8, class)
	refused, p := sendRequest(t, s, now)
	s.Services[0].retryBudget.tokens = 4
	s.EndAttempt(now, refused, p.Attempt, Refused)
	fillReplicas(s, now)
	fresh := s.Arrive(now, Request{})
	wantActions(t, s.Tick(now))
	rejectedAt := map[int]time.Duration{}
	for at := now; at <= now+4*time.Second; at += queuePollInterval {
		fillReplicas(s, at)
		for _, a := range s.Tick(at) {
			if a.Kind != Reject {
				t.Fatalf("%+v, want Reject", a)
			}
			rejectedAt[a.Request] = at - now
		}
	}
	difference := (rejectedAt[fresh] - rejectedAt[refused]).Abs()
	if difference > 100*ms || rejectedAt[fresh] < 3*time.Second {
		t.Errorf("rejected after %v, the refused request after %v; want about the same time, close to the deadline at 4s", rejectedAt[fresh], rejectedAt[refused])
	}
}

// TestRequestThatCannotBeAnsweredInTimeIsRejectedAtOnce covers clients that leave before the expected first token.
func TestRequestThatCannotBeAnsweredInTimeIsRejectedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name            string
		silence, client time.Duration
		tokens          int
		queuedElsewhere int
		want            ActionKind
	}{
		{"20 s of prompt, the client waits for 2 s", 0, 2 * time.Second, 100000, 0, Reject},
		{"1 s of prompt, the client waits for 2 s", 0, 2 * time.Second, 5000, 0, Place},
		{"replicas are full for 3 s, the client waits for 2 s", 0, 2 * time.Second, 0, 48, Reject},
		{"replicas are full for 3 s, the client ends silent streams after 2 s", 2 * time.Second, 15 * time.Second, 0, 48, Reject},
		{"replicas are full for 3 s, the client waits for 15 s", 0, 15 * time.Second, 0, 48, 0},
	} {
		class := routeClass
		class.Timeout, class.SilenceTimeout = 15*time.Second, c.silence
		s := queueingScheduler(8, class)
		if c.queuedElsewhere > 0 {
			for i := range s.Replicas {
				s.ReportLoadFromResponse(now, i, 8+c.queuedElsewhere)
			}
		}
		s.Arrive(now, Request{TailTokens: c.tokens, ClientTimeout: c.client})
		var got ActionKind
		for _, a := range s.Tick(now) {
			got = a.Kind
		}
		if got != c.want {
			t.Errorf("%s: action %d, want %d", c.name, got, c.want)
		}
	}
}

// TestReplicaQueuesAreUsedBeforeWaiting checks that neither a new request nor a retry waits here while a replica accepts
// requests in its own queue.
func TestReplicaQueuesAreUsedBeforeWaiting(t *testing.T) {
	for _, retry := range []bool{false, true} {
		s := queueingScheduler(8, routeClass)
		if retry {
			id, p := sendRequest(t, s, now)
			s.Services[0].retryBudget.tokens = 4
			s.EndAttempt(now, id, p.Attempt, Refused)
		}
		for i := range s.Replicas {
			s.ReportLoadFromResponse(now, i, 8)
		}
		if !retry {
			s.Arrive(now, Request{})
		}
		wantActions(t, s.Tick(now), Place)
	}
}

// TestBackoffEndsOnlyForRequestsThatCannotWait checks that requests wait for the end of a backoff if their clients do,
// and that the replica is used before it otherwise, for first attempts and retries alike.
func TestBackoffEndsOnlyForRequestsThatCannotWait(t *testing.T) {
	for _, c := range []struct {
		client, backoff time.Duration
		placed          bool
	}{
		{3 * time.Second, time.Second, false},
		{900 * ms, time.Second, true},
	} {
		for _, retry := range []bool{false, true} {
			s := queueingScheduler(8, routeClass)
			id := s.Arrive(now, Request{ClientTimeout: c.client})
			if retry {
				p := wantActions(t, s.Tick(now), Place)
				s.AuthorizeSend(now, id, p.Attempt)
				s.Tick(now)
				s.Services[0].retryBudget.tokens = 4
				s.EndAttempt(now, id, p.Attempt, Refused)
			}
			for i := range s.Replicas {
				s.Replicas[i].BackoffUntil = now + c.backoff
			}
			if placed := len(s.Tick(now)) == 1; placed != c.placed {
				t.Errorf("client waits %v, retry %v: placed %v, want %v", c.client, retry, placed, c.placed)
			}
		}
	}
}

// TestWarmingReplicaIsAwaitedAsAnyOther checks that the rate limit of a warming replica delays a request as long as its
// client waits.
func TestWarmingReplicaIsAwaitedAsAnyOther(t *testing.T) {
	s := queueingScheduler(8, routeClass)
	s.Replicas[1].Listed = false
	s.Services[0].WarmupRate = 1
	s.ExtendWarmup(0, now+time.Minute)
	s.Recompute(now)
	s.Replicas[0].nextWarmupStart = now + 2*time.Second
	waiting := s.Arrive(now, Request{})
	s.Arrive(now, Request{ClientTimeout: time.Second})
	if d := wantActions(t, s.Tick(now), Reject); d.Request == waiting {
		t.Error("rejected although its client waits longer than the warm-up limit")
	}
}

// TestNoRequestWaitsDuringShutdown checks that neither new nor waiting requests stay queued at a router that is shutting
// down, although their clients would wait: other routers can take them now, and this one may end before they are answered.
func TestNoRequestWaitsDuringShutdown(t *testing.T) {
	s := queueingScheduler(8, routeClass)
	fillReplicas(s, now)
	s.Arrive(now, Request{})
	wantActions(t, s.Tick(now))
	s.StopQueueing()
	s.Arrive(now, Request{})
	for _, d := range s.Tick(now + ms) {
		if d.Kind != Reject || d.RetryAfter != MinRetryAfter {
			t.Errorf("%+v, want Reject with RetryAfter %v", d, MinRetryAfter)
		}
	}
	if len(s.queued) > 0 {
		t.Errorf("%d requests still wait", len(s.queued))
	}
	s.ReportLoadFromResponse(now+4*ms, 0, 0)
	s.Arrive(now+2*ms, Request{})
	wantActions(t, s.Tick(now+2*ms), Place)
}

// TestNoRequestWaitsDuringShutdownUntilItMayBeServed is TestNoRequestWaitsDuringShutdown for a router that has left.
func TestNoRequestWaitsDuringShutdownUntilItMayBeServed(t *testing.T) {
	s := queueingScheduler(8, routeClass)
	s.RecordControlContact(now, "node has left")
	s.Arrive(now, Request{})
	wantActions(t, s.Tick(now))
	s.StopQueueing()
	if d := wantActions(t, s.Tick(now+ms), Reject); d.RetryAfter != MinRetryAfter {
		t.Errorf("RetryAfter %v, want %v", d.RetryAfter, MinRetryAfter)
	}
}

// TestQueueIsOrderedByUrgencyThenDueTime lets requests of three classes wait for one slot. How long one has waited gives
// it no other place than its due time does.
func TestQueueIsOrderedByUrgencyThenDueTime(t *testing.T) {
	patient, hurried, urgent := routeClass, routeClass, routeClass
	patient.FirstTokenTarget, hurried.FirstTokenTarget = 3200*ms, 1200*ms
	urgent.FirstTokenTarget, urgent.Urgency = 8*time.Second, 2
	s := queueingScheduler(1, patient, hurried, urgent)
	s.Replicas[1].Listed, s.Services[0].holdTime = false, 20*ms
	want := []int{3, 2, 0, 1}
	ids := map[int]int{}
	for i, arrival := range []struct {
		class int
		at    time.Duration
	}{{0, 0}, {0, 150 * ms}, {1, 200 * ms}, {2, 220 * ms}} {
		fillReplicas(s, now+arrival.at)
		ids[s.Arrive(now+arrival.at, Request{Class: arrival.class})] = i
		wantActions(t, s.Tick(now+arrival.at))
	}
	var got []int
	for at := now + 230*ms; len(got) < len(want) && at < now+time.Second; at += 10 * ms {
		s.RecordControlContact(at, "")
		s.ReportLoadFromResponse(at+responseLoadAge, 0, 0)
		s.Replicas[0].BackoffUntil = 0
		for _, p := range s.Tick(at) {
			if p.Kind == Place {
				got = append(got, ids[p.Request])
				s.EndAttempt(at, p.Request, p.Attempt, NotSent)
				s.ClientDisconnected(at, p.Request)
			}
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("placed in the order %v of their arrivals, want %v", got, want)
	}
}

// TestRejectionIsLateIfTheRequestHadWaited checks which rejections count as late, for short and long targets: those that a
// client had to wait for.
func TestRejectionIsLateIfTheRequestHadWaited(t *testing.T) {
	for _, target := range []time.Duration{ms, time.Minute} {
		for _, wait := range []time.Duration{0, 500 * ms} {
			class := routeClass
			class.FirstTokenTarget = target
			s := queueingScheduler(8, class)
			fillReplicas(s, now)
			s.Arrive(now-wait, Request{})
			if wait > 0 {
				s.RecordControlContact(now-wait, "")
				wantActions(t, s.Tick(now-wait))
				s.RecordControlContact(now, "")
			}
			s.StopQueueing()
			if d := wantActions(t, s.Tick(now), Reject); d.RejectedLate != (wait > 0) {
				t.Errorf("target %v: rejected after %v, late %v", target, wait, d.RejectedLate)
			}
		}
	}
}
