package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"
)

func newTestScheduler(capacity int, classes ...RequestClass) *Scheduler {
	s := New(Defaults("n1", "a"))
	service := s.AddService(Service{Name: "o", Classes: classes, RetryRatio: 0.2, RetryAllowance: 4, BaseLatency: 50 * time.Millisecond, LatencyPerToken: 200 * time.Microsecond, CrossZoneCost: 1})
	for i := range 2 {
		zone := string(rune('a' + i))
		r := s.AddReplica(Replica{Name: "r" + zone, Service: service, Zone: zone, SameZone: i == 0, Capacity: capacity, Listed: true, Up: true, Warm: true}, 1000)
		s.Services[service].Replicas = append(s.Services[service].Replicas, r)
	}
	s.SetRouters(0, []RouterZone{{"n1", "a"}})
	s.RecordControlContact(3*time.Second, "")
	s.Tick(3 * time.Second)
	return s
}

var idempotentClass, onceClass = RequestClass{Value: 1, Urgency: 1, FirstTokenTarget: time.Second, Idempotent: true}, RequestClass{Value: 1, Urgency: 1, FirstTokenTarget: time.Second}

const now = 3 * time.Second

func wantActions(t *testing.T, actions []Action, kinds ...ActionKind) Action {
	t.Helper()
	if len(actions) != len(kinds) {
		t.Fatalf("%+v, want kinds %v", actions, kinds)
	}
	var a Action
	for i, k := range kinds {
		if actions[i].Kind != k {
			t.Fatalf("%+v, want kinds %v", actions, kinds)
		}
		a = actions[i]
	}
	return a
}

func TestOneAttemptOnceBytesMayHaveLeft(t *testing.T) {
	for _, end := range []AttemptResult{Failed, Refused} {
		s := newTestScheduler(4, onceClass)
		id := s.Arrive(now, Request{})
		p := wantActions(t, s.Tick(now), Place)
		s.AuthorizeSend(now, id, p.Attempt)
		wantActions(t, s.Tick(now), Send)
		s.EndAttempt(now, id, p.Attempt, end)
		if a := wantActions(t, s.Tick(now), Unknown); a.RetryAfter != 0 {
			t.Error("a request that may have run has a RetryAfter")
		}
	}
	s := newTestScheduler(4, onceClass)
	id := s.Arrive(now, Request{})
	p := wantActions(t, s.Tick(now), Place)
	s.EndAttempt(now, id, p.Attempt, NotSent)
	if q := wantActions(t, s.Tick(now), Place); q.Replica == p.Replica {
		t.Error("placed at the replica that could not be reached")
	}
}

func TestRequestThatMayHaveRunIsNeverRejected(t *testing.T) {
	s := newTestScheduler(4, idempotentClass)
	s.Services[0].retryBudget.tokens = 1
	id := s.Arrive(now, Request{})
	p := wantActions(t, s.Tick(now), Place)
	s.AuthorizeSend(now, id, p.Attempt)
	s.Tick(now)
	s.EndAttempt(now, id, p.Attempt, Failed)
	wantActions(t, s.Tick(now), Place)
	s.Replicas[0].Listed, s.Replicas[1].Listed = false, false
	s.AuthorizeSend(now, id, s.Requests.rows[id].Attempt)
	wantActions(t, s.Tick(now), CancelBeforeSend)
	wantActions(t, s.Tick(now+2*time.Second), Unknown)
}

func TestQueuedPlacementIsRecheckedAtSending(t *testing.T) {
	for name, invalidate := range map[string]func(s *Scheduler){
		"draining":            func(s *Scheduler) { s.Replicas[0].Draining = true },
		"evacuated":           func(s *Scheduler) { s.Replicas[0].Evacuated = true },
		"down":                func(s *Scheduler) { s.Replicas[0].Up = false },
		"stale configuration": func(s *Scheduler) { s.controlContactAt = now - 2*time.Second },
		"not serving":         func(s *Scheduler) { s.notServingReason = "no contact with other nodes" },
	} {
		s := newTestScheduler(4, onceClass)
		id := s.Arrive(now, Request{})
		p := wantActions(t, s.Tick(now), Place)
		invalidate(s)
		s.AuthorizeSend(now, id, p.Attempt)
		if actions := s.Tick(now); actions[0].Kind != CancelBeforeSend {
			t.Errorf("%s: the request was sent all the same: %+v", name, actions)
		}
	}
}

