package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/router"
)

func routes(version uint64, rs ...config.Route) *config.Snapshot {
	p := &config.Snapshot{Version: version}
	for _, name := range []string{"a", "b"} {
		p.Config.Services = append(p.Config.Services, config.Service{
			Name: name, Model: "m", Discovered: true, Queues: true, MaxConns: 100, WarmupRate: 20, WarmupTime: 3 * time.Second, PrefixCacheTokens: 10000,
			RetryRatio: 0.2, RetryAllowance: 4, MaxTokensPerEvent: 6,
		})
	}
	p.Config.Routes = rs
	return p
}

func route(name, prefix string, split ...config.WeightedService) config.Route {
	return config.Route{
		Name: name, Host: "H.example", Prefix: prefix, TrafficSplit: split, Timeout: 3 * time.Second, FirstTokenTarget: 800 * time.Millisecond, MaxAttempts: 2,
	}
}

func entireTraffic(service string) config.WeightedService {
	return config.WeightedService{Service: service, Weight: 1}
}

func instance(id, service string) router.Instance {
	return router.Instance{ID: id, Service: service, Addr: "10.0.0.1:1", Zone: "a", Model: "m", WeightsRevision: "1", Capacity: 8}
}

// routerWith returns a router with a configuration and a platform list.
func routerWith(p *config.Snapshot, rows ...router.Instance) *router.Router {
	r := router.New(router.Defaults("n1", "b", "a"))
	r.Step(0, router.ReplicaList{Instances: rows})
	r.Step(0, router.SnapshotUpdate{Snapshot: p})
	r.Step(0, router.Routers{Names: []string{"n1"}, Zones: []string{"a"}})
	r.Step(convergeTime, router.ControlStatus{})
	return r
}

func submit(r *router.Router, now time.Duration, id, path string) []router.Decision {
	r.Step(now, router.ControlStatus{})
	return r.Step(now, router.Arrival{Request: id, Host: "h.example:80", Path: path, Prefix: "ab:300,cd:100", PromptTokens: 500})
}

// onlyDecision checks that there is exactly one decision, with the given verdict, and returns it.
func onlyDecision(t *testing.T, ds []router.Decision, v router.Verdict) router.Decision {
	t.Helper()
	if len(ds) != 1 || ds[0].Verdict != v {
		t.Fatalf("%+v, want %s", ds, v)
	}
	return ds[0]
}

func TestLongestPathPrefixMatches(t *testing.T) {
	p := routes(1, route("short", "/a/", entireTraffic("a")), route("long", "/a/b/", entireTraffic("b")))
	r := routerWith(p, instance("i1", "a"), instance("i2", "b"))
	d := onlyDecision(t, submit(r, convergeTime, "q1", "/a/b/c"), router.Place)
	if d.Instance != "i2" || d.Route != &p.Config.Routes[1] || d.Deadline != convergeTime+3*time.Second || d.MaxConns != 80 {
		t.Errorf("%+v", d)
	}
	if d = onlyDecision(t, submit(r, convergeTime, "q2", "/a/c"), router.Place); d.Instance != "i1" {
		t.Errorf("%+v", d)
	}
	for _, path := range []string{"/", "/b/", "/a"} {
		if d = onlyDecision(t, submit(r, convergeTime, "q3", path), router.Reject); !d.Invalid {
			t.Errorf("%s: %+v", path, d)
		}
	}
}

func TestSplitsFollowTheirWeights(t *testing.T) {
	big, rows := 0, []router.Instance{instance("i1", "a"), instance("i2", "b")}
	rows[0].Capacity, rows[1].Capacity = 4000, 4000
	r := routerWith(routes(1, route("k", "/", config.WeightedService{Service: "a", Weight: 90}, config.WeightedService{Service: "b", Weight: 10})), rows...)
	for i := range 2000 {
		if onlyDecision(t, submit(r, convergeTime, fmt.Sprint(i), "/x"), router.Place).Instance == "i1" {
			big++
		}
		r.Step(convergeTime, router.ClientDisconnected{Request: fmt.Sprint(i)})
	}
	if big < 1740 || big > 1860 {
		t.Errorf("%d of 2000 requests went to the service with 90 %% of the weight", big)
	}
}

