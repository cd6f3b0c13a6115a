package proxy_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/router"
)

var (
	idempotentRoute = &config.Route{Idempotent: true, Timeout: time.Minute, Priority: 3}
	onceRoute       = &config.Route{Timeout: time.Minute}
	streamRoute     = &config.Route{Streaming: true, Resumable: true, Timeout: time.Minute}
	unknownDecision = router.Decision{Verdict: router.Unknown}
	partialDecision = router.Decision{Verdict: router.Partial}
)

func TestForwardsBytesAndReusesConnections(t *testing.T) {
	replica := newReplica(t, respondWith("200 OK", "X-Load: 3,0,8\r\nX-Own: v\r\n", "hello"), respondWith("500 Oops", "", "bad"))
	stub := newStubRouter(unknownDecision, replica.place(idempotentRoute))
	p, url := startHTTPTest(t, stub)
	r := post(t, url, "id1", "some body")
	want(t, "status", r.status, 200)
	want(t, "body", r.body, "hello")
	want(t, "seal", r.header.Get("X-Seal")+r.header.Get("X-Own")+r.header.Get("Content-Type"), "s1v")
	want(t, "events", stub.notified(), "ReadyToSend ReplicaLoad ResponseHead AttemptEnded(whole)")
	a := <-stub.arrived
	want(t, "arrival", a.Host+" "+a.Path+" "+a.Timeout.String(), "some.example /a/b%2Fc 1m0s")
	request := <-replica.requests
	want(t, "request line", strings.SplitN(request.raw, "\r\n", 2)[0], "POST /a/b%2Fc?x=1%20y HTTP/1.1")
	want(t, "host", request.req.Host, "Some.example:80")
	want(t, "body", request.body, "some body")
	want(t, "target and priority", request.req.Header.Get("X-Target")+" "+request.req.Header.Get("X-Rank"), "i1 3")
	left, err := strconv.Atoi(request.req.Header.Get("X-Wait-Ms"))
	if err != nil || left > 60000 || left < 40000 {
		t.Errorf("deadline is %q", request.req.Header.Get("X-Wait-Ms"))
	}
	r = post(t, url, "id2", "")
	want(t, "response", strconv.Itoa(r.status)+r.body, "500bad")
	want(t, "connection", (<-replica.requests).conn, 1)
	want(t, "reused", p.Counters.Reused.Load(), 1)
	want(t, "events", stub.notified(), "ReadyToSend ResponseHead AttemptEnded(whole)")
}

func TestDuplicateResponseIsNotTakenForNextResponse(t *testing.T) {
	twice := func(request receivedRequest) (string, bool) {
		one, _ := respondWith("200 OK", "", "hello")(request)
		return one + one, false
	}
	lateResponse := func(request receivedRequest) (string, bool) {
		other, _ := respondWith("200 OK", "", "other")(request)
		return strings.ReplaceAll(other, "id2", "id1"), false
	}
	replica := newReplica(t, twice, lateResponse, respondWith("200 OK", "", "right"))
	stub := newStubRouter(unknownDecision, replica.place(idempotentRoute), replica.place(idempotentRoute))
	p, url := startHTTPTest(t, stub)
	want(t, "first", post(t, url, "id1", "").body, "hello")
	want(t, "second", post(t, url, "id2", "").body, "right")
	want(t, "events", stub.notified(), "ReadyToSend ResponseHead AttemptEnded(whole) ReadyToSend AttemptEnded(broken) ReadyToSend ResponseHead AttemptEnded(whole)")
	want(t, "connections", len(replica.accepted), 3)
	if p.Counters.Surplus.Load()+p.Counters.Stale.Load() < 2 {
		t.Errorf("surplus %d, stale %d", p.Counters.Surplus.Load(), p.Counters.Stale.Load())
	}
}

func TestBrokenResponses(t *testing.T) {
	for name, bytes := range map[string]string{
		"nothing": "", "garbage": "no answer at all\r\n\r\n",
		"short":            "HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\nContent-Length: 50\r\n\r\nhalf",
		"short chunk":      "HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
		"no length":        "HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\n\r\nbody",
		"no seal":          "HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nContent-Length: 1\r\n\r\nb",
		"other attempt ID": "HTTP/1.1 503 Full\r\nX-Attempt: id0\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			replica := newReplica(t, func(receivedRequest) (string, bool) { return bytes, true })
			stub := newStubRouter(router.Decision{Verdict: router.Reject, RetryAfter: time.Second}, replica.place(onceRoute))
			_, url := startHTTPTest(t, stub)
			want(t, "status", post(t, url, "id1", "").status, 502)
			if events := stub.notified(); !strings.HasSuffix(events, "AttemptEnded(broken)") {
				t.Errorf("events %s", events)
			}
		})
	}
}

