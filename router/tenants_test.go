package router_test

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/router"
)

// submitWithKey submits a request for a path, with a key unless it is empty.
func submitWithKey(r *router.Router, id, path, key string) []router.Decision {
	r.Step(convergeTime, router.ControlStatus{})
	a := router.Arrival{Request: id, Host: "h.example", Path: path, PromptTokens: 500}
	if key != "" {
		a.Key, a.HasKey = config.HashKey(key), true
	}
	return r.Step(convergeTime, a)
}

func tenants(version uint64, list ...config.Tenant) *config.Snapshot {
	p := routes(version, route("keyed", "/a/", entireTraffic("a")), route("open", "/open/", entireTraffic("a")))
	p.Config.Routes[0].Priority, p.Config.Routes[1].Priority, p.Config.Routes[1].Public = 3, 3, true
	p.Config.Tenants = list
	for i := range p.Config.Services {
		p.Config.Services[i].MaxTokensPerEvent = 0
	}
	return p
}

func tenant(name string, keys ...string) config.Tenant {
	one := config.Tenant{Name: name}
	for _, key := range keys {
		one.Keys = append(one.Keys, config.HashKey(key))
	}
	return one
}

// TestKeysOfTenants checks that a route accepts only requests with a known key, that a public one accepts all, and that the decision names the
// key's tenant in both cases.
func TestKeysOfTenants(t *testing.T) {
	first := tenant("first", "k1", "k2")
	first.Priority, first.HasPriority = 0, true
	r := routerWith(tenants(1, first, tenant("second", "k3")), instance("i1", "a"))
	for _, c := range []struct {
		path, key, tenant string
		priority          int
		refused           bool
	}{
		{"/a/x", "k1", "first", 0, false}, {"/a/x", "k2", "first", 0, false}, {"/a/x", "k3", "second", 3, false},
		{"/a/x", "", "", 0, true}, {"/a/x", "unknown", "", 0, true}, {"/a/x", "k", "", 0, true},
		{"/open/x", "", "", 3, false}, {"/open/x", "k1", "first", 0, false}, {"/open/x", "unknown", "", 3, false},
	} {
		id := c.path + c.key
		if c.refused {
			if d := onlyDecision(t, submitWithKey(r, id, c.path, c.key), router.Reject); !d.Unauthorized || d.Invalid {
				t.Errorf("%s: %+v", id, d)
			}
			continue
		}
		if d := onlyDecision(t, submitWithKey(r, id, c.path, c.key), router.Place); d.Tenant != c.tenant || d.Priority != c.priority {
			t.Errorf("%s: tenant %q, priority %d", id, d.Tenant, d.Priority)
		}
		r.Step(convergeTime, router.ClientDisconnected{Request: id})
	}
	if d := onlyDecision(t, submitWithKey(r, "lost", "/nowhere", "k1"), router.Reject); !d.Invalid || d.Unauthorized {
		t.Errorf("no route: %+v", d)
	}
}

// TestKeysChangeWithTheConfiguration checks that the valid keys are those of the newest version, and that a configuration without tenants
// requires none.
func TestKeysChangeWithTheConfiguration(t *testing.T) {
	r := routerWith(tenants(1, tenant("first", "k1")), instance("i1", "a"))
	onlyDecision(t, submitWithKey(r, "q1", "/a/x", "k2"), router.Reject)
	r.Step(convergeTime, router.SnapshotUpdate{Snapshot: tenants(2, tenant("first", "k2"))})
	onlyDecision(t, submitWithKey(r, "q2", "/a/x", "k2"), router.Place)
	onlyDecision(t, submitWithKey(r, "q3", "/a/x", "k1"), router.Reject)
	r.Step(convergeTime, router.SnapshotUpdate{Snapshot: tenants(1, tenant("first", "k1"))})
	onlyDecision(t, submitWithKey(r, "q4", "/a/x", "k1"), router.Reject)
	r.Step(convergeTime, router.SnapshotUpdate{Snapshot: tenants(3)})
	if d := onlyDecision(t, submitWithKey(r, "q5", "/a/x", "k1"), router.Place); d.Tenant != "" {
		t.Errorf("%+v", d)
	}
}

// TestUrgentTenantGoesFirst lets requests of two tenants wait for one free slot. The later request, of the more urgent tenant, must get it.
func TestUrgentTenantGoesFirst(t *testing.T) {
	urgent, other := tenant("urgent", "k1"), tenant("other", "k2")
	urgent.Priority, urgent.HasPriority = 0, true
	other.Priority, other.HasPriority = 9, true
	p := tenants(1, other, urgent)
	for i := range p.Config.Services {
		p.Config.Services[i].Queues = false
	}
	p.Config.Routes[0].FirstTokenTarget, p.Config.Routes[0].Timeout = 20*time.Second, time.Minute
	only := instance("i1", "a")
	only.Capacity = 1
	r := routerWith(p, only)
	running := onlyDecision(t, submitWithKey(r, "running", "/a/x", "k2"), router.Place)
	if waiting := append(submitWithKey(r, "late", "/a/x", "k2"), submitWithKey(r, "first", "/a/x", "k1")...); len(waiting) > 0 {
		t.Fatalf("%+v", waiting)
	}
	r.Step(convergeTime, router.ReadyToSend{Request: "running", AttemptID: running.AttemptID})
	done := r.Step(convergeTime, router.AttemptEnded{Request: "running", AttemptID: running.AttemptID, Result: router.Completed})
	placed := ""
	for _, d := range done {
		if d.Verdict == router.Place {
			placed = d.Request
		}
	}
	if placed != "first" {
		t.Errorf("%+v", done)
	}
}
