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
	safe    = &config.Route{Repeatable: true, Timeout: time.Minute, Priority: 3}
	unsafe  = &config.Route{Timeout: time.Minute}
	streams = &config.Route{Streaming: true, Resumable: true, Timeout: time.Minute}
	unknown = router.Decision{Verdict: router.Unknown}
	partial = router.Decision{Verdict: router.Partial}
)

func TestPassesBytesAndKeepsConnections(t *testing.T) {
	replica := newReplica(t, say("200 OK", "X-Load: 3,0,8\r\nX-Own: v\r\n", "hello"), say("500 Oops", "", "bad"))
	m := newStubRouter(unknown, replica.place(safe))
	p, url := serve(t, m)
	r := call(t, url, "id1", "some body")
	want(t, "status", r.status, 200)
	want(t, "body", r.body, "hello")
	want(t, "seal", r.header.Get("X-Seal")+r.header.Get("X-Own")+r.header.Get("Content-Type"), "s1v")
	want(t, "events", m.notified(), "ReadyToSend Load AnswerHead AttemptEnded(whole)")
	a := <-m.arrived
	want(t, "arrival", a.Host+" "+a.Path+" "+a.Timeout.String(), "some.example /a/b%2Fc 1m0s")
	g := <-replica.got
	want(t, "request line", strings.SplitN(g.raw, "\r\n", 2)[0], "POST /a/b%2Fc?x=1%20y HTTP/1.1")
	want(t, "host", g.req.Host, "Some.example:80")
	want(t, "body", g.body, "some body")
	want(t, "target and rank", g.req.Header.Get("X-Target")+" "+g.req.Header.Get("X-Rank"), "i1 3")
	left, err := strconv.Atoi(g.req.Header.Get("X-Wait-Ms"))
	if err != nil || left > 60000 || left < 40000 {
		t.Errorf("deadline is %q", g.req.Header.Get("X-Wait-Ms"))
	}
	r = call(t, url, "id2", "")
	want(t, "answer", strconv.Itoa(r.status)+r.body, "500bad")
	want(t, "connection", (<-replica.got).conn, 1)
	want(t, "reused", p.Counters.Reused.Load(), 1)
	want(t, "events", m.notified(), "ReadyToSend AnswerHead AttemptEnded(whole)")
}

func TestSurplusAnswerIsNotTakenForNextAnswer(t *testing.T) {
	twice := func(g got) (string, bool) {
		one, _ := say("200 OK", "", "hello")(g)
		return one + one, false
	}
	lateAnswer := func(g got) (string, bool) {
		other, _ := say("200 OK", "", "other")(g)
		return strings.ReplaceAll(other, "id2", "id1"), false
	}
	replica := newReplica(t, twice, lateAnswer, say("200 OK", "", "right"))
	m := newStubRouter(unknown, replica.place(safe), replica.place(safe))
	p, url := serve(t, m)
	want(t, "first", call(t, url, "id1", "").body, "hello")
	want(t, "second", call(t, url, "id2", "").body, "right")
	want(t, "events", m.notified(), "ReadyToSend AnswerHead AttemptEnded(whole) ReadyToSend AttemptEnded(broken) ReadyToSend AnswerHead AttemptEnded(whole)")
	want(t, "connections", len(replica.conn), 3)
	if p.Counters.Surplus.Load()+p.Counters.Stale.Load() < 2 {
		t.Errorf("surplus %d, stale %d", p.Counters.Surplus.Load(), p.Counters.Stale.Load())
	}
}

func TestBrokenAnswers(t *testing.T) {
	for name, bytes := range map[string]string{
		"nothing": "", "garbage": "no answer at all\r\n\r\n",
		"short":       "HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\nContent-Length: 50\r\n\r\nhalf",
		"short chunk": "HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
		"open":        "HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\n\r\nbody",
		"no seal":     "HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nContent-Length: 1\r\n\r\nb",
		"foreign":     "HTTP/1.1 503 Full\r\nX-Attempt: id0\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			replica := newReplica(t, func(got) (string, bool) { return bytes, true })
			m := newStubRouter(router.Decision{Verdict: router.Reject, RetryAfter: time.Second}, replica.place(unsafe))
			_, url := serve(t, m)
			want(t, "status", call(t, url, "id1", "").status, 502)
			if classes := m.notified(); !strings.HasSuffix(classes, "AttemptEnded(broken)") {
				t.Errorf("events %s", classes)
			}
		})
	}
}