func TestRefusedRequestIsRejected(t *testing.T) {
	full := newReplica(t, respondWith("503 Full", "X-Not-Run: full\r\n", "no"))
	other := newReplica(t, respondWith("421 Other", "", ""))
	stub := newStubRouter(router.Decision{Verdict: router.Reject, RetryAfter: 250 * time.Millisecond}, full.place(onceRoute), other.place(onceRoute))
	p, url := startHTTPTest(t, stub)
	r := post(t, url, "id1", "")
	want(t, "response", strconv.Itoa(r.status)+" "+r.header.Get("Retry-After"), "503 0.25")
	want(t, "events", stub.notified(), "ReadyToSend AttemptEnded(refused) ReadyToSend WrongInstance AttemptEnded(refused)")
	want(t, "counted", p.Counters.Refused.Load()*10+p.Counters.Misplaced.Load(), 21)
}

// TestEachAttemptGetsRemainingTime sends a request to a second replica after the first one has delayed it before refusing it. Each replica
// must receive the remaining time as its deadline.
func TestEachAttemptGetsRemainingTime(t *testing.T) {
	const delay = 50 * time.Millisecond
	slow := newReplica(t, func(request receivedRequest) (string, bool) {
		time.Sleep(delay)
		return respondWith("503 Full", "X-Not-Run: full\r\n", "no")(request)
	})
	next := newReplica(t, respondWith("200 OK", "", "yes"))
	stub := newStubRouter(router.Decision{Verdict: router.Reject}, slow.place(onceRoute), next.place(onceRoute))
	_, url := startHTTPTest(t, stub)
	want(t, "response", post(t, url, "id1", "").status, 200)
	left := func(r *replica) time.Duration {
		ms, err := strconv.Atoi((<-r.requests).req.Header.Get("X-Wait-Ms"))
		if err != nil {
			t.Fatal(err)
		}
		return time.Duration(ms) * time.Millisecond
	}
	first, second := left(slow), left(next)
	if first > time.Minute || first <= 0 || second > first-delay || second <= 0 {
		t.Errorf("the client waits 1m; the first replica received a deadline of %s, the second one, at least %s later, of %s", first, delay, second)
	}
}

func TestRejectedNotSentNotFoundAndTooLong(t *testing.T) {
	stub := newStubRouter(router.Decision{Verdict: router.Reject, Invalid: true})
	_, url := startHTTPTest(t, stub)
	r := post(t, url, "id1", "")
	want(t, "response", strconv.Itoa(r.status)+r.header.Get("Retry-After"), "404")
	want(t, "long", post(t, url, "id2", strings.Repeat("x", 1001)).status, 413)

	replica := newReplica(t)
	unreachable := replica.place(onceRoute)
	unreachable.Addr = "127.0.0.1:1"
	stub = newStubRouter(router.Decision{Verdict: router.Reject}, unreachable)
	_, url = startHTTPTest(t, stub)
	want(t, "status", post(t, url, "id1", "").status, 503)
	want(t, "events", stub.notified(), "AttemptEnded(unreached)")
}

func TestReplicaFailureIsForwardedAndReported(t *testing.T) {
	for status, failed := range map[string]bool{"500 Oops": true, "504 Late": false, "404 None": false, "200 OK": false} {
		replica := newReplica(t, respondWith(status, "", "whole"))
		stub := newStubRouter(router.Decision{Verdict: router.Reject}, replica.place(onceRoute))
		_, url := startHTTPTest(t, stub)
		r := post(t, url, "id1", "")
		want(t, "response", strconv.Itoa(r.status)+" "+r.body, status[:3]+" whole")
		<-stub.events
		if h, ok := (<-stub.events).(router.ResponseHead); !ok || h.Failed != failed {
			t.Errorf("%s: reported as failed: %v", status, h.Failed)
		}
	}
}
