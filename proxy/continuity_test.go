package proxy_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/mallowbridge/mallowbridge/proxy"
)

// event returns a short event.
func event(id any) string { return fmt.Sprintf("id: %v\ndata: %v\n\n", id, id) }

// events returns short events with the ids.
func events(ids ...any) string {
	var all strings.Builder
	for _, id := range ids {
		all.WriteString(event(id))
	}
	return all.String()
}

// withHeader adds a header to the response of a script.
func withHeader(line string, s script) script {
	return func(request receivedRequest) (string, bool) {
		text, end := s(request)
		return strings.Replace(text, "\r\n", "\r\n"+line+"\r\n", 1), end
	}
}

// serveResumed serves one request whose stream breaks off at the first replica and is resumed at a second one.
func serveResumed(t *testing.T, first, second script) (receivedResponse, *replica, *stubRouter) {
	t.Helper()
	a, b := newReplica(t, first), newReplica(t, second)
	resuming := b.place(streamRoute)
	resuming.Resumes = true
	stub := newStubRouter(partialDecision, a.place(streamRoute), resuming)
	_, url := startHTTPTest(t, stub)
	return post(t, url, "id1", ""), b, stub
}

// requestHeader returns a header of the next request that the replica received, or an empty string if there is none.
func (r *replica) requestHeader(header string) string {
	select {
	case request := <-r.requests:
		return request.req.Header.Get(header)
	default:
		return ""
	}
}

// TestStreamEndingInsideAnEventIsIncomplete has replicas end a response in the middle of an event, with correct HTTP framing.
func TestStreamEndingInsideAnEventIsIncomplete(t *testing.T) {
	for name, rest := range map[string]string{
		"in a line": "id: 2\nda", "after a line": "id: 2\ndata: b\n", "in the id": "i", "after a comment": ": ping\nid: 2\n", "carriage return": "id: 2\r",
	} {
		t.Run(name, func(t *testing.T) {
			a := newReplica(t, stream(true, event(1), rest))
			_, url := startHTTPTest(t, newStubRouter(partialDecision, a.place(streamRoute)))
			r := post(t, url, "id1", "")
			want(t, "body", r.body, event(1))
			if r.err == nil {
				t.Error("the response ended as if complete")
			}
			r, b, _ := serveResumed(t, stream(true, event(1), rest), stream(true, event(2), event(3)))
			want(t, "error", r.err, error(nil))
			want(t, "body", r.body, events(1, 2, 3))
			want(t, "last event", b.requestHeader("Last-Event-Id"), "1")
		})
	}
}

// TestStreamMayEndInAComment checks that a response may end with bytes that are not part of an event.
func TestStreamMayEndInAComment(t *testing.T) {
	for _, rest := range []string{"\n", "\r\n", ": bye", ": bye\n", ": bye\n: again\n"} {
		a := newReplica(t, stream(true, event(1), rest))
		_, url := startHTTPTest(t, newStubRouter(partialDecision, a.place(streamRoute)))
		r := post(t, url, "id1", "")
		want(t, "error", r.err, error(nil))
		want(t, "body", r.body, event(1)+rest)
	}
}

// TestResumedStreamWithGapIsCut checks that if ids were consecutive so far, a second response that starts after the next id is rejected, as
// it has lost an event.
func TestResumedStreamWithGapIsCut(t *testing.T) {
	for name, c := range map[string]struct {
		first, second, body string
		cut                 bool
	}{
		"one missing":              {events(1, 2), events(4, 5), events(1, 2), true},
		"second of all missing":    {events(1), events(3, 4), events(1), true},
		"starts again, with a gap": {events(1, 2), events(1, 2, 4), events(1, 2), true},
		"starts again":             {events(1, 2), events(1, 2, 3), events(1, 2, 3), false},
		"continues":                {events(7, 8), events(9, 10), events(7, 8, 9, 10), false},
		"ids with steps":           {events(10, 20), events(30, 40), events(10, 20, 30, 40), false},
		"opaque ids":               {events("a", "b"), events("c", "d"), events("a", "b"), true},
	} {
		t.Run(name, func(t *testing.T) {
			r, _, _ := serveResumed(t, stream(false, c.first), stream(true, c.second))
			want(t, "body", r.body, c.body)
			want(t, "cut", r.err != nil, c.cut)
		})
	}
}

