package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// A crowd is many routers before many replicas, which tell each other of failures 300 ms later, with requests of one kind.
type cluster struct {
	ms   []*Scheduler
	rng  *rand.Rand
	deaf bool
	// answer says how long a replica takes and how a request ends there; 0: it is silent.
	answer func(at time.Duration, replica int) (time.Duration, AttemptResult, bool)
	open   []flight
	tells  []tell
	failed map[time.Duration]int
	starts map[int]int
}

type flight struct {
	m       int
	id      int
	attempt uint64
	at      time.Duration
	end     AttemptResult
	failed  bool
}

type tell struct {
	at   time.Duration
	from int
	rows []FailureCount
}

func newCluster(routers, replicas int) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(7, 9)), failed: map[time.Duration]int{}, starts: map[int]int{}}
	var rows []RouterZone
	for i := range routers {
		rows = append(rows, RouterZone{fmt.Sprint("n", i), "a"})
	}
	for i := range routers {
		m := New(Defaults(rows[i].Name, "a"))
		kind := RequestClass{Value: 1, Urgency: 1, FirstTokenTarget: 600 * ms, MaxAttempts: 1, Timeout: 2500 * ms}
		o := m.AddService(Service{Name: "o", Classes: []RequestClass{kind}, Queues: true, BaseLatency: 50 * ms, LatencyPerToken: 10 * time.Microsecond})
		for k := range replicas {
			m.Services[o].Replicas = append(m.Services[o].Replicas, m.AddReplica(Replica{Name: fmt.Sprint("r", k), Service: o, Capacity: 24, Listed: true, Up: true, Warm: true}, 0))
		}
		m.SetRouters(0, rows)
		c.ms = append(c.ms, m)
	}
	return c
}

// run has each router get perS requests a second.
func (c *cluster) run(from, until time.Duration, perS float64) {
	const step = 10 * ms
	for at := from; at < until; at += step {
		c.endAttempts(at)
		c.deliverReports(at)
		for i, m := range c.ms {
			m.RecordControlContact(at, "")
			for n := c.rng.Float64(); n < perS*step.Seconds(); n++ {
				m.Arrive(at, Request{PrefixBlocks: []prefixindex.Block{{Key: prefixindex.Key(c.rng.Uint64()), Tokens: 500}}})
			}
			c.acts(at, i, m.Tick(at))
			if rows := m.FailureReport(at); len(rows) > 0 && !c.deaf {
				c.tells = append(c.tells, tell{at: at + 300*ms, from: i, rows: rows})
			}
		}
	}
}

// endAttempts ends those that are due.
func (c *cluster) endAttempts(at time.Duration) {
	flying := c.open
	c.open = nil
	for _, f := range flying {
		m := c.ms[f.m]
		switch {
		case f.at > at:
			c.open = append(c.open, f)
		case f.failed:
			m.ErrorResponseReceived(at, f.id, f.attempt)
			m.EndAttempt(at, f.id, f.attempt, Completed)
		default:
			m.EndAttempt(at, f.id, f.attempt, f.end)
		}
	}
}

func (c *cluster) deliverReports(at time.Duration) {
	for _, report := range c.tells {
		if report.at != at {
			continue
		}
		for _, m := range c.ms {
			m.ApplyFailureReport(at, fmt.Sprint("n", report.from), report.rows)
		}
	}
}

func (c *cluster) acts(at time.Duration, i int, acts []Action) {
	m := c.ms[i]
	for _, a := range acts {
		switch a.Kind {
		case Place:
			m.AuthorizeSend(at, a.Request, a.Attempt)
			c.acts(at, i, m.Tick(at))
		case Send:
			c.starts[a.Replica]++
			elapsed, end, failed := c.answer(at, a.Replica)
			if failed || end == Failed || elapsed == 0 {
				c.failed[at.Truncate(time.Second)]++
			}
			if elapsed > 0 {
				c.open = append(c.open, flight{m: i, id: a.Request, attempt: a.Attempt, at: at + elapsed, end: end, failed: failed})
			}
		}
	}
}

