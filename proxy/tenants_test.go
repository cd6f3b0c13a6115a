package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/router"
)

// TestReplicasAreToldTheTenantAndNoKey checks that a replica receives the tenant that the router found, whatever the client sends, and
// never a key.
func TestReplicasAreToldTheTenantAndNoKey(t *testing.T) {
	for _, tenant := range []string{"first", ""} {
		a := newReplica(t, respondWith("200 OK", "", "hi"))
		place := a.place(idempotentRoute)
		place.Tenant = tenant
		stub := newStubRouter(rejectDecision, place)
		_, url := startHTTPTest(t, stub)
		r := postWithHeaders(t, url, http.Header{"X-Attempt": {"id1"}, "X-Key": {"secret", "second"}, "X-Customer": {"made up"}})
		want(t, "status", r.status, http.StatusOK)
		arrived := <-stub.arrived
		want(t, "key", arrived.HasKey && arrived.Key == config.HashKey("secret"), true)
		request := <-a.requests
		want(t, "key at the replica", len(request.req.Header["X-Key"]), 0)
		if tenant == "" {
			want(t, "tenants", len(request.req.Header["X-Customer"]), 0)
			continue
		}
		want(t, "tenants", len(request.req.Header["X-Customer"]), 1)
		want(t, "tenant", request.req.Header.Get("X-Customer"), tenant)
	}
}

// TestOverQuotaIs429 checks the status and Retry-After of a request beyond the quota.
func TestOverQuotaIs429(t *testing.T) {
	p, addr := startDefault(t, newStubRouter(router.Decision{Verdict: router.Reject, OverQuota: true, RetryAfter: 700 * time.Millisecond}))
	client := dial(t, addr)
	client.sendRequest(t, "GET", "id1", "X-Key: secret\r\n", "")
	r := client.readResponse(t, "GET")
	want(t, "status", r.status, http.StatusTooManyRequests)
	want(t, "retry", r.header.Get("Retry-After"), "0.7")
	want(t, "counted", p.Counters.OverQuota.Load(), 1)
}

// TestUnauthorizedIs401 checks the status, and that the connection serves the next request.
func TestUnauthorizedIs401(t *testing.T) {
	p, addr := startDefault(t, newStubRouter(router.Decision{Verdict: router.Reject, Unauthorized: true, Reason: "no tenant has the key"}))
	client := dial(t, addr)
	for range 2 {
		client.sendRequest(t, "GET", "id1", "X-Key: secret\r\n", "")
		r := client.readResponse(t, "GET")
		want(t, "status", r.status, http.StatusUnauthorized)
		want(t, "retry", r.header.Get("Retry-After"), "")
	}
	want(t, "counted", p.Counters.Unauthorized.Load(), 2)
}
