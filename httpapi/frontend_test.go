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

type rig struct {
	t     *testing.T
	addrs []string
	logs  [2]bytes.Buffer
	desk  *router.Loop
	gate  *httpapi.Frontend
	srv   *httptest.Server
	tomb  *tomb.Tomb
	now   atomic.Int64
}

func (r *rig) later(d time.Duration) {
	r.desk.Inspect(func(*router.Router) {})
	r.now.Add(int64(d))
	r.desk.Notify(router.ControlStatus{})
}

func newRig(t *testing.T, first bool) *rig {
	r := &rig{t: t, tomb: &tomb.Tomb{}}
	clock := func() time.Duration { return time.Duration(r.now.Load()) }
	m := replica.DefaultModel()
	m.BaseTime, m.PerToken, m.ChunkInterval, m.Chunks, m.WarmupTime = time.Millisecond, 0, time.Millisecond, 6, 0
	reps := ""
	for i := range 2 {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		standin.NewReplica(r.tomb, standin.ReplicaOptions{
			Name: fmt.Sprintf("r%d", i+1), Model: "m", Instance: fmt.Sprintf("i%d", i+1), Engine: m, Runs: &r.logs[i], Clock: clock,
		}).Serve(lis)
		r.addrs = append(r.addrs, lis.Addr().String())
		reps += fmt.Sprintf(`,{"name":"r%d","addr":"%s","domain":"%c"}`, i+1, lis.Addr(), 'a'+i)
	}
	c, err := config.Read([]byte(`{"offers":[{"name":"o","model":"m","crossCost":50,"cold":{"rampMs":0},"replicas":[` + reps[1:] +
		`],"kinds":[{"name":"again","repeatable":true},{"name":"once"}]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	r.desk = router.NewLoop(r.tomb, router.New(router.Defaults("n1", "b", "a")), clock, time.Millisecond)
	for _, ev := range []router.Event{
		router.SnapshotUpdate{Snapshot: &config.Snapshot{Version: 1, Config: c}}, router.Routers{Names: []string{"n1"}}, router.ControlStatus{},
		router.LoadReport{Replica: "r1", InstanceID: "i1"}, router.LoadReport{Replica: "r2", InstanceID: "i2"},
	} {
		r.desk.Notify(ev)
	}
	r.later(3 * time.Second)
	r.gate = httpapi.New(r.desk, func(string, time.Duration, bool) router.AttemptResult {
		return map[bool]router.AttemptResult{true: "", false: router.Suppressed}[first]
	}, httpapi.DefaultLimits(4096, 2))
	r.gate.NodeID = "n1.b"
	mux := bunrouter.New()
	mux.POST("/v1/offers/:offer/:kind", r.gate.Handler())
	r.srv = httptest.NewServer(mux)
	t.Cleanup(func() {
		r.srv.Close()
		r.tomb.Kill(nil)
		_ = r.tomb.Wait()
	})
	return r
}

func (r *rig) fault(replica int, f standin.Fault) {
	raw, err := json.Marshal(f)
	if err != nil {
		r.t.Fatal(err)
	}
	resp, err := http.Post("http://"+r.addrs[replica]+"/faults", "application/json", bytes.NewReader(raw))
	if err != nil {
		r.t.Fatal(err)
	}
	resp.Body.Close()
}

func (r *rig) ask(kind, id string) ledger.Got {
	a := standin.NewAgent(nil)
	return a.Once(context.Background(), strings.TrimPrefix(r.srv.URL, "http://"), workload.Request{
		ID: id, Prefix: "p/100", TailTokens: 8, Class: workload.ClassLoad{Service: "o", Name: kind, Repeatable: kind == "again"},
	})
}

func (r *rig) ran() []ledger.Ran {
	r.srv.Close()
	r.tomb.Kill(nil)
	_ = r.tomb.Wait()
	var runs []ledger.Ran
	for i := range r.logs {
		dec := json.NewDecoder(&r.logs[i])
		for dec.More() {
			var x ledger.Ran
			if err := dec.Decode(&x); err != nil {
				r.t.Fatal(err)
			}
			runs = append(runs, x)
		}
	}
	return runs
}

func TestEachStageOfAFailedAttempt(t *testing.T) {
	for _, c := range []struct {
		name        string
		fault       standin.Fault
		again, once string
	}{
		{"sound", standin.Fault{}, "done", "done"},
		{"cut before it runs", standin.Fault{DisconnectAt: "read"}, "done", "unknown"},
		{"cut after it began", standin.Fault{DisconnectAt: "begun"}, "done", "unknown"},
		{"cut before the first piece", standin.Fault{DisconnectAt: "piece"}, "done", "unknown"},
		{"cut after two pieces", standin.Fault{DisconnectAt: "piece", DisconnectAfter: 2}, "partial", "partial"},
		{"ends without an end mark", standin.Fault{Twist: "end", DisconnectAfter: 3}, "partial", "partial"},
		{"another go's id", standin.Fault{Twist: "go", DisconnectAfter: 2}, "partial", "partial"},
		{"another go's id at once", standin.Fault{Twist: "go"}, "done", "unknown"},
		{"another instance", standin.Fault{Twist: "instance", DisconnectAfter: 2}, "partial", "partial"},
		{"a piece is skipped", standin.Fault{Twist: "skip", DisconnectAfter: 2}, "partial", "partial"},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "-"), func(t *testing.T) {
			for kind, want := range map[string]string{"again": c.again, "once": c.once} {
				r := newRig(t, true)
				f := c.fault
				f.Times = 1
				if kind == "again" {
					for i := range 6 {
						if g := r.ask("again", fmt.Sprintf("warm-%d", i)); g.Outcome != "done" {
							t.Fatalf("warming up gave %s", g.Outcome)
						}
					}
				}
				r.fault(0, f)
				g := r.ask(kind, "q1")
				if g.Outcome != want {
					t.Errorf("%s: %s, want %s", kind, g.Outcome, want)
				}
				if bs := ledger.Check(r.ran(), []ledger.Got{g}); len(bs) > 0 {
					t.Errorf("%s: %v", kind, bs)
				}
			}
		})
	}
}

func TestUnreachedReplicaCostsNoAttempt(t *testing.T) {
	r := newRig(t, true)
	for i := range 6 {
		r.ask("again", fmt.Sprintf("warm-%d", i))
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := lis.Addr().String()
	lis.Close()
	c, err := config.Read([]byte(`{"offers":[{"name":"o","model":"m","crossCost":50,"cold":{"rampMs":0},"replicas":[{"name":"r9","addr":"` + closed +
		`","domain":"a"},{"name":"r2","addr":"` + r.addrs[1] + `","domain":"b"}],"kinds":[{"name":"once"}]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	r.desk.Notify(router.SnapshotUpdate{Snapshot: &config.Snapshot{Version: 2, Config: c}})
	r.desk.Notify(router.LoadReport{Replica: "r9", InstanceID: "i9"})
	r.later(3 * time.Second)
	if g := r.ask("once", "q1"); g.Outcome != "done" {
		t.Errorf("%s, though nothing had left for the dead replica", g.Outcome)
	}
}

func TestRepeatsAreNotRun(t *testing.T) {
	r := newRig(t, true)
	for i, want := range []string{"done", "repeat"} {
		if g := r.ask("once", "same"); g.Outcome != want {
			t.Errorf("time %d: %s", i+1, g.Outcome)
		}
	}
	w := newRig(t, false)
	if g := w.ask("once", "seen elsewhere"); g.Outcome != "bad" {
		t.Errorf("an id with a blank in it: %s", g.Outcome)
	}
	if g := w.ask("once", "seen-elsewhere"); g.Outcome != "repeat" {
		t.Errorf("a witness had seen it: %s", g.Outcome)
	}
	if runs := w.ran(); len(runs) > 0 {
		t.Errorf("it ran all the same: %v", runs)
	}
}
