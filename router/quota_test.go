package router_test

import (
	"fmt"
	"testing"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/quota"
	"github.com/mallowbridge/mallowbridge/router"
)

// limited is a tenant that may use so many tokens a second.
func limited(name, key string, rate float64) config.Tenant {
	one := tenant(name, key)
	one.Rate, one.ByTokens, one.UncachedTokens = rate, true, 200
	return one
}

// TestTenantsKeepTheirQuotas: what is over gets a rejection of its own, and others are not concerned.
func TestTenantsKeepTheirQuotas(t *testing.T) {
	r := routed(tenants(1, limited("small", "k1", 500), limited("large", "k2", 1e6)), row("i1", "a"))
	taken := 0
	for i := range 20 {
		d := keyed(r, fmt.Sprint("s", i), "/a/x", "k1")[0]
		if d.Verdict == router.Place {
			taken++
			r.Step(convergeTime, router.ClientDisconnected{Request: d.Request})
			continue
		}
		if !d.OverQuota || d.RetryAfter <= 0 || d.Bad || d.Unauthorized {
			t.Errorf("%+v", d)
		}
	}
	// Eight seconds of 500 tokens hold eight requests of 500.
	if taken < 3 || taken > 8 {
		t.Errorf("%d requests were taken", taken)
	}
	one(t, keyed(r, "other", "/a/x", "k2"), router.Place)
}

// TestOtherRoutersUseCounts: what others say that they admitted is gone here.
func TestOtherRoutersUseCounts(t *testing.T) {
	r := routed(tenants(1, limited("a", "k1", 500)), row("i1", "a"))
	r.Step(convergeTime, router.Routers{Names: []string{"n1", "n2"}, Zones: []string{"a", "a"}})
	r.Step(convergeTime, router.TenantUsage{Usage: quota.Usage{By: "n2", Rows: []quota.Row{{Tenant: "a", Admitted: 4000, Demand: 500}}}})
	if d := one(t, keyed(r, "q1", "/a/x", "k1"), router.Reject); !d.OverQuota {
		t.Errorf("%+v", d)
	}
	u, due := r.TenantUsage(convergeTime)
	if !due || u.By != "n1" || len(u.Rows) != 1 || u.Rows[0].Tenant != "a" || u.Rows[0].Admitted != 0 || u.Rows[0].Demand == 0 {
		t.Errorf("%v %+v", due, u)
	}
}

func TestCostOfRequests(t *testing.T) {
	for _, c := range []struct {
		tenant config.Tenant
		tokens int
		want   float64
	}{
		{config.Tenant{}, 500, 1}, {config.Tenant{}, 0, 1}, {config.Tenant{ByTokens: true, UncachedTokens: 200}, 500, 500},
		{config.Tenant{ByTokens: true, UncachedTokens: 200}, 0, 200},
	} {
		if got := c.tenant.Cost(c.tokens); got != c.want {
			t.Errorf("%+v, %d tokens: %g", c.tenant, c.tokens, got)
		}
	}
}
