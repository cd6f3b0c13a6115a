package httpapi_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/httpapi"
	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/replica"
	"github.com/mallowbridge/mallowbridge/sim/workload"
	"github.com/mallowbridge/mallowbridge/standin"
)

// fixture is a frontend with its HTTP server and two stand-in replicas, r1 in the node's zone a and r2 in zone b.
type fixture struct {
	t *testing.T
	// addrs and logs contain the addresses of the replicas and the logs of their runs.
	addrs    []string
	logs     [2]bytes.Buffer
	loop     *router.Loop
	frontend *httpapi.Frontend
	srv      *httptest.Server
	tomb     *tomb.Tomb
	// now is the time of the fixture's clock in nanoseconds.
	now atomic.Int64
}

// advance waits until the router has processed all earlier events, then moves the clock forward.
func (f *fixture) advance(d time.Duration) {
	f.loop.Inspect(func(*router.Router) {})
	f.now.Add(int64(d))
	f.loop.Notify(router.ControlStatus{})
}

// newFixture starts a fixture whose witnesses allow each request to be sent if allowed is set, otherwise none.
func newFixture(t *testing.T, allowed bool) *fixture {
	f := &fixture{t: t, tomb: &tomb.Tomb{}}
	clock := func() time.Duration { return time.Duration(f.now.Load()) }
	m := replica.DefaultModel()
	m.BaseTime, m.PerToken, m.ChunkInterval, m.Chunks, m.WarmupTime = time.Millisecond, 0, time.Millisecond, 6, 0
	reps := ""
	for i := range 2 {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		standin.NewReplica(f.tomb, standin.ReplicaOptions{
			Name: fmt.Sprintf("r%d", i+1), Model: "m", Instance: fmt.Sprintf("i%d", i+1), Engine: m, Ledger: &f.logs[i], Clock: clock,
		}).Serve(lis)
		f.addrs = append(f.addrs, lis.Addr().String())
		reps += fmt.Sprintf(`,{"name":"r%d","addr":"%s","domain":"%c"}`, i+1, lis.Addr(), 'a'+i)
	}
	c, err := config.Read([]byte(`{"offers":[{"name":"o","model":"m","crossCost":50,"cold":{"rampMs":0},"replicas":[` + reps[1:] +
		`],"kinds":[{"name":"again","repeatable":true},{"name":"once"}]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	f.loop = router.NewLoop(f.tomb, router.New(router.Defaults("n1", "b", "a")), clock, time.Millisecond)
	for _, ev := range []router.Event{
		router.SnapshotUpdate{Snapshot: &config.Snapshot{Version: 1, Config: c}}, router.Routers{Names: []string{"n1"}}, router.ControlStatus{},
		router.LoadReport{Replica: "r1", InstanceID: "i1"}, router.LoadReport{Replica: "r2", InstanceID: "i2"},
	} {
		f.loop.Notify(ev)
	}
	f.advance(3 * time.Second)
	f.frontend = httpapi.New(f.loop, func(string, time.Duration, bool) router.AttemptResult {
		return map[bool]router.AttemptResult{true: "", false: router.Suppressed}[allowed]
	}, httpapi.DefaultLimits(4096, 2))
	f.frontend.NodeID = "n1.b"
	mux := bunrouter.New()
	mux.POST("/v1/offers/:offer/:kind", f.frontend.Handler())
	f.srv = httptest.NewServer(mux)
	t.Cleanup(func() {
		f.srv.Close()
		f.tomb.Kill(nil)
		_ = f.tomb.Wait()
	})
	return f
}

func (f *fixture) injectFault(replica int, fault standin.Fault) {
	raw, err := json.Marshal(fault)
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.Post("http://"+f.addrs[replica]+"/faults", "application/json", bytes.NewReader(raw))
	if err != nil {
		f.t.Fatal(err)
	}
	resp.Body.Close()
}

// send sends a request and returns what the client received.
func (f *fixture) send(kind, id string) ledger.SendResult {
	a := standin.NewClient(nil)
	return a.Send(context.Background(), strings.TrimPrefix(f.srv.URL, "http://"), workload.Request{
		ID: id, Prefix: "p/100", TailTokens: 8, Class: workload.ClassLoad{Service: "o", Name: kind, Repeatable: kind == "again"},
	})
}

// stopAndReadRuns stops the fixture and returns the runs that the replicas logged.
func (f *fixture) stopAndReadRuns() []ledger.RunEvent {
	f.srv.Close()
	f.tomb.Kill(nil)
	_ = f.tomb.Wait()
	var runs []ledger.RunEvent
	for i := range f.logs {
		dec := json.NewDecoder(&f.logs[i])
		for dec.More() {
			var x ledger.RunEvent
			if err := dec.Decode(&x); err != nil {
				f.t.Fatal(err)
			}
			runs = append(runs, x)
		}
	}
	return runs
}

// TestFailuresAtEachStageOfAnAttempt checks the outcome of a request whose first attempt fails at a certain stage, for the idempotent class
// "again" and the non-idempotent class "once". An idempotent request is retried unless a part of the response was forwarded.
func TestFailuresAtEachStageOfAnAttempt(t *testing.T) {
	for _, c := range []struct {
		name        string
		fault       standin.Fault
		again, once string
	}{
		{"no fault", standin.Fault{}, "done", "done"},
		{"disconnected before the run", standin.Fault{DisconnectAt: "read"}, "done", "unknown"},
		{"disconnected after the run began", standin.Fault{DisconnectAt: "begun"}, "done", "unknown"},
		{"disconnected before the first chunk", standin.Fault{DisconnectAt: "piece"}, "done", "unknown"},
		{"disconnected after two chunks", standin.Fault{DisconnectAt: "piece", AfterChunks: 2}, "partial", "partial"},
		{"ends without an end line", standin.Fault{Corruption: "end", AfterChunks: 3}, "partial", "partial"},
		{"wrong attempt ID after two chunks", standin.Fault{Corruption: "go", AfterChunks: 2}, "partial", "partial"},
		{"wrong attempt ID in the first line", standin.Fault{Corruption: "go"}, "done", "unknown"},
		{"wrong instance ID after two chunks", standin.Fault{Corruption: "instance", AfterChunks: 2}, "partial", "partial"},
		{"a chunk is skipped", standin.Fault{Corruption: "skip", AfterChunks: 2}, "partial", "partial"},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "-"), func(t *testing.T) {
			for kind, want := range map[string]string{"again": c.again, "once": c.once} {
				f := newFixture(t, true)
				fault := c.fault
				fault.MaxRuns = 1
				if kind == "again" {
					for i := range 6 {
						if g := f.send("again", fmt.Sprintf("warm-%d", i)); g.Outcome != "done" {
							t.Fatalf("a request before the fault ended as %s", g.Outcome)
						}
					}
				}
				f.injectFault(0, fault)
				g := f.send(kind, "q1")
				if g.Outcome != want {
					t.Errorf("%s: %s, want %s", kind, g.Outcome, want)
				}
				if bs := ledger.Check(f.stopAndReadRuns(), []ledger.SendResult{g}); len(bs) > 0 {
					t.Errorf("%s: %v", kind, bs)
				}
			}
		})
	}
}

func TestFailedConnectionDoesNotCountAsAttempt(t *testing.T) {
	f := newFixture(t, true)
	for i := range 6 {
		f.send("again", fmt.Sprintf("warm-%d", i))
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := lis.Addr().String()
	lis.Close()
	c, err := config.Read([]byte(`{"offers":[{"name":"o","model":"m","crossCost":50,"cold":{"rampMs":0},"replicas":[{"name":"r9","addr":"` + closed +
		`","domain":"a"},{"name":"r2","addr":"` + f.addrs[1] + `","domain":"b"}],"kinds":[{"name":"once"}]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	f.loop.Notify(router.SnapshotUpdate{Snapshot: &config.Snapshot{Version: 2, Config: c}})
	f.loop.Notify(router.LoadReport{Replica: "r9", InstanceID: "i9"})
	f.advance(3 * time.Second)
	if g := f.send("once", "q1"); g.Outcome != "done" {
		t.Errorf("outcome %s, although nothing was sent to the unreachable replica", g.Outcome)
	}
}

func TestRepeatedNonIdempotentRequestsAreNotSent(t *testing.T) {
	f := newFixture(t, true)
	for i, want := range []string{"done", "repeat"} {
		if g := f.send("once", "same"); g.Outcome != want {
			t.Errorf("request %d: outcome %s", i+1, g.Outcome)
		}
	}
	suppressing := newFixture(t, false)
	if g := suppressing.send("once", "seen elsewhere"); g.Outcome != "bad" {
		t.Errorf("a request ID with a space: outcome %s", g.Outcome)
	}
	if g := suppressing.send("once", "seen-elsewhere"); g.Outcome != "repeat" {
		t.Errorf("a request that the witnesses saw before: outcome %s", g.Outcome)
	}
	if runs := suppressing.stopAndReadRuns(); len(runs) > 0 {
		t.Errorf("suppressed requests ran: %v", runs)
	}
}