func TestRefusedIsNotRun(t *testing.T) {
	full := newReplica(t, say("503 Full", "X-Not-Run: full\r\n", "no"))
	other := newReplica(t, say("421 Other", "", ""))
	m := newStubRouter(router.Decision{Verdict: router.Reject, RetryAfter: 250 * time.Millisecond}, full.place(unsafe), other.place(unsafe))
	p, url := serve(t, m)
	r := call(t, url, "id1", "")
	want(t, "answer", strconv.Itoa(r.status)+" "+r.header.Get("Retry-After"), "503 0.25")
	want(t, "events", m.notified(), "ReadyToSend AttemptEnded(refused) ReadyToSend WrongInstance AttemptEnded(refused)")
	want(t, "counted", p.Counters.Refused.Load()*10+p.Counters.Misplaced.Load(), 21)
}

// TestEachAttemptIsToldWhatIsLeft sends a request on to a second replica after the first has held it for a while.
func TestEachAttemptIsToldWhatIsLeft(t *testing.T) {
	const held = 50 * time.Millisecond
	slow := newReplica(t, func(g got) (string, bool) {
		time.Sleep(held)
		return say("503 Full", "X-Not-Run: full\r\n", "no")(g)
	})
	next := newReplica(t, say("200 OK", "", "yes"))
	m := newStubRouter(router.Decision{Verdict: router.Reject}, slow.place(unsafe), next.place(unsafe))
	_, url := serve(t, m)
	want(t, "answer", call(t, url, "id1", "").status, 200)
	left := func(r *replica) time.Duration {
		ms, err := strconv.Atoi((<-r.got).req.Header.Get("X-Wait-Ms"))
		if err != nil {
			t.Fatal(err)
		}
		return time.Duration(ms) * time.Millisecond
	}
	first, second := left(slow), left(next)
	if first > time.Minute || first <= 0 || second > first-held || second <= 0 {
		t.Errorf("of a minute, the first replica was told %s, and the second, %s later, %s", first, held, second)
	}
}

func TestRejectedUnreachedNotFoundAndTooLong(t *testing.T) {
	m := newStubRouter(router.Decision{Verdict: router.Reject, Invalid: true})
	_, url := serve(t, m)
	r := call(t, url, "id1", "")
	want(t, "answer", strconv.Itoa(r.status)+r.header.Get("Retry-After"), "404")
	want(t, "long", call(t, url, "id2", strings.Repeat("x", 1001)).status, 413)

	replica := newReplica(t)
	unreachable := replica.place(unsafe)
	unreachable.Addr = "127.0.0.1:1"
	m = newStubRouter(router.Decision{Verdict: router.Reject}, unreachable)
	_, url = serve(t, m)
	want(t, "status", call(t, url, "id1", "").status, 503)
	want(t, "events", m.notified(), "AttemptEnded(unreached)")
}

func TestReplicaFailureIsPassedOnAndReported(t *testing.T) {
	for status, failed := range map[string]bool{"500 Oops": true, "504 Late": false, "404 None": false, "200 OK": false} {
		replica := newReplica(t, say(status, "", "whole"))
		m := newStubRouter(router.Decision{Verdict: router.Reject}, replica.place(unsafe))
		_, url := serve(t, m)
		r := call(t, url, "id1", "")
		want(t, "answer", strconv.Itoa(r.status)+" "+r.body, status[:3]+" whole")
		<-m.events
		if h, ok := (<-m.events).(router.ResponseHead); !ok || h.Failed != failed {
			t.Errorf("%s: told as failed: %v", status, h.Failed)
		}
	}
}
