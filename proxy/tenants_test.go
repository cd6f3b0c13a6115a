package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/router"
)

// TestReplicasAreToldTheTenantAndNoKey: whatever a client sends, a replica gets the tenant that the router found, and never a key.
func TestReplicasAreToldTheTenantAndNoKey(t *testing.T) {
	for _, tenant := range []string{"first", ""} {
		a := newReplica(t, say("200 OK", "", "hi"))
		place := a.place(safe)
		place.Tenant = tenant
		m := newStubRouter(deny, place)
		_, url := serve(t, m)
		r := callWith(t, url, http.Header{"X-Attempt": {"id1"}, "X-Key": {"secret", "second"}, "X-Customer": {"made up"}})
		want(t, "status", r.status, http.StatusOK)
		arrived := <-m.arrived
		want(t, "key", arrived.HasKey && arrived.Key == config.HashKey("secret"), true)
		g := <-a.got
		want(t, "key at the replica", len(g.req.Header["X-Key"]), 0)
		if tenant == "" {
			want(t, "tenants", len(g.req.Header["X-Customer"]), 0)
			continue
		}
		want(t, "tenants", len(g.req.Header["X-Customer"]), 1)
		want(t, "tenant", g.req.Header.Get("X-Customer"), tenant)
	}
}

// TestOverQuotaIs429 with when to come back.
func TestOverQuotaIs429(t *testing.T) {
	p, addr := usual(t, newStubRouter(router.Decision{Verdict: router.Reject, OverQuota: true, RetryAfter: 700 * time.Millisecond}))
	u := dial(t, addr)
	u.ask(t, "GET", "id1", "X-Key: secret\r\n", "")
	r := u.answer(t, "GET")
	want(t, "status", r.status, http.StatusTooManyRequests)
	want(t, "retry", r.header.Get("Retry-After"), "0.7")
	want(t, "counted", p.Counters.OverQuota.Load(), 1)
}

// TestUnauthorizedIs401 on a kept connection, which serves the next request.
func TestUnauthorizedIs401(t *testing.T) {
	p, addr := usual(t, newStubRouter(router.Decision{Verdict: router.Reject, Unauthorized: true, Reason: "no tenant has the key"}))
	u := dial(t, addr)
	for range 2 {
		u.ask(t, "GET", "id1", "X-Key: secret\r\n", "")
		r := u.answer(t, "GET")
		want(t, "status", r.status, http.StatusUnauthorized)
		want(t, "retry", r.header.Get("Retry-After"), "")
	}
	want(t, "counted", p.Counters.Unauthorized.Load(), 2)
}
