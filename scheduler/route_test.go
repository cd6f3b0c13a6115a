package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

var routeClass = RequestClass{Value: 1, Urgency: 1, FirstTokenTarget: 800 * ms, MaxAttempts: 2, Timeout: 3 * time.Second}

func queueingScheduler(capacity int, classes ...RequestClass) *Scheduler {
	s := newTestScheduler(capacity, classes...)
	s.Services[0].Queues = true
	s.Recompute(now)
	return s
}

func sendRequest(t *testing.T, s *Scheduler, now time.Duration) (int, Action) {
	t.Helper()
	id := s.Arrive(now, Request{})
	p := wantActions(t, s.Tick(now), Place)
	s.AuthorizeSend(now, id, p.Attempt)
	wantActions(t, s.Tick(now), Send)
	return id, p
}

func TestWarmupRateHoldsOverAllRouters(t *testing.T) {
	for _, n := range []int{12, 88} {
		rng := rand.New(rand.NewPCG(uint64(n), 3))
		var schedulers []*Scheduler
		for i := range n {
			schedulers = append(schedulers, warmupScheduler(i, n))
		}
		var sent []time.Duration
		for at := time.Duration(0); at < 20*time.Second; at += 20 * ms {
			for i, s := range schedulers {
				switch at - time.Duration(i%7)*200*ms {
				case 8 * time.Second:
					s.SetRouters(at, routersInOneZone(n-n/4))
				case 14 * time.Second:
					s.SetRouters(at, routersInOneZone(n))
				}
				sent = append(sent, sendsAt(s, at, rng)...)
			}
		}
		if worst := mostWithin(sent, time.Second-20*ms); worst > 20 || len(sent) < 200 {
			t.Errorf("%d routers: %d starts in a second, limit 20; %d in total", n, worst, len(sent))
		}
	}
}

func routersInOneZone(n int) []RouterZone {
	var routers []RouterZone
	for i := range n {
		routers = append(routers, RouterZone{fmt.Sprint("n", i), "a"})
	}
	return routers
}

// warmupScheduler returns the scheduler of router i of n. It has one warming replica, at which all routers together may
// start 20 requests per second.
func warmupScheduler(i, n int) *Scheduler {
	s := New(Defaults(fmt.Sprint("n", i), "a"))
	class := RequestClass{Value: 1, Urgency: 1, FirstTokenTarget: time.Second, MaxAttempts: 9, Timeout: time.Second}
	service := s.AddService(Service{Name: "o", Classes: []RequestClass{class}, Queues: true, WarmupRate: 20})
	r := Replica{Name: "r", Service: service, Capacity: 1000, Listed: true, Up: true, Warm: true, WarmupUntil: time.Hour}
	s.Services[service].Replicas = append(s.Services[service].Replicas, s.AddReplica(r, 0))
	s.SetRouters(0, routersInOneZone(n))
	return s
}

// sendsAt keeps a few requests queued at a scheduler and returns the times at which it sends some.
func sendsAt(s *Scheduler, at time.Duration, rng *rand.Rand) []time.Duration {
	s.RecordControlContact(at, "")
	if s.Requests.count < 4 {
		s.Arrive(at, Request{})
	}
	var sent []time.Duration
	for _, a := range s.Tick(at) {
		if a.Kind != Place {
			continue
		}
		s.AuthorizeSend(at+time.Duration(rng.IntN(15))*ms, a.Request, a.Attempt)
		for _, b := range s.Tick(at) {
			if b.Kind == Send {
				sent = append(sent, at)
			}
		}
	}
	return sent
}

