package proxy_test

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
)

// TestRequestWithoutItsBodyIsNotSentAgain guards against UNASKED: the router names a route that became resumable, or repeatable, after the
// request's first placement, when its body was let go. The second replica must get nothing, rather than the head with an empty body.
func TestRequestWithoutItsBodyIsNotSentAgain(t *testing.T) {
	arrivedOn := &config.Route{Streaming: true, Timeout: time.Minute}
	for name, later := range map[string]*config.Route{"resumable": streams, "repeatable": safe} {
		t.Run(name, func(t *testing.T) {
			first := newReplica(t, stream(false, event(1), "id: 2\nda"))
			second := newReplica(t, stream(true, event(2)))
			onward := second.place(later)
			onward.Resumes = true
			_, url := serve(t, newStubRouter(partial, first.place(arrivedOn), onward))
			r := call(t, url, "id1", "the body of the request")
			want(t, "body", r.body, event(1))
			if r.err == nil {
				t.Error("the stream ended as if whole")
			}
			want(t, "requests at the second replica", len(second.got), 0)
			want(t, "body at the first replica", (<-first.got).body, "the body of the request")
		})
	}
}
