package proxy_test

import (
	"testing"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
	"github.com/mallowbridge/mallowbridge/router"
)

// TestEachRejectionHasRetryAfter: a request that was given up without having run is answered at once, with the time to come back.
func TestEachRejectionHasRetryAfter(t *testing.T) {
	closed := newHand(t).place(unsafe)
	closed.Addr = "127.0.0.1:1"
	short := &config.Route{Timeout: 1}
	bare := router.Decision{Verdict: router.Reject}
	for name, c := range map[string]struct {
		market proxy.Router
		method string
		extra  string
		status int
	}{
		"refused by the router":         {newStubRouter(bare), "GET", "", 503},
		"unreached":                     {newStubRouter(bare, closed), "GET", "", 503},
		"no more decisions":             {ends{}, "GET", "", 503},
		"out of time before it is sent": {newStubRouter(deny, newHand(t).place(short)), "GET", "", 503},
		"upload out of time":            {newStubRouter(deny), "POST", "X-Wait-Ms: 20\r\nContent-Length: 9\r\n", 408},
	} {
		t.Run(name, func(t *testing.T) {
			_, addr := usual(t, c.market)
			u := dial(t, addr)
			u.ask(t, c.method, "id1", c.extra, "")
			r := u.answer(t, c.method)
			want(t, "status", r.status, c.status)
			want(t, "Retry-After", r.header.Get("Retry-After"), "0.25")
		})
	}
}

// TestExchangeThatMayHaveRunIsNotRejected: no decision that comes after the write, and none that is missing, makes a denial of it.
func TestExchangeThatMayHaveRunIsNotRejected(t *testing.T) {
	for name, last := range map[string]router.Decision{
		"denied": deny, "bad": {Verdict: router.Reject, Invalid: true}, "unknown": unknown, "placed again": {Verdict: router.Place, AttemptID: "z", Route: unsafe},
	} {
		t.Run(name, func(t *testing.T) {
			replica := newReplica(t, func(got) (string, bool) { return "", true })
			_, addr := usual(t, newStubRouter(last, replica.place(unsafe)))
			u := dial(t, addr)
			u.ask(t, "GET", "id1", "", "")
			want(t, "status", u.answer(t, "GET").status, 502)
		})
	}
}
