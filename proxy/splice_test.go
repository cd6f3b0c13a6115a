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

// TestPartialEventIsNotJoinedToNextAnswer cuts a stream within its first event: nothing was passed on, so the second attempt begins
// anew, without the bytes of the first.
func TestPartialEventIsNotJoinedToNextAnswer(t *testing.T) {
	first := newReplica(t, stream(false, "id: 1\ndata: from the first"))
	second := newReplica(t, stream(true, "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"))
	m := newStubRouter(partial, first.place(streams), second.place(streams))
	_, url := serve(t, m)
	r := call(t, url, "id1", "")
	want(t, "error", r.err, error(nil))
	want(t, "body", r.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

// TestLongAnswerIsNotResumedByAStream cuts an answer that is no stream after a part of it was passed on. A second replica's stream must
// not follow it.
func TestLongAnswerIsNotResumedByAStream(t *testing.T) {
	first, second := newHand(t), newReplica(t, stream(true, "id: 1\ndata: a\n\n"))
	onward := second.place(streams)
	onward.Resumes = true
	set := proxy.Defaults()
	set.MaxBufferedResponseBytes = 4 << 10
	proxy.StockLargeBuffers(100)
	_, addr := front(t, newStubRouter(partial, first.place(streams), onward), set, config.Limits{})
	u := dial(t, addr)
	u.ask(t, "GET", "id1", "", "")
	conn := first.accept(t)
	conn.request(t)
	conn.say(t, "HTTP/1.1 500 Oops\r\nX-Attempt: id1\r\nContent-Length: 18000\r\n\r\n"+strings.Repeat("x", 9000))
	if _, err := u.in.Peek(1); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	r := u.answer(t, "GET")
	want(t, "status", r.status, 500)
	if r.err == nil || strings.Contains(r.body, "data") {
		t.Errorf("the answer ended with %q, error %v", r.body[max(0, len(r.body)-20):], r.err)
	}
}

// TestEventWithoutIDIsNotRepeated takes up a stream at a replica that begins anew. Where its first event has no id, nobody knows
// whether the client has it: the answer is cut rather than repeated.
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
			onward := second.place(streams)
			onward.Resumes = true
			_, url := serve(t, newStubRouter(partial, first.place(streams), onward))
			r := call(t, url, "id1", "")
			want(t, "events", fmt.Sprint(strings.Count(r.body, "data: a"), strings.Count(r.body, "data: b")), "1 1")
			want(t, "cut", r.err != nil, c.cut)
		})
	}
}

// TestTruncatedAnswerWithoutChunksLooksTruncated: to a client of HTTP/1.0 the end of the connection is the end of the answer, so a cut one is reset.
func TestTruncatedAnswerWithoutChunksLooksTruncated(t *testing.T) {
	h := newHand(t)
	_, addr := usual(t, newStubRouter(partial, h.place(streams)))
	u := dial(t, addr)
	u.say(t, "GET /a HTTP/1.0\r\nHost: h.example\r\nX-Attempt: id1\r\n\r\n")
	r := h.accept(t)
	g := r.request(t)
	text, _ := stream(false, "id: 1\ndata: a\n\n", "id: 2\nda")(g)
	r.say(t, text)
	if _, err := u.in.Peek(1); err != nil {
		t.Fatal(err)
	}
	r.reset()
	if _, err := io.Copy(io.Discard, u.in); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the cut answer ended with %v", err)
	}
}

// TestEventsBeforeALongOneArePassedOn: an id that counts as given out must have been, or a stream that is taken up after it loses its event.
func TestEventsBeforeALongOneArePassedOn(t *testing.T) {
	e := proxy.EventStream{MaxEventBytes: 20}
	complete, err := e.Feed([]byte("id: 1\ndata: a\n\nid: 2\ndata: too long for the bound"))
	want(t, "given and counted", string(complete)+e.LastID, "id: 1\ndata: a\n\n1")
	if err == nil {
		t.Error("a long event was taken")
	}
}

// TestVersionLineOfAnEventIsPassedOn has events that begin with a line which is no field of the standard, also where a stream is resumed.
func TestVersionLineOfAnEventIsPassedOn(t *testing.T) {
	first := newReplica(t, stream(false, "x-weight-versions: 7\nid: 1\ndata: a\n\n", "x-weight-versions: 8\nid: 2\nda"))
	second := newReplica(t, stream(true, "x-weight-versions: 8\nid: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"))
	repeated := second.place(streams)
	repeated.Resumes = true
	_, url := serve(t, newStubRouter(partial, first.place(streams), repeated))
	r := call(t, url, "id1", "")
	want(t, "error", r.err, error(nil))
	want(t, "body", r.body, "x-weight-versions: 7\nid: 1\ndata: a\n\nx-weight-versions: 8\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
}

// TestAnswerWithoutChunksIsResetUntilComplete closes the connection of an HTTP/1.0 client as the end of a killed process does.
func TestAnswerWithoutChunksIsResetUntilComplete(t *testing.T) {
	for _, complete := range []bool{false, true} {
		h := newHand(t)
		p, addr := usual(t, newStubRouter(partial, h.place(streams)))
		u := dial(t, addr)
		u.say(t, "GET /a HTTP/1.0\r\nHost: h.example\r\nX-Attempt: id1\r\n\r\n")
		r := h.accept(t)
		text, _ := stream(complete, event(1))(r.request(t))
		r.say(t, text)
		if _, err := u.in.Peek(1); err != nil {
			t.Fatal(err)
		}
		if !complete {
			p.CloseClients()
		}
		_, err := io.Copy(io.Discard, u.in)
		if errors.Is(err, syscall.ECONNRESET) == complete {
			t.Errorf("complete: %v: the answer ended with %v", complete, err)
		}
	}
}