func TestManyRoutersEjectWhatFailsThemTogether(t *testing.T) {
	for _, c := range []ejection{
		{"errors", 3, func(*cluster) (time.Duration, AttemptResult, bool) { return 5 * ms, Completed, true }, 0.55},
		{"breaks", 3, func(*cluster) (time.Duration, AttemptResult, bool) { return 5 * ms, Failed, false }, 0.55},
		{"errors for half", 3, func(c *cluster) (time.Duration, AttemptResult, bool) {
			if c.rng.Float64() < 0.5 {
				return 5 * ms, Completed, true
			}
			return 60 * ms, Completed, false
		}, 0.75},
		{"silent", 3, func(*cluster) (time.Duration, AttemptResult, bool) { return 0, 0, false }, 0.6},
	} {
		t.Run(c.name, func(t *testing.T) {
			alone, together := c.play(t, true), c.play(t, false)
			t.Logf("%d failures alone, %d together", alone, together)
			if float64(together) > c.most*float64(alone) {
				t.Errorf("%d failures where each router judges alone, %d together", alone, together)
			}
		})
	}
}

// ejection is a case of the first replicas failing in some way for a while; most is the part of the failures that remains where routers
// tell each other.
type ejection struct {
	name      string
	unhealthy int
	how       func(c *cluster) (time.Duration, AttemptResult, bool)
	most      float64
}

// play counts the failures, where routers are deaf to each other or not. Replicas that are well again get requests again.
func (e ejection) play(t *testing.T, deaf bool) int {
	t.Helper()
	c := newCluster(30, 30)
	c.deaf = deaf
	c.answer = func(at time.Duration, replica int) (time.Duration, AttemptResult, bool) {
		if replica < e.unhealthy && at >= 5*time.Second && at < 12*time.Second {
			return e.how(c)
		}
		return 60 * ms, Completed, false
	}
	c.run(3*time.Second, 12*time.Second, 9)
	failures := 0
	for _, n := range c.failed {
		failures += n
	}
	if deaf {
		return failures
	}
	c.run(12*time.Second, 24*time.Second, 9)
	c.starts = map[int]int{}
	c.run(24*time.Second, 28*time.Second, 9)
	for replica := range e.unhealthy {
		if c.starts[replica] < 10 {
			t.Errorf("replica %d had %d requests in 4 s, 12 s after it was well again", replica, c.starts[replica])
		}
	}
	return failures
}

func TestFewFailuresEjectNobody(t *testing.T) {
	w := newCluster(30, 30)
	w.answer = func(time.Duration, int) (time.Duration, AttemptResult, bool) {
		if w.rng.Float64() < 0.05 {
			return 5 * ms, Failed, false
		}
		return 60 * ms, Completed, false
	}
	w.run(3*time.Second, 13*time.Second, 9)
	ejected := uint64(0)
	for _, m := range w.ms {
		ejected += m.Counters.Ejected
	}
	if ejected > 30 {
		t.Errorf("%d ejections where 5 %% fail everywhere", ejected)
	}
}

func TestEjectionNeverEmptiesAService(t *testing.T) {
	w := newCluster(20, 10)
	w.answer = func(time.Duration, int) (time.Duration, AttemptResult, bool) { return 5 * ms, Completed, true }
	w.run(3*time.Second, 9*time.Second, 20)
	for i, m := range w.ms {
		out := 0
		for k := range m.Replicas {
			if 9*time.Second < m.Replicas[k].failures.ejectedUntil {
				out++
			}
		}
		if out > 4 {
			t.Fatalf("router %d ejected %d of 10", i, out)
		}
	}
	if len(w.starts) != 10 {
		t.Errorf("requests went to %d of 10 replicas", len(w.starts))
	}
}

// A router whose own way to the replicas is broken accuses them all; the others take no heed.
func TestRouterThatReportsAllReplicasIsIgnored(t *testing.T) {
	m := newCluster(3, 10).ms[0]
	at := 5 * time.Second
	var all []FailureCount
	for i := range 10 {
		all = append(all, FailureCount{Replica: i, Count: 8})
	}
	m.ApplyFailureReport(at, "n1", all)
	m.ApplyFailureReport(at, "n2", []FailureCount{{Replica: 3, Count: 8}})
	m.Tick(at)
	if m.Counters.Ejected != 0 {
		t.Fatal("ejected on the word of one router besides one that accuses all")
	}
	m.ApplyFailureReport(at+time.Second, "n0x", []FailureCount{{Replica: 3, Count: 8}})
	m.Tick(at + time.Second)
	if m.Counters.Ejected != 1 || m.Replicas[3].available(at+2*time.Second) {
		t.Fatalf("%d ejected on the word of two routers", m.Counters.Ejected)
	}
}