// TestClientThatResumesGetsOnlyNewEvents checks that events that the client has are left out, even if the replica starts from the
// beginning.
func TestClientThatResumesGetsOnlyNewEvents(t *testing.T) {
	for name, c := range map[string]struct{ response, body string }{
		"starts again": {events(1, 2, 3, 4), events(3, 4)},
		"continues":    {events(3, 4), events(3, 4)},
		"has steps":    {events(5, 9), events(5, 9)},
		"without ids":  {"data: a\n\n" + events(3), "data: a\n\n" + events(3)},
	} {
		t.Run(name, func(t *testing.T) {
			a := newReplica(t, stream(true, c.response))
			_, url := startHTTPTest(t, newStubRouter(partialDecision, a.place(streamRoute)))
			r := postWithHeaders(t, url, http.Header{"X-Attempt": {"id1"}, "Last-Event-Id": {"2"}})
			want(t, "error", r.err, error(nil))
			want(t, "body", r.body, c.body)
		})
	}
}

// TestResumedStreamKeepsItsWeightsVersion checks that a response with another weights version never continues a stream, unless its first
// new event itself names a newer version.
func TestResumedStreamKeepsItsWeightsVersion(t *testing.T) {
	seven, eight := "X-Weights: 7", "X-Weights: 8"
	versionedEvent := func(version, id int) string { return fmt.Sprintf("x-weights: %d\n%s", version, event(id)) }
	for name, c := range map[string]struct {
		first, second  script
		body, expected string
		cut            bool
	}{
		"the same": {
			withHeader(eight, stream(false, event(1))), withHeader(eight, stream(true, event(2))), events(1, 2), "8", false,
		},
		"older": {
			withHeader(eight, stream(false, event(1))), withHeader(seven, stream(true, event(2))), event(1), "8", true,
		},
		"newer": {
			withHeader(seven, stream(false, event(1))), withHeader(eight, stream(true, event(2))), event(1), "7", true,
		},
		"older than an event named": {
			withHeader(seven, stream(false, event(1), versionedEvent(8, 2))), withHeader(seven, stream(true, event(3))), event(1) + versionedEvent(8, 2), "8", true,
		},
		"an event names an older version": {
			withHeader(eight, stream(false, event(1))), withHeader(eight, stream(true, versionedEvent(7, 2))), event(1), "8", true,
		},
		"an event names a newer version": {
			withHeader(seven, stream(false, event(1))), withHeader(seven, stream(true, versionedEvent(8, 2))), event(1) + versionedEvent(8, 2), "7", false,
		},
		"only events name it": {
			stream(false, event(1), versionedEvent(8, 2)), stream(true, versionedEvent(7, 2), event(3)), event(1) + versionedEvent(8, 2), "8", true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, b, _ := serveResumed(t, c.first, c.second)
			want(t, "body", r.body, c.body)
			want(t, "cut", r.err != nil, c.cut)
			want(t, "expected weights", b.requestHeader("X-Expected-Weights"), c.expected)
		})
	}
}

// TestMisdirectedWithWeightsVersionIsNotWrongInstance checks that a 421 to a request that names a weights version is not reported as a
// wrong instance.
func TestMisdirectedWithWeightsVersionIsNotWrongInstance(t *testing.T) {
	misdirected := respondWith("421 Misdirected", "X-Not-Run: 1\r\n", "")
	_, _, stub := serveResumed(t, withHeader("X-Weights: 7", stream(false, event(1))), misdirected)
	if all := stub.notified(); strings.Contains(all, "WrongInstance") || !strings.Contains(all, "AttemptEnded(refused)") {
		t.Error(all)
	}
}

// TestStreamIsResumedOnlyByStreamWithStatus200 uses second replicas that respond with another status or with something that is not a
// stream.
func TestStreamIsResumedOnlyByStreamWithStatus200(t *testing.T) {
	for _, second := range []script{
		respondWith("204 No Content", "", ""), respondWith("200 OK", "", events(2)), respondWith("206 Partial", "Content-Type: text/event-stream\r\n", events(2)),
		respondWith("500 Oops", "Content-Type: text/event-stream\r\n", events(2)),
	} {
		r, _, _ := serveResumed(t, stream(false, event(1)), second)
		want(t, "body", r.body, event(1))
		if r.err == nil {
			t.Error("the response ended as if complete")
		}
	}
}

func TestGapErrorNamesIDs(t *testing.T) {
	e := proxy.EventStream{MaxEventBytes: 1 << 10}
	if _, err := e.Feed([]byte(events(1, 2))); err != nil {
		t.Fatal(err)
	}
	e.StartResponse("")
	_, err := e.Feed([]byte(event(4)))
	want(t, "error", err, `resumed stream: event "4", but the one after "2" was expected`)
}
