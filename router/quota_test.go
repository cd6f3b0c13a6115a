package router_test

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/quota"
	"github.com/mallowbridge/mallowbridge/router"
)

// limitedTenant returns a tenant with a quota of rate tokens per second.
func limitedTenant(name, key string, rate float64) config.Tenant {
	one := tenant(name, key)
	one.Rate, one.ByTokens, one.UncachedTokens = rate, true, 200
	return one
}

// placeAndRequestQuota places a request of 500 tokens and returns the quota requests that the router makes before the request may be sent.
func placeAndRequestQuota(t *testing.T, r *router.Router, now time.Duration, id, path, key string) (router.Decision, []quota.Request) {
	t.Helper()
	d := onlyDecision(t, submitWithKey(r, id, path, key), router.Place)
	return d, requestQuota(t, r, now, d)
}

// requestQuota reports an attempt as ready to send and returns the router's quota requests. If there are any, the attempt must not be sent yet.
func requestQuota(t *testing.T, r *router.Router, now time.Duration, placed router.Decision) []quota.Request {
	t.Helper()
	ds := r.Step(now, router.ReadyToSend{Request: placed.Request, AttemptID: placed.AttemptID})
	requests := r.TakeQuotaRequests()
	if len(requests) > 0 && len(ds) > 0 {
		t.Fatalf("decided before the quota is granted: %+v", ds)
	}
	return requests
}

// decideQuota passes the outcome of a quota request to the router.
func decideQuota(r *router.Router, now time.Duration, o quota.Outcome) []router.Decision {
	return r.Step(now, router.QuotaDecided{Outcome: o})
}

// lastDecision checks the verdict of the last of some decisions and returns that decision.
func lastDecision(t *testing.T, ds []router.Decision, v router.Verdict) router.Decision {
	t.Helper()
	if len(ds) == 0 {
		t.Fatalf("no decision, want %s", v)
	}
	return onlyDecision(t, ds[len(ds)-1:], v)
}

// TestTenantsKeepTheirQuotas checks that a request over the quota is rejected as such, that the tenant's next request is rejected at arrival, and
// that other tenants are not affected.
func TestTenantsKeepTheirQuotas(t *testing.T) {
	r := routerWith(tenants(1, limitedTenant("small", "k1", 500), tenant("free", "k2")), instance("i1", "a"))
	_, requests := placeAndRequestQuota(t, r, convergeTime, "s1", "/a/x", "k1")
	if len(requests) != 1 || requests[0].Tenant != "small" || requests[0].Cost != 500 {
		t.Fatalf("%+v", requests)
	}
	onlyDecision(t, decideQuota(r, convergeTime, quota.Outcome{ID: requests[0].ID, Granted: true, Until: convergeTime + quota.GrantLifetime}), router.Send)

	_, requests = placeAndRequestQuota(t, r, convergeTime, "s2", "/a/x", "k1")
	d := lastDecision(t, decideQuota(r, convergeTime, quota.Outcome{ID: requests[0].ID, RetryAfter: 300 * time.Millisecond, EmptyFor: 200 * time.Millisecond}), router.Reject)
	if !d.OverQuota || d.RetryAfter != 300*time.Millisecond || d.Invalid || d.Unauthorized {
		t.Errorf("%+v", d)
	}
	if d := onlyDecision(t, submitWithKey(r, "s3", "/a/x", "k1"), router.Reject); !d.OverQuota || d.RetryAfter != 200*time.Millisecond {
		t.Errorf("%+v", d)
	}
	if _, requests = placeAndRequestQuota(t, r, convergeTime, "f1", "/a/x", "k2"); len(requests) > 0 {
		t.Errorf("%+v", requests)
	}
}

