package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/router"
)

const (
	// configurationSeeds is the number of seeds of the test below, configurationRequests the number of requests for each.
	configurationSeeds    = 200
	configurationRequests = 40
	// configurationPause is the time between requests, after which a replica that failed is used again.
	configurationPause = 10 * time.Second
)

// routeOfType returns a streaming route that is randomly idempotent or not, resumable or not, and allows one to three attempts.
func routeOfType(rng *rand.Rand) config.Route {
	r := route("k", "/", entireTraffic("a"))
	r.Streaming = true
	r.Idempotent, r.Resumable = rng.IntN(3) == 0, rng.IntN(3) == 0
	r.MaxAttempts = 1 + rng.IntN(3)
	return r
}

// TestRunningRequestKeepsThePermissionsOfItsArrival guards against requests that are sent twice, or resumed, though their route does not allow it
// (rules TWICE and UNASKED). A configuration may change the route of a running request, but whether the request may be retried or resumed
// is decided by the route as it was at arrival, since by that route the data path keeps or drops the body.
func TestRunningRequestKeepsThePermissionsOfItsArrival(t *testing.T) {
	again := 0
	for seed := range uint64(configurationSeeds) {
		rng := rand.New(rand.NewPCG(seed, 33))
		version := uint64(1)
		snapshot := routes(version, routeOfType(rng))
		r := routerWith(snapshot, instance("i1", "a"), instance("i2", "a"), instance("i3", "a"))
		for i := range configurationRequests {
			at := convergeTime + time.Duration(i)*configurationPause
			id, arrivedOn := fmt.Sprint("q", i), &snapshot.Config.Routes[0]
			first := onlyDecision(t, submit(r, at, id, "/x"), router.Place)
			r.Step(at, router.ReadyToSend{Request: id, AttemptID: first.AttemptID})
			began := rng.IntN(2) == 0
			if began {
				r.Step(at, router.ResponseHead{Request: id, AttemptID: first.AttemptID})
				r.Step(at, router.ResponseStarted{Request: id, AttemptID: first.AttemptID})
			}
			for range rng.IntN(3) {
				version++
				snapshot = routes(version, routeOfType(rng))
				r.Step(at, router.SnapshotUpdate{Snapshot: snapshot})
			}
			for _, d := range r.Step(at, router.AttemptEnded{Request: id, AttemptID: first.AttemptID, Result: router.Failed}) {
				if d.Verdict != router.Place {
					continue
				}
				again++
				allowed := arrivedOn.Idempotent || arrivedOn.Resumable
				if d.Route != arrivedOn || d.Resumes != began || (began && !arrivedOn.Resumable) || !allowed {
					t.Fatalf("seed %d, request %d, response started %v, route at arrival %+v: %+v", seed, i, began, *arrivedOn, d)
				}
			}
			r.Step(at, router.ClientDisconnected{Request: id})
		}
	}
	if again == 0 {
		t.Error("no request was placed again")
	}
	t.Logf("%d requests were placed again", again)
}