func TestQueueOrderAndEarlyRejection(t *testing.T) {
	low := RequestClass{Value: 1, Urgency: 1, FirstTokenTarget: 2 * time.Second}
	high := RequestClass{Value: 10, Urgency: 3, FirstTokenTarget: 2 * time.Second}
	s := newTestScheduler(1, low, high)
	s.Replicas[1].Listed = false
	first := s.Arrive(now, Request{Class: 0})
	p := wantActions(t, s.Tick(now), Place)
	s.AuthorizeSend(now, first, p.Attempt)
	wantActions(t, s.Tick(now), Send)
	slow, fast := s.Arrive(now, Request{Class: 0}), s.Arrive(now, Request{Class: 1})
	wantActions(t, s.Tick(now), PollWitnesses, PollWitnesses)
	s.EndAttempt(now, first, p.Attempt, Completed)
	actions := s.Tick(now)
	if a := wantActions(t, actions, Done, Place); a.Request != fast || a.Request == slow {
		t.Errorf("the request with the lower priority was placed first: %+v", a)
	}
	for range 8 {
		s.Arrive(now, Request{Class: 0})
	}
	rejected := 0
	for _, a := range s.Tick(now) {
		if a.Kind == Reject {
			rejected++
			if a.RejectedLate || a.RetryAfter < time.Second {
				t.Errorf("rejected late or with too short a RetryAfter: %+v", a)
			}
		}
	}
	if rejected < 4 {
		t.Errorf("only %d of 9 were rejected at once, although one slot becomes free every 0.5 s", rejected)
	}
}

func TestRetriesKeepTheirRatioOverAnyWindow(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	p := retryBudget{}
	p.configure(0.2, 6)
	var firstAttempts, retries []int
	for at := range 20000 {
		if rng.IntN(1+at/2000%3) == 0 {
			p.earn()
			firstAttempts = append(firstAttempts, at)
		}
		if rng.IntN(2) == 0 && p.spend() {
			retries = append(retries, at)
		}
	}
	for from := 0; from < 20000; from += 37 {
		for _, span := range []int{1, 10, 100, 1000} {
			if s, f := countWithin(retries, from, span), countWithin(firstAttempts, from, span); float64(s) > 0.2*float64(f)+6+1e-9 {
				t.Fatalf("%d retries for %d first attempts in [%d, +%d)", s, f, from, span)
			}
		}
	}
}

// countWithin returns how many of the times are in [from, from+span).
func countWithin(times []int, from, span int) int {
	n := 0
	for _, at := range times {
		if at >= from && at < from+span {
			n++
		}
	}
	return n
}

func TestLoadIsNotCountedTwice(t *testing.T) {
	r := Replica{Capacity: 8}
	r.attemptStarted(10 * time.Second)
	r.attemptStarted(12 * time.Second)
	r.report(11*time.Second, 3)
	if r.load() != 4 {
		t.Errorf("load %d, want 4: the report's 3 include one local attempt, and another began later", r.load())
	}
	r.attemptEnded(13*time.Second, 10*time.Second)
	if r.load() != 3 {
		t.Errorf("load %d after an attempt that the report includes ended", r.load())
	}
	r.attemptEnded(14*time.Second, 12*time.Second)
	if r.load() != 2 {
		t.Errorf("load %d after the later attempt ended", r.load())
	}
	r.report(9*time.Second, 8)
	if r.load() != 2 {
		t.Error("an older report replaced a newer one")
	}
}

func TestFailedReplicaIsInSlowStartUntilItsReport(t *testing.T) {
	s := newTestScheduler(8, onceClass)
	s.Services[0].SlowStart, s.Services[0].WarmupCapacity = 8*time.Second, 1
	s.Replicas[0].effectiveCapacity, s.Replicas[1].effectiveCapacity = -1, -1
	id := s.Arrive(now, Request{})
	p := wantActions(t, s.Tick(now), Place)
	s.EndAttempt(now, id, p.Attempt, NotSent)
	s.Tick(now)
	if n := s.freeSlots(now+time.Second, p.Replica); n > 1 {
		t.Errorf("%d free slots at a replica that may have restarted", n)
	}
	s.ConfirmInstance(now-time.Second, now, p.Replica)
	if n := s.freeSlots(now+time.Second, p.Replica); n > 1 {
		t.Errorf("%d free slots after a report from before the failure", n)
	}
	s.ConfirmInstance(now+500*time.Millisecond, -time.Hour, p.Replica)
	if n := s.freeSlots(now+time.Second, p.Replica); n != 8 {
		t.Errorf("%d of 8 free slots after a report of the same instance", n)
	}
}

func TestRequestSeenElsewhereIsSuppressed(t *testing.T) {
	s := newTestScheduler(1, onceClass)
	first, second := s.Arrive(now, Request{}), 0
	p := wantActions(t, s.Tick(now), Place)
	s.AuthorizeSend(now, first, p.Attempt)
	wantActions(t, s.Tick(now), Send)
	s.RejectDuplicate(now, first)
	if actions := s.Tick(now); len(actions) > 0 {
		t.Errorf("rejected after it was sent: %+v", actions)
	}
	for i := range s.Replicas {
		s.Replicas[i].LocalRunning = s.Replicas[i].share
	}
	second = s.Arrive(now, Request{})
	wantActions(t, s.Tick(now), PollWitnesses)
	s.RejectDuplicate(now, second)
	if d := wantActions(t, s.Tick(now), Reject); !d.Duplicate || len(s.queued) > 0 {
		t.Errorf("rejected as a duplicate: %+v, %d still queued", d, len(s.queued))
	}
}
