package proxy_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/mallowbridge/mallowbridge/proxy"
)

// event gives a short event.
func event(id any) string { return fmt.Sprintf("id: %v\ndata: %v\n\n", id, id) }

// events joins short events of the ids.
func events(ids ...any) string {
	var all strings.Builder
	for _, id := range ids {
		all.WriteString(event(id))
	}
	return all.String()
}

// withHeader puts a header into the answer of a script.
func withHeader(line string, s script) script {
	return func(g got) (string, bool) {
		text, end := s(g)
		return strings.Replace(text, "\r\n", "\r\n"+line+"\r\n", 1), end
	}
}

// resumed serves one request whose stream goes on at a second replica.
func resumed(t *testing.T, first, second script) (reply, *replica, *stubRouter) {
	t.Helper()
	a, b := newReplica(t, first), newReplica(t, second)
	onward := b.place(streams)
	onward.Resumes = true
	m := newStubRouter(partial, a.place(streams), onward)
	_, url := serve(t, m)
	return call(t, url, "id1", ""), b, m
}

// asked gives a header of the request that came next; empty where none came.
func (r *replica) asked(header string) string {
	select {
	case g := <-r.got:
		return g.req.Header.Get(header)
	default:
		return ""
	}
}

// TestStreamEndingInsideAnEventIsIncomplete has replicas that end an answer with proper framing in the middle of an event.
func TestStreamEndingInsideAnEventIsIncomplete(t *testing.T) {
	for name, rest := range map[string]string{
		"in a line": "id: 2\nda", "after a line": "id: 2\ndata: b\n", "in the id": "i", "behind a comment": ": ping\nid: 2\n", "carriage return": "id: 2\r",
	} {
		t.Run(name, func(t *testing.T) {
			a := newReplica(t, stream(true, event(1), rest))
			_, url := serve(t, newStubRouter(partial, a.place(streams)))
			r := call(t, url, "id1", "")
			want(t, "body", r.body, event(1))
			if r.err == nil {
				t.Error("the answer ended as if complete")
			}
			r, b, _ := resumed(t, stream(true, event(1), rest), stream(true, event(2), event(3)))
			want(t, "error", r.err, error(nil))
			want(t, "body", r.body, events(1, 2, 3))
			want(t, "last event", b.asked("Last-Event-Id"), "1")
		})
	}
}

// TestStreamMayEndInAComment: what is no part of an event may end an answer.
func TestStreamMayEndInAComment(t *testing.T) {
	for _, rest := range []string{"\n", "\r\n", ": bye", ": bye\n", ": bye\n: again\n"} {
		a := newReplica(t, stream(true, event(1), rest))
		_, url := serve(t, newStubRouter(partial, a.place(streams)))
		r := call(t, url, "id1", "")
		want(t, "error", r.err, error(nil))
		want(t, "body", r.body, event(1)+rest)
	}
}

// TestResumedStreamLeavesNothingOut: where ids were consecutive, a run that goes on behind the next one has lost an event.
func TestResumedStreamLeavesNothingOut(t *testing.T) {
	for name, c := range map[string]struct {
		first, second, body string
		cut                 bool
	}{
		"one missing":         {events(1, 2), events(4, 5), events(1, 2), true},
		"second of all":       {events(1), events(3, 4), events(1), true},
		"begins anew, a hole": {events(1, 2), events(1, 2, 4), events(1, 2), true},
		"begins anew":         {events(1, 2), events(1, 2, 3), events(1, 2, 3), false},
		"goes on":             {events(7, 8), events(9, 10), events(7, 8, 9, 10), false},
		"ids with steps":      {events(10, 20), events(30, 40), events(10, 20, 30, 40), false},
		"opaque ids":          {events("a", "b"), events("c", "d"), events("a", "b"), true},
	} {
		t.Run(name, func(t *testing.T) {
			r, _, _ := resumed(t, stream(false, c.first), stream(true, c.second))
			want(t, "body", r.body, c.body)
			want(t, "cut", r.err != nil, c.cut)
		})
	}
}