func TestRouteRemovedWhileRequestIsQueued(t *testing.T) {
	r := routerWith(routes(1, route("k", "/", entireTraffic("a"))))
	if ds := submit(r, convergeTime, "q", "/x"); len(ds) > 0 {
		t.Fatalf("%+v", ds)
	}
	d := onlyDecision(t, r.Step(convergeTime+time.Millisecond, router.SnapshotUpdate{Snapshot: routes(2, route("other", "/o/", entireTraffic("a")))}), router.Reject)
	if d.Invalid || !d.RejectedLate {
		t.Errorf("%+v, want a rejection that is not final, of a request that had waited", d)
	}
}

func TestReplicaListChanges(t *testing.T) {
	r := routerWith(routes(1, route("k", "/", entireTraffic("a"))), instance("i1", "a"))
	d := onlyDecision(t, submit(r, convergeTime, "q1", "/x"), router.Place)
	r.Step(convergeTime, router.ReadyToSend{Request: "q1", AttemptID: d.AttemptID})
	r.Step(convergeTime, router.ResponseHead{Request: "q1", AttemptID: d.AttemptID})
	r.Step(convergeTime, router.AttemptEnded{Request: "q1", AttemptID: d.AttemptID, Result: router.Completed})
	at := convergeTime + 100*time.Millisecond
	if d = onlyDecision(t, submit(r, at, "q2", "/x"), router.Place); d.ConfirmedTokens != 400 {
		t.Errorf("cached prefix is not counted: %+v", d)
	}
	newer := instance("i1", "a")
	newer.WeightsRevision = "2"
	r.Step(at, router.ReplicaList{Instances: []router.Instance{newer}})
	if d = onlyDecision(t, submit(r, at, "q3", "/x"), router.Place); d.ConfirmedTokens+d.PredictedTokens != 0 {
		t.Errorf("prefix cached with other weights is counted: %+v", d)
	}
	r.Step(at, router.ReplicaList{Instances: []router.Instance{instance("i0", "a")}, Age: time.Second})
	if d = onlyDecision(t, submit(r, at, "q4", "/x"), router.Place); d.Instance != "i1" {
		t.Errorf("an older list was applied: %+v", d)
	}
	leaving := newer
	leaving.Draining = true
	r.Step(at, router.ReplicaList{Instances: []router.Instance{leaving, instance("i2", "a")}})
	for i := range 4 {
		if d = onlyDecision(t, submit(r, at, fmt.Sprint("l", i), "/x"), router.Place); d.Instance != "i2" {
			t.Errorf("placed on a draining instance: %+v", d)
		}
	}
	r.Step(at, router.WrongInstance{Replica: "i2"})
	r.Step(at, router.ReplicaList{Instances: []router.Instance{leaving, instance("i2", "a")}})
	if ds := submit(r, at, "q5", "/x"); len(ds) != 0 {
		t.Errorf("placed at an address where another instance responds: %+v", ds)
	}
	d = onlyDecision(t, r.Step(at, router.ReplicaList{Instances: []router.Instance{instance("i3", "a")}}), router.Place)
	if d.Instance != "i3" || d.Request != "q5" {
		t.Errorf("%+v", d)
	}
}

func TestRowsOfRemovedInstancesAreReused(t *testing.T) {
	r := routerWith(routes(1, route("k", "/", entireTraffic("a"))), instance("i0", "a"))
	for i := range 50 {
		at := convergeTime + time.Duration(i)*20*time.Second
		r.Step(at, router.ReplicaList{Instances: []router.Instance{instance(fmt.Sprint("i", i), "a")}})
		if d := onlyDecision(t, submit(r, at, fmt.Sprint("q", i), "/x"), router.Place); d.Instance != fmt.Sprint("i", i) {
			t.Fatalf("%d: %+v", i, d)
		}
		r.Step(at, router.ClientDisconnected{Request: fmt.Sprint("q", i)})
	}
	if r.Rows() > 3 {
		t.Errorf("%d rows for one replica", r.Rows())
	}
}

