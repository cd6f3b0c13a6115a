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
	resuming := second.place(streamRoute)
	resuming.Resumes = true
	stub := newStubRouter(partialDecision, first.place(streamRoute), resuming)
	p, url := startHTTPTest(t, stub)
	r := post(t, url, "id1", "")
	want(t, "error", r.err, error(nil))
	want(t, "body", r.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n")
	want(t, "seal", r.header.Get("X-Seal"), "s-id: 1")
	want(t, "last event", (<-second.requests).req.Header.Get("Last-Event-Id"), "2")
	want(t, "events", stub.notified(), "ReadyToSend ResponseHead ResponseStarted AttemptEnded(broken) ReadyToSend ResponseHead ResponseStarted AttemptEnded(whole)")
	want(t, "resumed", p.Counters.Resumed.Load(), 1)
}

func TestTruncatedStreamLooksTruncated(t *testing.T) {
	first := newReplica(t, stream(false, "id: 1\ndata: a\n\n", "id: 2\nda"))
	stub := newStubRouter(partialDecision, first.place(streamRoute))
	p, url := startHTTPTest(t, stub)
	r := post(t, url, "id1", "")
	want(t, "body", r.body, "id: 1\ndata: a\n\n")
	if r.err == nil {
		t.Error("the stream ended as if complete")
	}
	want(t, "aborted", p.Counters.Aborted.Load(), 1)
}

func TestStreamIsForwardedAndDisconnectClosesReplica(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	stub := newStubRouter(partialDecision, router.Decision{Addr: listener.Addr().String(), Route: streamRoute})
	_, url := startHTTPTest(t, stub)
	client, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn)
	if _, err = http.ReadRequest(in); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	fmt.Fprintf(conn, "7\r\nid: 1\n\n\r\n")
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
		t.Error("the replica's connection was not closed")
	}
	for ev := range stub.events {
		if _, ok := ev.(router.ClientDisconnected); ok {
			return
		}
	}
}

func TestServeAppliesNewLimits(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	replica := newReplica(t, respondWith("200 OK", "", "one"), respondWith("200 OK", "", "two"))
	stub := newStubRouter(unknownDecision, replica.place(idempotentRoute))
	p := proxy.New(stub, testHeaders, proxy.Defaults(), func() config.Limits {
		var l config.Limits
		return l
	}, "b")
	limits := make(chan config.Limits, 3)
	limits <- config.Limits{HeaderBytes: 1 << 20}
	limits <- config.Limits{HeaderBytes: 1}
	limits <- config.Limits{HeaderBytes: 1 << 20}
	tb := &tomb.Tomb{}
	proxy.Serve(tb, listener, p, func() config.Limits { return <-limits })
	url := "http://" + listener.Addr().String()
	want(t, "first", post(t, url, "id1", "").body, "one")
	want(t, "long head", post(t, url, strings.Repeat("x", 20000), "").status, 431)
	p.Shutdown(shutdownGrace)
	r := post(t, url, "id2", "")
	want(t, "second", r.body, "two")
	waitIdle(t, p)
	tb.Kill(nil)
	want(t, "end", tb.Wait(), error(nil))
}