// mostWithin returns the maximum number of times within any span of that length. times must be sorted.
func mostWithin(times []time.Duration, span time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for times[first] < at-span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestWarmupRateHoldsAtSending(t *testing.T) {
	s := queueingScheduler(8, routeClass)
	s.Replicas[1].Listed = false
	s.Services[0].WarmupRate = 1
	a, b := s.Arrive(now, Request{}), s.Arrive(now, Request{})
	actions := s.Tick(now)
	s.ExtendWarmup(0, now+time.Minute)
	s.Recompute(now)
	s.AuthorizeSend(now+ms, a, actions[0].Attempt)
	wantActions(t, s.Tick(now+ms), Send)
	s.AuthorizeSend(now+2*ms, b, actions[1].Attempt)
	if actions = s.Tick(now + 2*ms); actions[0].Kind != CancelBeforeSend {
		t.Errorf("a second request was sent within the same second: %+v", actions)
	}
	s.ExtendWarmup(0, now)
	if !s.Replicas[0].warmingUp(now + 30*time.Second) {
		t.Error("ExtendWarmup shortened the warm-up")
	}
}

// TestNoRejectionWhileCapacityIsFree fills the replicas and their queues. What arrives then is rejected only if it cannot
// be answered before its client leaves, and that at its arrival.
func TestNoRejectionWhileCapacityIsFree(t *testing.T) {
	s := queueingScheduler(8, routeClass)
	var running []Action
	for range 2 * (8 + queueMargin(8)) {
		s.Arrive(now, Request{})
		running = append(running, wantActions(t, s.Tick(now), Place))
	}
	for _, p := range running {
		s.AuthorizeSend(now, p.Request, p.Attempt)
	}
	s.Tick(now)
	id := s.Arrive(now, Request{})
	wantActions(t, s.Tick(now))
	for _, p := range running[:8] {
		s.EndAttempt(now+200*ms, p.Request, p.Attempt, Completed)
	}
	placed := 0
	for _, a := range s.Tick(now + 200*ms) {
		if a.Kind == Place && a.Request == id {
			placed++
		}
	}
	if placed != 1 {
		t.Errorf("the queued request was placed %d times once a slot was free", placed)
	}
	for range 300 {
		s.Arrive(now+200*ms, Request{})
	}
	if rejected := earlyRejections(t, s, now+200*ms); rejected == 0 || rejected > 250 {
		t.Errorf("%d of 300 rejected at their arrival, %d queued: 16 slots free up every 0.5 s for 3 s", rejected, len(s.queued))
	}
	for _, p := range running[8:16] {
		s.EndAttempt(now+300*ms, p.Request, p.Attempt, Completed)
	}
	if later := earlyRejections(t, s, now+300*ms); later > 0 {
		t.Errorf("%d were kept queued first and rejected 0.1 s later", later)
	}
}

// earlyRejections returns the number of requests rejected at a time. Each rejection must be early and contain a
// RetryAfter.
func earlyRejections(t *testing.T, s *Scheduler, at time.Duration) int {
	t.Helper()
	rejected := 0
	s.RecordControlContact(at, "")
	for _, a := range s.Tick(at) {
		if a.Kind != Reject {
			continue
		}
		rejected++
		if a.RejectedLate || a.RetryAfter < MinRetryAfter {
			t.Errorf("rejected late or with too short a RetryAfter: %+v", a)
		}
	}
	return rejected
}

func TestOldLoadReportsCountLess(t *testing.T) {
	s := queueingScheduler(8, routeClass)
	for i := range s.Replicas {
		s.ReportLoadFromResponse(now, i, 200)
	}
	s.Arrive(now, Request{})
	wantActions(t, s.Tick(now), Reject)
	s.RecordControlContact(now+30*time.Second, "")
	s.Arrive(now+30*time.Second, Request{})
	wantActions(t, s.Tick(now+30*time.Second), Place)
}

func TestSilentReplicaMayAnswerUntilDeadline(t *testing.T) {
	long := routeClass
	long.Timeout = 15 * time.Second
	s := queueingScheduler(8, long)
	sendRequest(t, s, now)
	s.RecordControlContact(now+14*time.Second, "")
	wantActions(t, s.Tick(now+14*time.Second))
	if at, known := s.NextTick(now + 14900*ms); !known || at != now+15*time.Second {
		t.Errorf("next tick at %v, want it at the deadline", at)
	}
	wantActions(t, s.Tick(now+15*time.Second), Cancel, Unknown)
	s.Tick(now + 25*time.Second)
	if _, known := s.NextTick(now + 25*time.Second); known {
		t.Error("an idle scheduler asks for a tick")
	}
}
