package proxy_test

import (
	"testing"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
)

// TestEachDenialSaysWhenToComeBack: a request that was given up without having run is answered at once, with the time to come back.
func TestEachDenialSaysWhenToComeBack(t *testing.T) {
	gone := newHand(t).place(unsafe)
	gone.Addr = "127.0.0.1:1"
	short := &config.Route{Timeout: 1}
	bare := mallowbridge.Decision{Verdict: mallowbridge.Deny}
	for name, c := range map[string]struct {
		market proxy.Market
		method string
		extra  string
		status int
	}{
		"refused by the market":         {newMarket(bare), "GET", "", 503},
		"unreached":                     {newMarket(bare, gone), "GET", "", 503},
		"no more decisions":             {ends{}, "GET", "", 503},
		"out of time before it is sent": {newMarket(deny, newHand(t).place(short)), "GET", "", 503},
		"upload out of time":            {newMarket(deny), "POST", "X-Wait-Ms: 20\r\nContent-Length: 9\r\n", 408},
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

// TestWhatMayHaveRunIsNotDenied: no decision that comes after the write, and none that is missing, makes a denial of it.
func TestWhatMayHaveRunIsNotDenied(t *testing.T) {
	for name, last := range map[string]mallowbridge.Decision{
		"denied": deny, "bad": {Verdict: mallowbridge.Deny, Bad: true}, "unknown": unknown, "placed again": {Verdict: mallowbridge.Place, Go: "z", Route: unsafe},
	} {
		t.Run(name, func(t *testing.T) {
			rep := newReplica(t, func(got) (string, bool) { return "", true })
			_, addr := usual(t, newMarket(last, rep.place(unsafe)))
			u := dial(t, addr)
			u.ask(t, "GET", "id1", "", "")
			want(t, "status", u.answer(t, "GET").status, 502)
		})
	}
}
