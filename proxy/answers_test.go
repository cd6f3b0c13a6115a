package proxy_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/config"
)

var (
	safe    = &config.Route{Repeatable: true, Timeout: time.Minute, Priority: 3}
	unsafe  = &config.Route{Timeout: time.Minute}
	streams = &config.Route{Streaming: true, Resumable: true, Timeout: time.Minute}
	unknown = mallowbridge.Decision{Verdict: mallowbridge.Unknown}
	partial = mallowbridge.Decision{Verdict: mallowbridge.Partial}
)

func TestPassesBytesAndKeepsConnections(t *testing.T) {
	rep := newReplica(t, say("200 OK", "X-Load: 3,0,8\r\nX-Own: v\r\n", "hello"), say("500 Oops", "", "bad"))
	m := newMarket(unknown, rep.place(safe))
	p, url := serve(t, m)
	r := call(t, url, "id1", "some body")
	want(t, "status", r.status, 200)
	want(t, "body", r.body, "hello")
	want(t, "seal", r.header.Get("X-Seal")+r.header.Get("X-Own")+r.header.Get("Content-Type"), "s1v")
	want(t, "events", m.heard(), "Leave Load Head End(whole)")
	a := <-m.arrived
	want(t, "arrival", a.Host+" "+a.Path+" "+a.Patience.String(), "some.example /a/b%2Fc 1m0s")
	g := <-rep.got
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
	want(t, "connection", (<-rep.got).conn, 1)
	want(t, "reused", p.N.Reused.Load(), 1)
	want(t, "events", m.heard(), "Leave Head End(whole)")
}

func TestSurplusAnswerIsNotTakenForTheNext(t *testing.T) {
	twice := func(g got) (string, bool) {
		one, _ := say("200 OK", "", "hello")(g)
		return one + one, false
	}
	late := func(g got) (string, bool) {
		other, _ := say("200 OK", "", "other")(g)
		return strings.ReplaceAll(other, "id2", "id1"), false
	}
	rep := newReplica(t, twice, late, say("200 OK", "", "right"))
	m := newMarket(unknown, rep.place(safe), rep.place(safe))
	p, url := serve(t, m)
	want(t, "first", call(t, url, "id1", "").body, "hello")
	want(t, "second", call(t, url, "id2", "").body, "right")
	want(t, "events", m.heard(), "Leave Head End(whole) Leave End(broken) Leave Head End(whole)")
	want(t, "connections", len(rep.conn), 3)
	if p.N.Surplus.Load()+p.N.Stale.Load() < 2 {
		t.Errorf("surplus %d, stale %d", p.N.Surplus.Load(), p.N.Stale.Load())
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
			rep := newReplica(t, func(got) (string, bool) { return bytes, true })
			m := newMarket(mallowbridge.Decision{Verdict: mallowbridge.Deny, After: time.Second}, rep.place(unsafe))
			_, url := serve(t, m)
			want(t, "status", call(t, url, "id1", "").status, 502)
			if kinds := m.heard(); !strings.HasSuffix(kinds, "End(broken)") {
				t.Errorf("events %s", kinds)
			}
		})
	}
}

func TestRefusedIsNotRun(t *testing.T) {
	full := newReplica(t, say("503 Full", "X-Not-Run: full\r\n", "no"))
	other := newReplica(t, say("421 Other", "", ""))
	m := newMarket(mallowbridge.Decision{Verdict: mallowbridge.Deny, After: 250 * time.Millisecond}, full.place(unsafe), other.place(unsafe))
	p, url := serve(t, m)
	r := call(t, url, "id1", "")
	want(t, "answer", strconv.Itoa(r.status)+" "+r.header.Get("Retry-After"), "503 0.25")
	want(t, "events", m.heard(), "Leave End(refused) Leave Misplaced End(refused)")
	want(t, "counted", p.N.Refused.Load()*10+p.N.Misplaced.Load(), 21)
}

func TestDeniedUnreachedNotFoundAndTooLong(t *testing.T) {
	m := newMarket(mallowbridge.Decision{Verdict: mallowbridge.Deny, Bad: true})
	_, url := serve(t, m)
	r := call(t, url, "id1", "")
	want(t, "answer", strconv.Itoa(r.status)+r.header.Get("Retry-After"), "404")
	want(t, "long", call(t, url, "id2", strings.Repeat("x", 1001)).status, 413)

	rep := newReplica(t)
	gone := rep.place(unsafe)
	gone.Addr = "127.0.0.1:1"
	m = newMarket(mallowbridge.Decision{Verdict: mallowbridge.Deny}, gone)
	_, url = serve(t, m)
	want(t, "status", call(t, url, "id1", "").status, 503)
	want(t, "events", m.heard(), "End(unreached)")
}

func TestAFailureOfTheReplicaIsPassedOnAndTold(t *testing.T) {
	for status, failed := range map[string]bool{"500 Oops": true, "504 Late": false, "404 None": false, "200 OK": false} {
		rep := newReplica(t, say(status, "", "whole"))
		m := newMarket(mallowbridge.Decision{Verdict: mallowbridge.Deny}, rep.place(unsafe))
		_, url := serve(t, m)
		r := call(t, url, "id1", "")
		want(t, "answer", strconv.Itoa(r.status)+" "+r.body, status[:3]+" whole")
		<-m.events
		if h, ok := (<-m.events).(mallowbridge.Head); !ok || h.Failed != failed {
			t.Errorf("%s: told as failed: %v", status, h.Failed)
		}
	}
}