func TestClassesOfRemovedRoutesAreReused(t *testing.T) {
	r := routerWith(routes(1, route("k", "/", entireTraffic("a"))), instance("i", "a"))
	for i := range 50 {
		name := fmt.Sprint("k", i)
		r.Step(convergeTime, router.SnapshotUpdate{Snapshot: routes(uint64(2+i), route(name, "/"+name+"/", entireTraffic("a")))})
		d := onlyDecision(t, submit(r, convergeTime, name, "/"+name+"/"), router.Place)
		r.Step(convergeTime, router.ReadyToSend{Request: name, AttemptID: d.AttemptID})
		r.Step(convergeTime, router.AttemptEnded{Request: name, AttemptID: d.AttemptID, Result: router.Completed})
	}
	if r.Kinds() > 3 {
		t.Errorf("%d classes for one route", r.Kinds())
	}
}

func TestRestoredZoneIsWarmingUp(t *testing.T) {
	p := routes(1, route("k", "/", entireTraffic("a")))
	p.EvacuatedZones = []string{"a"}
	r := routerWith(p, instance("i", "a"))
	if ds := submit(r, convergeTime, "q0", "/x"); len(ds) > 0 {
		t.Fatalf("placed in an evacuated zone: %+v", ds)
	}
	n := 0
	for i, d := range r.Step(convergeTime, router.SnapshotUpdate{Snapshot: routes(2, route("k", "/", entireTraffic("a")))}) {
		n += i + 1
		onlyDecision(t, []router.Decision{d}, router.Place)
	}
	for i := range 7 {
		n += len(submit(r, convergeTime, fmt.Sprint("q1", i), "/x"))
	}
	if n != 1 {
		t.Errorf("%d requests placed at once on a replica that may need to warm up, not 1", n)
	}
}

// TestReplacedInstanceIsKnownToAllRouters checks that when one router gets a 421 (another instance responded), all routers stop using the instance.
func TestReplacedInstanceIsKnownToAllRouters(t *testing.T) {
	p := routes(1, route("r", "/", entireTraffic("a")))
	rows := []router.Instance{instance("i1", "a"), instance("i2", "a")}
	one, two := routerWith(p, rows...), routerWith(p, rows...)
	if f, known := one.Failures(convergeTime); known {
		t.Fatalf("%+v", f)
	}
	one.Step(convergeTime, router.WrongInstance{Replica: "i2"})
	f, known := one.Failures(convergeTime)
	if !known || len(f.Rows) != 1 || f.Rows[0] != (router.Failure{Replica: "i2", Gone: true}) {
		t.Fatalf("%+v", f)
	}
	f.By = "n2"
	two.Step(convergeTime, f)
	for i := range 8 {
		for _, d := range submit(two, convergeTime+time.Duration(i), fmt.Sprint("q", i), "/") {
			if d.Instance == "i2" {
				t.Fatalf("%+v", d)
			}
		}
	}
}

func TestRoundRobinTakesReplicasInTurn(t *testing.T) {
	r := routerWith(routes(1, route("k", "/", entireTraffic("a"))), instance("i1", "a"), instance("i2", "a"))
	r.EnableRoundRobin()
	at := map[string]int{}
	for i := range 4 {
		ds := r.Step(convergeTime, router.Arrival{Request: fmt.Sprint("q", i), Host: "h.example", Path: "/x", Prefix: "ab:3000,cd:9", PromptTokens: 3100})
		at[onlyDecision(t, ds, router.Place).Replica]++
	}
	if at["i1"] != 2 || at["i2"] != 2 {
		t.Error(at)
	}
}
