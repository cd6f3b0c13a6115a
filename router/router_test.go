package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/router"
)

// convergeTime is the time after its start at which a new router serves requests.
const convergeTime = 3 * time.Second

// newRouter returns a router with a configuration whose replicas are up.
func newRouter(t *testing.T, replicas string) *router.Router {
	t.Helper()
	r := router.New(router.Defaults("n1", "b", "a"))
	configure(t, r, 1, replicas)
	r.Step(0, router.Routers{Names: []string{"n1"}, Zones: []string{"a"}})
	for _, name := range []string{"p1", "p2", "d1", "d2"} {
		r.Step(0, router.LoadReport{Replica: name, InstanceID: name + ".1"})
	}
	r.Step(convergeTime, router.ControlStatus{})
	return r
}

// configure applies a configuration with one service, the given replicas and evacuated zones.
func configure(t *testing.T, r *router.Router, version uint64, replicas string, evacuated ...string) {
	t.Helper()
	c, err := config.Read([]byte(`{"offers":[{"name":"o","model":"m","cold":{"rampMs":0},"replicas":[` + replicas + `],"kinds":[{"name":"k"}]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	r.Step(0, router.SnapshotUpdate{Snapshot: &config.Snapshot{Version: version, Config: c, EvacuatedZones: evacuated}})
}

// replica returns a replica of the configuration document as JSON.
func replica(name, role, zone string, port int) string {
	return fmt.Sprintf(`{"name":%q,"role":%q,"domain":%q,"addr":"127.0.0.1:%d"}`, name, role, zone, port)
}

// place submits a request with a 4,000-token prefix and returns its placement.
func place(t *testing.T, r *router.Router, now time.Duration, id string) router.Decision {
	t.Helper()
	ds := r.Step(now, router.Arrival{Request: id, Service: "o", Class: "k", Prefix: "sys/4000", TailTokens: 5})
	if len(ds) != 1 || ds[0].Verdict != router.Place {
		t.Fatalf("%+v", ds)
	}
	return ds[0]
}

// respond plays a complete response of a placed attempt.
func respond(r *router.Router, now time.Duration, d router.Decision) {
	r.Step(now, router.ReadyToSend{Request: d.Request, AttemptID: d.AttemptID})
	r.Step(now, router.ResponseHead{Request: d.Request, AttemptID: d.AttemptID, InstanceID: d.Replica + ".1"})
	r.Step(now, router.AttemptEnded{Request: d.Request, AttemptID: d.AttemptID, Result: router.Completed})
}

func TestSplitRolesCachePrefixesAtThePrefillReplica(t *testing.T) {
	r := newRouter(t, replica("p1", "prefill", "a", 1)+","+replica("p2", "prefill", "a", 2)+","+replica("d1", "decode", "a", 3)+","+replica("d2", "decode", "a", 4))
	one := place(t, r, convergeTime, "q1")
	if one.Prefill == "" || one.Replica[0] != 'd' || one.ConfirmedTokens+one.PredictedTokens != 0 {
		t.Fatalf("%+v", one)
	}
	two := place(t, r, convergeTime+50*time.Millisecond, "q2")
	if two.Prefill != one.Prefill || two.PredictedTokens != 4000 || two.ConfirmedTokens != 0 {
		t.Errorf("before the first response: %+v", two)
	}
	respond(r, convergeTime+100*time.Millisecond, one)
	if three := place(t, r, convergeTime+150*time.Millisecond, "q3"); three.Prefill != one.Prefill || three.ConfirmedTokens != 4000 {
		t.Errorf("after the response: %+v", three)
	}
}

func TestOlderSnapshotIsIgnored(t *testing.T) {
	a, b := replica("p1", "both", "a", 1), replica("d1", "both", "b", 2)
	r := newRouter(t, a+","+b)
	configure(t, r, 5, a+","+b, "a")
	configure(t, r, 4, a+","+b)
	if r.Version() != 5 {
		t.Errorf("version %d, not 5", r.Version())
	}
	r.Step(convergeTime+3*time.Second, router.ControlStatus{})
	if d := place(t, r, convergeTime+3*time.Second, "q1"); d.Replica != "d1" {
		t.Errorf("placed in an evacuated zone: %+v", d)
	}
}

// TestRouterWithoutSnapshotRejects checks that the rejection is not final, since other nodes may have a configuration, and that clients don't
// use up their attempts at once: after a loss of power no node has one.
func TestRouterWithoutSnapshotRejects(t *testing.T) {
	r := router.New(router.Defaults("n1", "b", "a"))
	for _, arrival := range []router.Arrival{{Request: "q1", Service: "o", Class: "k"}, {Request: "q2", Host: "h.example", Path: "/a/x"}} {
		d := onlyDecision(t, r.Step(convergeTime, arrival), router.Reject)
		if d.Invalid || d.RetryAfter != time.Second {
			t.Errorf("%+v, want a rejection that is not final, and a RetryAfter of 1s", d)
		}
	}
}

// TestStaleConfigurationRejects checks that a request waits for one more contact with the control plane and is then rejected.
func TestStaleConfigurationRejects(t *testing.T) {
	r := newRouter(t, replica("p1", "both", "a", 1))
	at := convergeTime + 2*time.Second
	if ds := r.Step(at, router.Arrival{Request: "q1", Service: "o", Class: "k"}); len(ds) > 0 {
		t.Fatalf("%+v, want none: the control plane may be in contact at any moment", ds)
	}
	ds := r.Step(at+time.Second, router.Tick{})
	if len(ds) != 1 || ds[0].Verdict != router.Reject || ds[0].RetryAfter < time.Second {
		t.Errorf("%+v, want a rejection with a RetryAfter of 1s or more", ds)
	}
	r.Step(at+time.Second, router.Arrival{Request: "q2", Service: "o", Class: "k"})
	if ds = r.Step(at+1100*time.Millisecond, router.ControlStatus{}); len(ds) != 1 || ds[0].Verdict != router.Place {
		t.Errorf("%+v, want a placement once the control plane is in contact", ds)
	}
}

func TestNewInstanceHasNoCachedPrefixes(t *testing.T) {
	r := newRouter(t, replica("p1", "both", "a", 1))
	respond(r, convergeTime+100*time.Millisecond, place(t, r, convergeTime, "q1"))
	if d := place(t, r, convergeTime+200*time.Millisecond, "q2"); d.ConfirmedTokens != 4000 {
		t.Fatalf("%+v", d)
	}
	r.Step(convergeTime+300*time.Millisecond, router.LoadReport{Replica: "p1", InstanceID: "p1.2"})
	if d := place(t, r, convergeTime+400*time.Millisecond, "q3"); d.ConfirmedTokens+d.PredictedTokens != 0 {
		t.Errorf("%+v", d)
	}
}
