package proxy_test

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
)

// TestRequestWithReleasedBodyIsNotSentAgain guards against sending a request without its body: the router names a route that became
// resumable or idempotent after the request's first placement, when the body had already been released. The second replica must receive
// nothing instead of the head with an empty body.
func TestRequestWithReleasedBodyIsNotSentAgain(t *testing.T) {
	firstRoute := &config.Route{Streaming: true, Timeout: time.Minute}
	for name, laterRoute := range map[string]*config.Route{"resumable": streamRoute, "idempotent": idempotentRoute} {
		t.Run(name, func(t *testing.T) {
			first := newReplica(t, stream(false, event(1), "id: 2\nda"))
			second := newReplica(t, stream(true, event(2)))
			resuming := second.place(laterRoute)
			resuming.Resumes = true
			_, url := startHTTPTest(t, newStubRouter(partialDecision, first.place(firstRoute), resuming))
			r := post(t, url, "id1", "the body of the request")
			want(t, "body", r.body, event(1))
			if r.err == nil {
				t.Error("the stream ended as if complete")
			}
			want(t, "requests at the second replica", len(second.requests), 0)
			want(t, "body at the first replica", (<-first.requests).body, "the body of the request")
		})
	}
}
