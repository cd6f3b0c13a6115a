package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// cluster is a set of routers that share a set of replicas and receive requests of one class. Failure reports between
// routers take 300 ms, or are not delivered if noReports is set.
type cluster struct {
	schedulers []*Scheduler
	rng        *rand.Rand
	noReports  bool
	// respond returns how long a replica takes, how the attempt ends, and whether the response is an error. A time of 0
	// means that the replica never responds.
	respond  func(at time.Duration, replica int) (time.Duration, AttemptResult, bool)
	inFlight []flight
	reports  []delayedReport
	// failed counts the failed attempts by the second in which they were sent, starts the attempts by replica.
	failed map[time.Duration]int
	starts map[int]int
}

type flight struct {
	router  int
	id      int
	attempt uint64
	at      time.Duration
	end     AttemptResult
	failed  bool
}

type delayedReport struct {
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
		s := New(Defaults(rows[i].Name, "a"))
		class := RequestClass{Value: 1, Urgency: 1, FirstTokenTarget: 600 * ms, MaxAttempts: 1, Timeout: 2500 * ms}
		service := s.AddService(Service{Name: "o", Classes: []RequestClass{class}, Queues: true, BaseLatency: 50 * ms, LatencyPerToken: 10 * time.Microsecond})
		for k := range replicas {
			s.Services[service].Replicas = append(s.Services[service].Replicas, s.AddReplica(Replica{Name: fmt.Sprint("r", k), Service: service, Capacity: 24, Listed: true, Up: true, Warm: true}, 0))
		}
		s.SetRouters(0, rows)
		c.schedulers = append(c.schedulers, s)
	}
	return c
}

// run sends perS requests per second to each router.
func (c *cluster) run(from, until time.Duration, perS float64) {
	const step = 10 * ms
	for at := from; at < until; at += step {
		c.endAttempts(at)
		c.deliverReports(at)
		for i, s := range c.schedulers {
			s.RecordControlContact(at, "")
			for n := c.rng.Float64(); n < perS*step.Seconds(); n++ {
				s.Arrive(at, Request{PrefixBlocks: []prefixindex.Block{{Key: prefixindex.Key(c.rng.Uint64()), Tokens: 500}}})
			}
			c.perform(at, i, s.Tick(at))
			if rows := s.FailureReport(at); len(rows) > 0 && !c.noReports {
				c.reports = append(c.reports, delayedReport{at: at + 300*ms, from: i, rows: rows})
			}
		}
	}
}

// endAttempts ends the attempts whose responses have ended by then.
func (c *cluster) endAttempts(at time.Duration) {
	pending := c.inFlight
	c.inFlight = nil
	for _, f := range pending {
		s := c.schedulers[f.router]
		switch {
		case f.at > at:
			c.inFlight = append(c.inFlight, f)
		case f.failed:
			s.ErrorResponseReceived(at, f.id, f.attempt)
			s.EndAttempt(at, f.id, f.attempt, Completed)
		default:
			s.EndAttempt(at, f.id, f.attempt, f.end)
		}
	}
}

func (c *cluster) deliverReports(at time.Duration) {
	for _, report := range c.reports {
		if report.at != at {
			continue
		}
		for _, s := range c.schedulers {
			s.ApplyFailureReport(at, fmt.Sprint("n", report.from), report.rows)
		}
	}
}

func (c *cluster) perform(at time.Duration, i int, actions []Action) {
	s := c.schedulers[i]
	for _, a := range actions {
		switch a.Kind {
		case Place:
			s.AuthorizeSend(at, a.Request, a.Attempt)
			c.perform(at, i, s.Tick(at))
		case Send:
			c.starts[a.Replica]++
			elapsed, end, failed := c.respond(at, a.Replica)
			if failed || end == Failed || elapsed == 0 {
				c.failed[at.Truncate(time.Second)]++
			}
			if elapsed > 0 {
				c.inFlight = append(c.inFlight, flight{router: i, id: a.Request, attempt: a.Attempt, at: at + elapsed, end: end, failed: failed})
			}
		}
	}
}

