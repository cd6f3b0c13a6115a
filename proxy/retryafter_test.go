package proxy_test

import (
	"testing"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
	"github.com/mallowbridge/mallowbridge/router"
)

// TestEachRejectionHasRetryAfter checks that a request that certainly did not run is rejected at once with the time after which the client
// may send it again: at once, if the router does not say when it will have room, because another machine may have some.
func TestEachRejectionHasRetryAfter(t *testing.T) {
	closed := newManualReplica(t).place(onceRoute)
	closed.Addr = "127.0.0.1:1"
	short := &config.Route{Timeout: 1}
	bare := router.Decision{Verdict: router.Reject}
	for name, c := range map[string]struct {
		router proxy.Router
		method string
		extra  string
		status int
	}{
		"refused by the router":         {newStubRouter(bare), "GET", "", 503},
		"unreached":                     {newStubRouter(bare, closed), "GET", "", 503},
		"no more decisions":             {singleDecisionRouter{}, "GET", "", 503},
		"out of time before it is sent": {newStubRouter(rejectDecision, newManualReplica(t).place(short)), "GET", "", 503},
		"upload out of time":            {newStubRouter(rejectDecision), "POST", "X-Wait-Ms: 20\r\nContent-Length: 9\r\n", 408},
	} {
		t.Run(name, func(t *testing.T) {
			_, addr := startDefault(t, c.router)
			client := dial(t, addr)
			client.sendRequest(t, c.method, "id1", c.extra, "")
			r := client.readResponse(t, c.method)
			want(t, "status", r.status, c.status)
			want(t, "Retry-After", r.header.Get("Retry-After"), "0.01")
		})
	}
}

// TestRequestThatMayHaveRunIsNotRejected checks that neither a decision after the write nor a missing one turns a request that may have run
// into a rejected one.
func TestRequestThatMayHaveRunIsNotRejected(t *testing.T) {
	for name, last := range map[string]router.Decision{
		"rejected": rejectDecision, "invalid": {Verdict: router.Reject, Invalid: true}, "unknown": unknownDecision, "placed again": {Verdict: router.Place, AttemptID: "z", Route: onceRoute},
	} {
		t.Run(name, func(t *testing.T) {
			replica := newReplica(t, func(receivedRequest) (string, bool) { return "", true })
			_, addr := startDefault(t, newStubRouter(last, replica.place(onceRoute)))
			client := dial(t, addr)
			client.sendRequest(t, "GET", "id1", "", "")
			want(t, "status", client.readResponse(t, "GET").status, 502)
		})
	}
}
