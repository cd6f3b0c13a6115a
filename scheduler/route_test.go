package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

var stream = RequestClass{Value: 1, Urgency: 1, FirstTokenTarget: 800 * ms, MaxAttempts: 2, Timeout: 3 * time.Second}

func queueing(capacity int, classes ...RequestClass) *Scheduler {
	m := market(capacity, classes...)
	m.Services[0].Queues = true
	m.Recompute(now)
	return m
}

func start(t *testing.T, m *Scheduler, now time.Duration) (int, Action) {
	t.Helper()
	id := m.Arrive(now, Request{})
	p := only(t, m.Tick(now), Place)
	m.AuthorizeSend(now, id, p.Attempt)
	only(t, m.Tick(now), Send)
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
			for i, m := range schedulers {
				switch at - time.Duration(i%7)*200*ms {
				case 8 * time.Second:
					m.SetRouters(at, routersInOneZone(n-n/4))
				case 14 * time.Second:
					m.SetRouters(at, routersInOneZone(n))
				}
				sent = append(sent, sendsAt(m, at, rng)...)
			}
		}
		if worst := mostWithin(sent, time.Second-20*ms); worst > 20 || len(sent) < 200 {
			t.Errorf("%d routers: %d of 20 in a second, %d in all", n, worst, len(sent))
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

// warmupScheduler is the scheduler of router i of n, with one replica that warms up and may get 20 starts a second from all of them.
func warmupScheduler(i, n int) *Scheduler {
	m := New(Defaults(fmt.Sprint("n", i), "a"))
	class := RequestClass{Value: 1, Urgency: 1, FirstTokenTarget: time.Second, MaxAttempts: 9, Timeout: time.Second}
	service := m.AddService(Service{Name: "o", Classes: []RequestClass{class}, Queues: true, WarmupRate: 20})
	r := Replica{Name: "r", Service: service, Capacity: 1000, Listed: true, Up: true, Warm: true, WarmupUntil: time.Hour}
	m.Services[service].Replicas = append(m.Services[service].Replicas, m.AddReplica(r, 0))
	m.SetRouters(0, routersInOneZone(n))
	return m
}

// sendsAt keeps a few requests waiting at a scheduler and gives the times at which it lets some go.
func sendsAt(m *Scheduler, at time.Duration, rng *rand.Rand) []time.Duration {
	m.RecordControlContact(at, "")
	if m.Requests.count < 4 {
		m.Arrive(at, Request{})
	}
	var sent []time.Duration
	for _, a := range m.Tick(at) {
		if a.Kind != Place {
			continue
		}
		m.AuthorizeSend(at+time.Duration(rng.IntN(15))*ms, a.Request, a.Attempt)
		for _, b := range m.Tick(at) {
			if b.Kind == Send {
				sent = append(sent, at)
			}
		}
	}
	return sent
}

// mostWithin is the most of the times, which rise, that lie in a span of that length.
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
	m := queueing(8, stream)
	m.Replicas[1].Listed = false
	m.Services[0].WarmupRate = 1
	a, b := m.Arrive(now, Request{}), m.Arrive(now, Request{})
	acts := m.Tick(now)
	m.ExtendWarmup(0, now+time.Minute)
	m.Recompute(now)
	m.AuthorizeSend(now+ms, a, acts[0].Attempt)
	only(t, m.Tick(now+ms), Send)
	m.AuthorizeSend(now+2*ms, b, acts[1].Attempt)
	if acts = m.Tick(now + 2*ms); acts[0].Kind != CancelBeforeSend {
		t.Errorf("%+v", acts)
	}
	m.ExtendWarmup(0, now)
	if !m.Replicas[0].warmingUp(now + 30*time.Second) {
		t.Error("coldness was cut short")
	}
}

func TestNoRejectionWhileCapacityIsFree(t *testing.T) {
	m := queueing(8, stream)
	slow := time.Duration(0)
	for i := range 16 {
		m.Services[0].BaseLatency = slow
		slow += 200 * ms
		m.Arrive(now, Request{TailTokens: 100000 * i})
		only(t, m.Tick(now), Place)
	}
	id := m.Arrive(now, Request{})
	only(t, m.Tick(now))
	acts := m.Tick(now + 200*ms)
	if a := only(t, acts, Place); a.Request != id {
		t.Errorf("%+v", a)
	}
	for range 3 {
		m.Arrive(now+200*ms, Request{})
	}
	m.Tick(now + 200*ms)
	m.Tick(now + 400*ms)
	if m.Counters.RejectedLate > 0 {
		t.Errorf("%d denied late", m.Counters.RejectedLate)
	}
	for range 20 {
		m.Arrive(now+400*ms, Request{})
	}
	denied := earlyRejections(t, m, now+400*ms) + earlyRejections(t, m, now+600*ms)
	if denied == 0 || len(m.queued) > 0 {
		t.Errorf("%d denied, %d wait beyond a quarter of their aim", denied, len(m.queued))
	}
}

// earlyRejections counts what is rejected at a time; each rejection comes early and says when to come back.
func earlyRejections(t *testing.T, m *Scheduler, at time.Duration) int {
	t.Helper()
	rejected := 0
	m.RecordControlContact(at, "")
	for _, a := range m.Tick(at) {
		if a.Kind != Reject {
			continue
		}
		rejected++
		if a.RejectedLate || a.RetryAfter < minRetryAfter {
			t.Errorf("%+v", a)
		}
	}
	return rejected
}

func TestOldReportsOfOthersFade(t *testing.T) {
	m := queueing(8, stream)
	for i := range m.Replicas {
		m.ReportLoadFromResponse(now, i, 200)
	}
	m.Arrive(now, Request{})
	only(t, m.Tick(now))
	only(t, m.Tick(now+160*ms), Reject)
	m.RecordControlContact(now+30*time.Second, "")
	m.Arrive(now+30*time.Second, Request{})
	only(t, m.Tick(now+30*time.Second), Place)
}

func TestSilentReplicaMayAnswerUntilDeadline(t *testing.T) {
	long := stream
	long.Timeout = 15 * time.Second
	m := queueing(8, long)
	start(t, m, now)
	m.RecordControlContact(now+14*time.Second, "")
	only(t, m.Tick(now+14*time.Second))
	if at, known := m.NextTick(now + 14900*ms); !known || at != now+15*time.Second {
		t.Errorf("next at %v", at)
	}
	only(t, m.Tick(now+15*time.Second), Cancel, Unknown)
	m.Tick(now + 25*time.Second)
	if _, known := m.NextTick(now + 25*time.Second); known {
		t.Error("an idle market needs the time")
	}
}