func TestRoutersEjectFailingReplicasTogether(t *testing.T) {
	for _, c := range []ejection{
		{"error responses", 3, func(*cluster) (time.Duration, AttemptResult, bool) { return 5 * ms, Completed, true }, 0.55},
		{"broken responses", 3, func(*cluster) (time.Duration, AttemptResult, bool) { return 5 * ms, Failed, false }, 0.55},
		{"error responses to half of the requests", 3, func(c *cluster) (time.Duration, AttemptResult, bool) {
			if c.rng.Float64() < 0.5 {
				return 5 * ms, Completed, true
			}
			return 60 * ms, Completed, false
		}, 0.75},
		{"no response", 3, func(*cluster) (time.Duration, AttemptResult, bool) { return 0, 0, false }, 0.6},
	} {
		t.Run(c.name, func(t *testing.T) {
			withoutReports, withReports := c.play(t, true), c.play(t, false)
			t.Logf("%d failures without reports, %d with reports", withoutReports, withReports)
			if float64(withReports) > c.maxRatio*float64(withoutReports) {
				t.Errorf("%d failures without reports between routers, %d with reports", withoutReports, withReports)
			}
		})
	}
}

// ejection is a test case in which the first replicas fail in some way for some time. maxRatio is the maximum ratio of the
// failures with reports between routers to those without.
type ejection struct {
	name      string
	unhealthy int
	respond   func(c *cluster) (time.Duration, AttemptResult, bool)
	maxRatio  float64
}

// play returns the number of failures, with or without delivery of reports. With reports it also checks that recovered
// replicas get requests again.
func (e ejection) play(t *testing.T, noReports bool) int {
	t.Helper()
	c := newCluster(30, 30)
	c.noReports = noReports
	c.respond = func(at time.Duration, replica int) (time.Duration, AttemptResult, bool) {
		if replica < e.unhealthy && at >= 5*time.Second && at < 12*time.Second {
			return e.respond(c)
		}
		return 60 * ms, Completed, false
	}
	c.run(3*time.Second, 12*time.Second, 9)
	failures := 0
	for _, n := range c.failed {
		failures += n
	}
	if noReports {
		return failures
	}
	c.run(12*time.Second, 24*time.Second, 9)
	c.starts = map[int]int{}
	c.run(24*time.Second, 28*time.Second, 9)
	for replica := range e.unhealthy {
		if c.starts[replica] < 10 {
			t.Errorf("replica %d got %d requests in 4 s, 12 s after it recovered", replica, c.starts[replica])
		}
	}
	return failures
}

func TestFewFailuresEjectNoReplica(t *testing.T) {
	c := newCluster(30, 30)
	c.respond = func(time.Duration, int) (time.Duration, AttemptResult, bool) {
		if c.rng.Float64() < 0.05 {
			return 5 * ms, Failed, false
		}
		return 60 * ms, Completed, false
	}
	c.run(3*time.Second, 13*time.Second, 9)
	ejected := uint64(0)
	for _, s := range c.schedulers {
		ejected += s.Counters.Ejected
	}
	if ejected > 30 {
		t.Errorf("%d ejections where 5 %% of requests fail at all replicas", ejected)
	}
}

func TestEjectionNeverEmptiesAService(t *testing.T) {
	c := newCluster(20, 10)
	c.respond = func(time.Duration, int) (time.Duration, AttemptResult, bool) { return 5 * ms, Completed, true }
	c.run(3*time.Second, 9*time.Second, 20)
	for i, s := range c.schedulers {
		out := 0
		for k := range s.Replicas {
			if 9*time.Second < s.Replicas[k].failures.ejectedUntil {
				out++
			}
		}
		if out > 4 {
			t.Fatalf("router %d ejected %d of 10 replicas, at most 4 allowed", i, out)
		}
	}
	if len(c.starts) != 10 {
		t.Errorf("requests went to %d of 10 replicas", len(c.starts))
	}
}

// TestRouterThatReportsAllReplicasIsIgnored: a router whose own network path to the replicas is broken reports failures
// at all of them. Other routers must not count its reports.
func TestRouterThatReportsAllReplicasIsIgnored(t *testing.T) {
	s := newCluster(3, 10).schedulers[0]
	at := 5 * time.Second
	var all []FailureCount
	for i := range 10 {
		all = append(all, FailureCount{Replica: i, Count: 8})
	}
	s.ApplyFailureReport(at, "n1", all)
	s.ApplyFailureReport(at, "n2", []FailureCount{{Replica: 3, Count: 8}})
	s.Tick(at)
	if s.Counters.Ejected != 0 {
		t.Fatal("ejected although only one other router reported the replica, besides one that reports all")
	}
	s.ApplyFailureReport(at+time.Second, "n0x", []FailureCount{{Replica: 3, Count: 8}})
	s.Tick(at + time.Second)
	if s.Counters.Ejected != 1 || s.Replicas[3].available(at+2*time.Second) {
		t.Fatalf("%d replicas ejected, want the one that two routers reported", s.Counters.Ejected)
	}
}
