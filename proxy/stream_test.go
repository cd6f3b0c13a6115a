package proxy_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
	"github.com/mallowbridge/mallowbridge/router"
)

func TestStreamResumesAtAnotherReplica(t *testing.T) {
	first := newReplica(t, stream(false, "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\nid: 3\ndata"))
	second := newReplica(t, stream(true, "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n"))
	repeated := second.place(streams)
	repeated.Resumes = true
	m := newStubRouter(partial, first.place(streams), repeated)
	p, url := serve(t, m)
	r := call(t, url, "id1", "")
	want(t, "error", r.err, error(nil))
	want(t, "body", r.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n")
	want(t, "seal", r.header.Get("X-Seal"), "s-id: 1")
	want(t, "last event", (<-second.got).req.Header.Get("Last-Event-Id"), "2")
	want(t, "events", m.notified(), "ReadyToSend AnswerHead AnswerStarted AttemptEnded(broken) ReadyToSend AnswerHead AnswerStarted AttemptEnded(whole)")
	want(t, "resumed", p.Counters.Resumed.Load(), 1)
}

func TestTruncatedStreamLooksTruncated(t *testing.T) {
	first := newReplica(t, stream(false, "id: 1\ndata: a\n\n", "id: 2\nda"))
	m := newStubRouter(partial, first.place(streams))
	p, url := serve(t, m)
	r := call(t, url, "id1", "")
	want(t, "body", r.body, "id: 1\ndata: a\n\n")
	if r.err == nil {
		t.Error("the stream ended as if whole")
	}
	want(t, "aborted", p.Counters.Aborted.Load(), 1)
}

func TestStreamIsPassedOnAndDisconnectClosesReplica(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	m := newStubRouter(partial, router.Decision{Addr: lis.Addr().String(), Route: streams})
	_, url := serve(t, m)
	client, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	up, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(up)
	if _, err = http.ReadRequest(in); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(up, "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	fmt.Fprintf(up, "7\r\nid: 1\n\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	var b [7]byte
	if _, err = resp.Body.Read(b[:]); err != nil || string(b[:]) != "id: 1\n\n" {
		t.Errorf("read %q, %v", b[:], err)
	}
	_ = client.Close()
	if _, err = in.ReadByte(); err == nil {
		t.Error("replica read more")
	}
	for ev := range m.events {
		if _, ok := ev.(router.ClientDisconnected); ok {
			return
		}
	}
}

func TestServeTakesNewLimits(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	replica := newReplica(t, say("200 OK", "", "one"), say("200 OK", "", "two"))
	m := newStubRouter(unknown, replica.place(safe))
	p := proxy.New(m, names, proxy.Defaults(), func() config.Limits {
		var l config.Limits
		return l
	}, "b")
	limits := make(chan config.Limits, 3)
	limits <- config.Limits{HeaderBytes: 1 << 20}
	limits <- config.Limits{HeaderBytes: 1}
	limits <- config.Limits{HeaderBytes: 1 << 20}
	tb := &tomb.Tomb{}
	proxy.Serve(tb, lis, p, func() config.Limits { return <-limits })
	url := "http://" + lis.Addr().String()
	want(t, "first", call(t, url, "id1", "").body, "one")
	want(t, "long head", call(t, url, strings.Repeat("x", 20000), "").status, 431)
	p.Shutdown(grace)
	r := call(t, url, "id2", "")
	want(t, "second", r.body, "two")
	waitIdle(t, p)
	tb.Kill(nil)
	want(t, "end", tb.Wait(), error(nil))
}
