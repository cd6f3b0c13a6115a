package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"
)

func market(capacity int, classes ...RequestClass) *Scheduler {
	m := New(Defaults("n1", "a"))
	o := m.AddService(Service{Name: "o", Classes: classes, RetryRatio: 0.2, RetryAllowance: 4, BaseLatency: 50 * time.Millisecond, LatencyPerToken: 200 * time.Microsecond, CrossZoneCost: 1})
	for i := range 2 {
		dom := string(rune('a' + i))
		r := m.AddReplica(Replica{Name: "r" + dom, Service: o, Zone: dom, SameZone: i == 0, Capacity: capacity, Listed: true, Up: true, Warm: true}, 1000)
		m.Services[o].Replicas = append(m.Services[o].Replicas, r)
	}
	m.SetRouters(0, []RouterZone{{"n1", "a"}})
	m.RecordControlContact(3*time.Second, "")
	m.Tick(3 * time.Second)
	return m
}

var again, once = RequestClass{Value: 1, Urgency: 1, FirstTokenTarget: time.Second, Idempotent: true}, RequestClass{Value: 1, Urgency: 1, FirstTokenTarget: time.Second}

const now = 3 * time.Second

func only(t *testing.T, acts []Action, classes ...ActionKind) Action {
	t.Helper()
	if len(acts) != len(classes) {
		t.Fatalf("%+v, want kinds %v", acts, classes)
	}
	var a Action
	for i, k := range classes {
		if acts[i].Kind != k {
			t.Fatalf("%+v, want kinds %v", acts, classes)
		}
		a = acts[i]
	}
	return a
}

func TestOneAttemptOnceBytesMayHaveLeft(t *testing.T) {
	for _, end := range []AttemptResult{Failed, Refused} {
		m := market(4, once)
		id := m.Arrive(now, Request{})
		p := only(t, m.Tick(now), Place)
		m.AuthorizeSend(now, id, p.Attempt)
		only(t, m.Tick(now), Send)
		m.EndAttempt(now, id, p.Attempt, end)
		if a := only(t, m.Tick(now), Unknown); a.RetryAfter != 0 {
			t.Error("a request that may have run is invited to come back")
		}
	}
	m := market(4, once)
	id := m.Arrive(now, Request{})
	p := only(t, m.Tick(now), Place)
	m.EndAttempt(now, id, p.Attempt, NotSent)
	if q := only(t, m.Tick(now), Place); q.Replica == p.Replica {
		t.Error("placed on the replica that was not reached")
	}
}

func TestRequestThatMayHaveRunIsNeverRejected(t *testing.T) {
	m := market(4, again)
	m.Services[0].retryBudget.tokens = 1
	id := m.Arrive(now, Request{})
	p := only(t, m.Tick(now), Place)
	m.AuthorizeSend(now, id, p.Attempt)
	m.Tick(now)
	m.EndAttempt(now, id, p.Attempt, Failed)
	only(t, m.Tick(now), Place)
	m.Replicas[0].Listed, m.Replicas[1].Listed = false, false
	m.AuthorizeSend(now, id, m.Requests.rows[id].Attempt)
	only(t, m.Tick(now), CancelBeforeSend)
	only(t, m.Tick(now+2*time.Second), Unknown)
}

func TestQueuedPlacementIsRecheckedAtSending(t *testing.T) {
	for name, spoil := range map[string]func(m *Scheduler){
		"leaving": func(m *Scheduler) { m.Replicas[0].Draining = true },
		"emptied": func(m *Scheduler) { m.Replicas[0].Evacuated = true },
		"down":    func(m *Scheduler) { m.Replicas[0].Up = false },
		"stale":   func(m *Scheduler) { m.fedAt = now - 2*time.Second },
		"away":    func(m *Scheduler) { m.notServing = "heard by nobody" },
	} {
		m := market(4, once)
		id := m.Arrive(now, Request{})
		p := only(t, m.Tick(now), Place)
		spoil(m)
		m.AuthorizeSend(now, id, p.Attempt)
		if acts := m.Tick(now); acts[0].Kind != CancelBeforeSend {
			t.Errorf("%s: %+v", name, acts)
		}
	}
}