// TestAnswerToAClientThatResumes leaves out what the client has, also where the replica begins anew.
func TestAnswerToAClientThatResumes(t *testing.T) {
	for name, c := range map[string]struct{ answer, body string }{
		"begins anew": {events(1, 2, 3, 4), events(3, 4)},
		"goes on":     {events(3, 4), events(3, 4)},
		"has steps":   {events(5, 9), events(5, 9)},
		"without ids": {"data: a\n\n" + events(3), "data: a\n\n" + events(3)},
	} {
		t.Run(name, func(t *testing.T) {
			a := newReplica(t, stream(true, c.answer))
			_, url := serve(t, newStubRouter(partial, a.place(streams)))
			r := callWith(t, url, http.Header{"X-Attempt": {"id1"}, "Last-Event-Id": {"2"}})
			want(t, "error", r.err, error(nil))
			want(t, "body", r.body, c.body)
		})
	}
}

// TestResumedStreamKeepsItsWeights: a run of other weights never goes on with an answer.
func TestResumedStreamKeepsItsWeights(t *testing.T) {
	seven, eight := "X-Weights: 7", "X-Weights: 8"
	told := func(version, id int) string { return fmt.Sprintf("x-weights: %d\n%s", version, event(id)) }
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
		"older than an event said": {
			withHeader(seven, stream(false, event(1), told(8, 2))), withHeader(seven, stream(true, event(3))), event(1) + told(8, 2), "8", true,
		},
		"an event goes back": {
			withHeader(eight, stream(false, event(1))), withHeader(eight, stream(true, told(7, 2))), event(1), "8", true,
		},
		"an event goes on": {
			withHeader(seven, stream(false, event(1))), withHeader(seven, stream(true, told(8, 2))), event(1) + told(8, 2), "7", false,
		},
		"only events say it": {
			stream(false, event(1), told(8, 2)), stream(true, told(7, 2), event(3)), event(1) + told(8, 2), "8", true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, b, _ := resumed(t, c.first, c.second)
			want(t, "body", r.body, c.body)
			want(t, "cut", r.err != nil, c.cut)
			want(t, "expected weights", b.asked("X-Expected-Weights"), c.expected)
		})
	}
}

// TestReplicaOfOtherWeightsIsNoOtherInstance: a 421 to a request that names weights says nothing about the instance.
func TestReplicaOfOtherWeightsIsNoOtherInstance(t *testing.T) {
	misdirected := say("421 Misdirected", "X-Not-Run: 1\r\n", "")
	_, _, m := resumed(t, withHeader("X-Weights: 7", stream(false, event(1))), misdirected)
	if all := m.notified(); strings.Contains(all, "WrongInstance") || !strings.Contains(all, "AttemptEnded(refused)") {
		t.Error(all)
	}
}

// TestResumedAnswerIsAStreamOf200 has second replicas that answer with another status or no stream.
func TestResumedAnswerIsAStreamOf200(t *testing.T) {
	for _, second := range []script{
		say("204 No Content", "", ""), say("200 OK", "", events(2)), say("206 Partial", "Content-Type: text/event-stream\r\n", events(2)),
		say("500 Oops", "Content-Type: text/event-stream\r\n", events(2)),
	} {
		r, _, _ := resumed(t, stream(false, event(1)), second)
		want(t, "body", r.body, event(1))
		if r.err == nil {
			t.Error("the answer ended as if complete")
		}
	}
}

// TestGapIsNamed gives the error that tells what is missing.
func TestGapIsNamed(t *testing.T) {
	e := proxy.EventStream{MaxEventBytes: 1 << 10}
	if _, err := e.Feed([]byte(events(1, 2))); err != nil {
		t.Fatal(err)
	}
	e.StartResponse("")
	_, err := e.Feed([]byte(event(4)))
	want(t, "error", err, `event "4" where the one after "2" is due`)
}
