package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

var stream = Class{Value: 1, Urgency: 1, FirstTokenBound: 800 * ms, MaxAttempts: 2, Timeout: 3 * time.Second}

func queueing(capacity int, classes ...Class) *Scheduler {
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
		rows := func(n int) []RouterZone {
			var rs []RouterZone
			for i := range n {
				rs = append(rs, RouterZone{fmt.Sprint("n", i), "a"})
			}
			return rs
		}
		var ms12 []*Scheduler
		for i := range n {
			m := New(Defaults(fmt.Sprint("n", i), "a"))
			o := m.AddService(Service{Name: "o", Classes: []Class{{Value: 1, Urgency: 1, FirstTokenBound: time.Second, MaxAttempts: 9, Timeout: time.Second}}, Queues: true, WarmupRate: 20})
			m.Services[o].Replicas = append(m.Services[o].Replicas, m.AddReplica(Replica{Name: "r", Service: o, Capacity: 1000, Listed: true, Up: true, Warm: true, WarmupUntil: time.Hour}, 0))
			m.SetRouters(0, rows(n))
			ms12 = append(ms12, m)
		}
		var sent []time.Duration
		for at := time.Duration(0); at < 20*time.Second; at += 20 * ms {
			for i, m := range ms12 {
				change := time.Duration(i%7) * 200 * ms
				if at == 8*time.Second+change {
					m.SetRouters(at, rows(n-n/4))
				}
				if at == 14*time.Second+change {
					m.SetRouters(at, rows(n))
				}
				m.SetFeed(at, "")
				if m.Requests.count < 4 {
					m.Arrive(at, Request{})
				}
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
			}
		}
		worst := 0
		for i := range sent {
			in := 0
			for j := i; j < len(sent) && sent[j] <= sent[i]+time.Second-20*ms; j++ {
				in++
			}
			worst = max(worst, in)
		}
		if worst > 20 || len(sent) < 200 {
			t.Errorf("%d routers: %d of 20 in a second, %d in all", n, worst, len(sent))
		}
	}
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

func TestSecondAttemptsOfRoutes(t *testing.T) {
	repeat, resume, single := stream, stream, stream
	repeat.Repeatable = true
	resume.Repeatable, resume.Resumable = true, true
	single.MaxAttempts, single.Repeatable = 1, true
	for _, c := range []struct {
		name   string
		kind   Class
		begun  bool
		end    AttemptResult
		purse  float64
		act    ActionKind
		resume bool
	}{
		{"refused may go elsewhere though not repeatable", stream, false, Refused, 4, Place, false},
		{"refused without budget is denied", stream, false, Refused, 0, Reject, false},
		{"refused with one attempt is denied", single, false, Refused, 4, Reject, false},
		{"broken, not repeatable", stream, false, Failed, 4, Unknown, false},
		{"broken, repeatable", repeat, false, Failed, 4, Place, false},
		{"broken, repeatable, no budget", repeat, false, Failed, 0, Unknown, false},
		{"broken, one attempt", single, false, Failed, 4, Unknown, false},
		{"cut, not resumable", repeat, true, Failed, 4, Partial, false},
		{"cut, resumable", resume, true, Failed, 4, Place, true},
		{"cut, resumable, no budget", resume, true, Failed, 0, Partial, false},
		{"never sent needs no budget", stream, false, Unreached, 0, Place, false},
	} {
		m := queueing(8, c.kind)
		id, p := start(t, m, now)
		m.Services[0].retryBudget.tokens = c.purse
		if c.begun {
			m.FirstAnswer(now, id, p.Attempt)
			m.StreamBegan(id, p.Attempt)
		}
		m.EndAttempt(now, id, p.Attempt, c.end)
		acts := m.Tick(now)
		if len(acts) != 1 || acts[0].Kind != c.act || acts[0].Resumes != c.resume {
			t.Errorf("%s: %+v", c.name, acts)
			continue
		}
		if c.act == Reject && (acts[0].RetryAfter < minRetryAfter || acts[0].RetryAfter >= time.Second) {
			t.Errorf("%s: come back after %v", c.name, acts[0].RetryAfter)
		}
		if c.act != Place {
			continue
		}
		q := acts[0]
		if q.Replica == p.Replica {
			t.Errorf("%s: on the same replica", c.name)
		}
		m.AuthorizeSend(now, id, q.Attempt)
		only(t, m.Tick(now), Send)
		if c.end == Unreached {
			continue
		}
		m.EndAttempt(now, id, q.Attempt, Failed)
		want := Unknown
		if c.resume {
			want = Partial
		}
		only(t, m.Tick(now), want)
	}
}

func TestNoRejectionWhileCapacityIsFree(t *testing.T) {
	m := queueing(8, stream)
	slow := time.Duration(0)
	for i := range 16 {
		m.Services[0].Base = slow
		slow += 200 * ms
		m.Arrive(now, Request{Tail: 100000 * i})
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
	denied := 0
	for _, at := range []time.Duration{now + 400*ms, now + 600*ms} {
		m.SetFeed(at, "")
		for _, a := range m.Tick(at) {
			if a.Kind == Reject {
				denied++
				if a.RejectedLate || a.RetryAfter < minRetryAfter {
					t.Errorf("%+v", a)
				}
			}
		}
	}
	if denied == 0 || len(m.queued) > 0 {
		t.Errorf("%d denied, %d wait beyond a quarter of their aim", denied, len(m.queued))
	}
}

func TestOldReportsOfOthersFade(t *testing.T) {
	m := queueing(8, stream)
	for i := range m.Replicas {
		m.ReportLocalLoad(now, i, 200)
	}
	m.Arrive(now, Request{})
	only(t, m.Tick(now))
	only(t, m.Tick(now+160*ms), Reject)
	m.SetFeed(now+30*time.Second, "")
	m.Arrive(now+30*time.Second, Request{})
	only(t, m.Tick(now+30*time.Second), Place)
}

func TestASilentReplicaIsLeftToAnswerUntilTheDeadline(t *testing.T) {
	long := stream
	long.Timeout = 15 * time.Second
	m := queueing(8, long)
	start(t, m, now)
	m.SetFeed(now+14*time.Second, "")
	only(t, m.Tick(now+14*time.Second))
	if at, any := m.Next(now + 14900*ms); !any || at != now+15*time.Second {
		t.Errorf("next at %v", at)
	}
	only(t, m.Tick(now+15*time.Second), Cancel, Unknown)
	m.Tick(now + 25*time.Second)
	if _, any := m.Next(now + 25*time.Second); any {
		t.Error("an idle market needs the time")
	}
}