func TestQueueOrderAndEarlyRejection(t *testing.T) {
	low := RequestClass{Value: 1, Urgency: 1, FirstTokenTarget: 2 * time.Second}
	high := RequestClass{Value: 10, Urgency: 3, FirstTokenTarget: 2 * time.Second}
	m := market(1, low, high)
	m.Replicas[1].Listed = false
	first := m.Arrive(now, Request{Class: 0})
	p := only(t, m.Tick(now), Place)
	m.AuthorizeSend(now, first, p.Attempt)
	only(t, m.Tick(now), Send)
	slow, fast := m.Arrive(now, Request{Class: 0}), m.Arrive(now, Request{Class: 1})
	only(t, m.Tick(now), PollWitnesses, PollWitnesses)
	m.EndAttempt(now, first, p.Attempt, Completed)
	acts := m.Tick(now)
	if a := only(t, acts, Done, Place); a.Request != fast || a.Request == slow {
		t.Errorf("the lower bid won: %+v", a)
	}
	for range 8 {
		m.Arrive(now, Request{Class: 0})
	}
	denied := 0
	for _, a := range m.Tick(now) {
		if a.Kind == Reject {
			denied++
			if a.RejectedLate || a.RetryAfter < time.Second {
				t.Errorf("%+v", a)
			}
		}
	}
	if denied < 4 {
		t.Errorf("only %d of 9 were denied at once though one slot frees each half second", denied)
	}
}

func TestRetriesKeepTheirRatioOverAnyWindow(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	p := retryBudget{}
	p.configure(0.2, 6)
	var firsts, seconds []int
	for at := range 20000 {
		if rng.IntN(1+at/2000%3) == 0 {
			p.earn()
			firsts = append(firsts, at)
		}
		if rng.IntN(2) == 0 && p.spend() {
			seconds = append(seconds, at)
		}
	}
	for from := 0; from < 20000; from += 37 {
		for _, span := range []int{1, 10, 100, 1000} {
			if s, f := countWithin(seconds, from, span), countWithin(firsts, from, span); float64(s) > 0.2*float64(f)+6+1e-9 {
				t.Fatalf("%d seconds for %d firsts in [%d, +%d)", s, f, from, span)
			}
		}
	}
}

// countWithin counts the times from one on, in a span.
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
	r.attemptBegan(10 * time.Second)
	r.attemptBegan(12 * time.Second)
	r.report(11*time.Second, 3)
	if r.load() != 4 {
		t.Errorf("%d: of the report's three one is ours, and one of ours began later", r.load())
	}
	r.attemptEnded(13*time.Second, 10*time.Second)
	if r.load() != 3 {
		t.Errorf("%d after one that the report counts ended", r.load())
	}
	r.attemptEnded(14*time.Second, 12*time.Second)
	if r.load() != 2 {
		t.Errorf("%d after the later one ended", r.load())
	}
	r.report(9*time.Second, 8)
	if r.load() != 2 {
		t.Error("an older report came into force")
	}
}

func TestFailedReplicaIsWarmingUpUntilItsReport(t *testing.T) {
	m := market(8, once)
	m.Services[0].SlowStart, m.Services[0].WarmupCapacity = 8*time.Second, 1
	m.Replicas[0].effectiveSlots, m.Replicas[1].effectiveSlots = -1, -1
	id := m.Arrive(now, Request{})
	p := only(t, m.Tick(now), Place)
	m.EndAttempt(now, id, p.Attempt, NotSent)
	m.Tick(now)
	if n := m.freeSlots(now+time.Second, p.Replica); n > 1 {
		t.Errorf("%d goes at once for a replica that may have restarted", n)
	}
	m.ConfirmInstance(now-time.Second, now, p.Replica)
	if n := m.freeSlots(now+time.Second, p.Replica); n > 1 {
		t.Errorf("a report from before cleared it: %d", n)
	}
	m.ConfirmInstance(now+500*time.Millisecond, -time.Hour, p.Replica)
	if n := m.freeSlots(now+time.Second, p.Replica); n != 8 {
		t.Errorf("%d of 8 after a report of the same instance", n)
	}
}

func TestRequestSeenElsewhereIsSuppressed(t *testing.T) {
	m := market(1, once)
	first, second := m.Arrive(now, Request{}), 0
	p := only(t, m.Tick(now), Place)
	m.AuthorizeSend(now, first, p.Attempt)
	only(t, m.Tick(now), Send)
	m.RejectDuplicate(now, first)
	if acts := m.Tick(now); len(acts) > 0 {
		t.Errorf("withheld after it was sent: %+v", acts)
	}
	for i := range m.Replicas {
		m.Replicas[i].LocalRunning = m.Replicas[i].quota
	}
	second = m.Arrive(now, Request{})
	only(t, m.Tick(now), PollWitnesses)
	m.RejectDuplicate(now, second)
	if d := only(t, m.Tick(now), Reject); !d.Duplicate || len(m.queued) > 0 {
		t.Errorf("%+v, %d wait", d, len(m.queued))
	}
}