// TestRequestIsChargedWhenItIsSent checks that a grant which has expired when the attempt could be sent is not used but requested again.
func TestRequestIsChargedWhenItIsSent(t *testing.T) {
	r := routerWith(tenants(1, limitedTenant("a", "k1", 500)), instance("i1", "a"))
	_, requests := placeAndRequestQuota(t, r, convergeTime, "q1", "/a/x", "k1")
	late := convergeTime + quota.GrantLifetime + time.Millisecond
	if ds := decideQuota(r, late, quota.Outcome{ID: requests[0].ID, Granted: true, Until: convergeTime + quota.GrantLifetime}); len(ds) > 0 {
		t.Fatalf("%+v", ds)
	}
	again := r.TakeQuotaRequests()
	if len(again) != 1 {
		t.Fatalf("%+v", again)
	}
	onlyDecision(t, decideQuota(r, late, quota.Outcome{ID: again[0].ID, Granted: true, Until: late + quota.GrantLifetime}), router.Send)
}

// TestSecondAttemptIsChargedWhereTheFirstMayHaveRun checks that a second attempt needs a grant of its own if the first may have run, and none if
// no replica ran the first.
func TestSecondAttemptIsChargedWhereTheFirstMayHaveRun(t *testing.T) {
	for result, want := range map[router.AttemptResult]int{router.Failed: 1, router.Refused: 0, router.NotSent: 0} {
		p := tenants(1, limitedTenant("a", "k1", 500))
		p.Config.Routes[0].Idempotent, p.Config.Routes[0].MaxAttempts = true, 3
		p.Config.Services[0].RetryRatio, p.Config.Services[0].RetryAllowance = 1, 100
		r := routerWith(p, instance("i1", "a"), instance("i2", "a"))
		placed, requests := placeAndRequestQuota(t, r, convergeTime, "q1", "/a/x", "k1")
		onlyDecision(t, decideQuota(r, convergeTime, quota.Outcome{ID: requests[0].ID, Granted: true, Until: convergeTime + quota.GrantLifetime}), router.Send)
		second := lastDecision(t, r.Step(convergeTime, router.AttemptEnded{Request: "q1", AttemptID: placed.AttemptID, Result: result}), router.Place)
		if again := requestQuota(t, r, convergeTime, second); len(again) != want {
			t.Errorf("%s: %+v", result, again)
		}
	}
}

// TestSilentOwnersAreNotAQuotaThatIsUsedUp checks that a request is not rejected as over quota if no owner of the quota answers, whether the
// control plane reports that or the request times out.
func TestSilentOwnersAreNotAQuotaThatIsUsedUp(t *testing.T) {
	r := routerWith(tenants(1, limitedTenant("a", "k1", 500)), instance("i1", "a"))
	_, requests := placeAndRequestQuota(t, r, convergeTime, "q1", "/a/x", "k1")
	if d := lastDecision(t, decideQuota(r, convergeTime, quota.Outcome{ID: requests[0].ID, Unanswered: true}), router.Reject); d.OverQuota || d.RetryAfter <= 0 {
		t.Errorf("%+v", d)
	}
	_, requests = placeAndRequestQuota(t, r, convergeTime, "q2", "/a/x", "k1")
	r.Step(convergeTime+2900*time.Millisecond, router.ControlStatus{})
	if ds := r.Step(convergeTime+2900*time.Millisecond, router.Tick{}); len(ds) > 0 {
		t.Errorf("%+v, want none: an owner may still answer in time", ds)
	}
	if d := lastDecision(t, r.Step(convergeTime+2990*time.Millisecond, router.Tick{}), router.Reject); d.OverQuota || d.Request != "q2" || d.RetryAfter != quota.TakeoverDelay {
		t.Errorf("%+v, want a rejection before the deadline, with the time until another owner grants", d)
	}
	if ds := decideQuota(r, convergeTime+2990*time.Millisecond, quota.Outcome{ID: requests[0].ID, Granted: true, Until: convergeTime + 4*time.Second}); len(ds) > 0 {
		t.Errorf("%+v", ds)
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
