package proxy_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
)

// TestPartialEventIsNotJoinedToNextResponse cuts a stream within its first event: nothing was forwarded, so the second attempt starts from
// the beginning, without the bytes of the first.
func TestPartialEventIsNotJoinedToNextResponse(t *testing.T) {
	first := newReplica(t, stream(false, "id: 1\ndata: from the first"))
	second := newReplica(t, stream(true, "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"))
	stub := newStubRouter(partialDecision, first.place(streamRoute), second.place(streamRoute))
	_, url := startHTTPTest(t, stub)
	r := post(t, url, "id1", "")
	want(t, "error", r.err, error(nil))
	want(t, "body", r.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

// TestLongResponseIsNotResumedByAStream cuts a response that is not a stream after a part of it was forwarded. The stream of a second
// replica must not follow it.
func TestLongResponseIsNotResumedByAStream(t *testing.T) {
	first, second := newManualReplica(t), newReplica(t, stream(true, "id: 1\ndata: a\n\n"))
	resuming := second.place(streamRoute)
	resuming.Resumes = true
	settings := proxy.Defaults()
	settings.MaxBufferedResponseBytes = 4 << 10
	proxy.StockLargeBuffers(100)
	_, addr := startWithListener(t, newStubRouter(partialDecision, first.place(streamRoute), resuming), settings, config.Limits{})
	client := dial(t, addr)
	client.sendRequest(t, "GET", "id1", "", "")
	conn := first.accept(t)
	conn.nextRequest(t)
	conn.write(t, "HTTP/1.1 500 Oops\r\nX-Attempt: id1\r\nContent-Length: 18000\r\n\r\n"+strings.Repeat("x", 9000))
	if _, err := client.reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	r := client.readResponse(t, "GET")
	want(t, "status", r.status, 500)
	if r.err == nil || strings.Contains(r.body, "data") {
		t.Errorf("the response ended with %q, error %v", r.body[max(0, len(r.body)-20):], r.err)
	}
}

// TestEventWithoutIDIsNotRepeated resumes a stream at a replica that starts from the beginning. If its first event has no id, the proxy
// can't know whether the client has it, so the response is cut rather than repeated.
func TestEventWithoutIDIsNotRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		again []string
		cut   bool
	}{
		"from the start":       {[]string{"data: a\n\n", "id: 1\ndata: b\n\n", "id: 2\ndata: c\n\n"}, true},
		"comments are no loss": {[]string{": hello\n\n", "id: 1\ndata: b\n\n", "id: 2\ndata: c\n\n"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			first := newReplica(t, stream(false, "data: a\n\n", "id: 1\ndata: b\n\n"))
			second := newReplica(t, stream(true, c.again...))
			resuming := second.place(streamRoute)
			resuming.Resumes = true
			_, url := startHTTPTest(t, newStubRouter(partialDecision, first.place(streamRoute), resuming))
			r := post(t, url, "id1", "")
			want(t, "events", fmt.Sprint(strings.Count(r.body, "data: a"), strings.Count(r.body, "data: b")), "1 1")
			want(t, "cut", r.err != nil, c.cut)
		})
	}
}

// TestTruncatedResponseWithoutChunksLooksTruncated checks that a truncated response resets the connection of an HTTP/1.0 client, for which
// the end of the connection is the end of the response.
func TestTruncatedResponseWithoutChunksLooksTruncated(t *testing.T) {
	manual := newManualReplica(t)
	_, addr := startDefault(t, newStubRouter(partialDecision, manual.place(streamRoute)))
	client := dial(t, addr)
	client.write(t, "GET /a HTTP/1.0\r\nHost: h.example\r\nX-Attempt: id1\r\n\r\n")
	conn := manual.accept(t)
	request := conn.nextRequest(t)
	text, _ := stream(false, "id: 1\ndata: a\n\n", "id: 2\nda")(request)
	conn.write(t, text)
	if _, err := client.reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	conn.reset()
	if _, err := io.Copy(io.Discard, client.reader); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the truncated response ended with %v, want a reset", err)
	}
}

// TestEventsBeforeTooLongEventAreForwarded checks that each event included in LastID was returned; otherwise a stream resumed after that id
// would lose the event.
func TestEventsBeforeTooLongEventAreForwarded(t *testing.T) {
	e := proxy.EventStream{MaxEventBytes: 20}
	complete, err := e.Feed([]byte("id: 1\ndata: a\n\nid: 2\ndata: too long for the bound"))
	want(t, "returned events and last ID", string(complete)+e.LastID, "id: 1\ndata: a\n\n1")
	if err == nil {
		t.Error("a too long event was accepted")
	}
}

// TestWeightsVersionFieldIsForwarded sends events that begin with the weights version, a field that is not in the standard, also after the
// stream was resumed.
func TestWeightsVersionFieldIsForwarded(t *testing.T) {
	first := newReplica(t, stream(false, "x-weight-versions: 7\nid: 1\ndata: a\n\n", "x-weight-versions: 8\nid: 2\nda"))
	second := newReplica(t, stream(true, "x-weight-versions: 8\nid: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"))
	resuming := second.place(streamRoute)
	resuming.Resumes = true
	_, url := startHTTPTest(t, newStubRouter(partialDecision, first.place(streamRoute), resuming))
	r := post(t, url, "id1", "")
	want(t, "error", r.err, error(nil))
	want(t, "body", r.body, "x-weight-versions: 7\nid: 1\ndata: a\n\nx-weight-versions: 8\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
}

// TestResponseWithoutChunksIsResetUntilComplete closes the connection of an HTTP/1.0 client in the way in which the kernel does it when the
// process is killed.
func TestResponseWithoutChunksIsResetUntilComplete(t *testing.T) {
	for _, complete := range []bool{false, true} {
		manual := newManualReplica(t)
		p, addr := startDefault(t, newStubRouter(partialDecision, manual.place(streamRoute)))
		client := dial(t, addr)
		client.write(t, "GET /a HTTP/1.0\r\nHost: h.example\r\nX-Attempt: id1\r\n\r\n")
		conn := manual.accept(t)
		text, _ := stream(complete, event(1))(conn.nextRequest(t))
		conn.write(t, text)
		if _, err := client.reader.Peek(1); err != nil {
			t.Fatal(err)
		}
		if !complete {
			p.CloseClients()
		}
		_, err := io.Copy(io.Discard, client.reader)
		if errors.Is(err, syscall.ECONNRESET) == complete {
			t.Errorf("complete: %v: the response ended with %v", complete, err)
		}
	}
}
