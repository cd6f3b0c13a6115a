package proxy_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
	"github.com/mallowbridge/mallowbridge/router"
)

var rejectDecision = router.Decision{Verdict: router.Reject, RetryAfter: time.Second}

func TestBodiesAndResponsesOfAnyLength(t *testing.T) {
	for _, n := range []int{0, 1, 8 << 10, 64 << 10, 64<<10 + 1, 1 << 20} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(n, chunked), func(t *testing.T) {
				text := strings.Repeat("0123456789abcdef", n/16+1)[:n]
				replica := newReplica(t, respondWith("200 OK", "", text))
				stub := newStubRouter(unknownDecision, replica.place(onceRoute))
				p, addr := startDefault(t, stub)
				client := dial(t, addr)
				if chunked {
					client.write(t, "PUT /a HTTP/1.1\r\nHost: h\r\nX-Attempt: id1\r\nTransfer-Encoding: chunked\r\n\r\n")
					if n > 0 {
						client.write(t, fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n", n, text, n, text))
					}
					client.write(t, "0\r\n\r\n")
					text += text
				} else {
					client.sendRequest(t, "PUT", "id1", "", text)
				}
				r := client.readResponse(t, "PUT")
				want(t, "status", r.status, 200)
				request := <-replica.requests
				if request.body != text || r.body != text[:n] {
					t.Errorf("the replica got %d bytes, the client %d, or the content differs", len(request.body), len(r.body))
				}
				if len(text) > 0 {
					want(t, "length", request.req.ContentLength, len(text))
				}
				want(t, "encoding", len(request.req.TransferEncoding), 0)
				waitIdle(t, p)
				want(t, "reserved bytes", p.Reserved(), 0)
			})
		}
	}
}

func TestLongResponsesAreStreamed(t *testing.T) {
	manual := newManualReplica(t)
	stub := newStubRouter(partialDecision, manual.place(idempotentRoute))
	settings := proxy.Defaults()
	settings.MaxBufferedResponseBytes = 32 << 10
	p, addr := startWithListener(t, stub, settings, config.Limits{})
	client := dial(t, addr)
	client.sendRequest(t, "GET", "id1", "", "")
	conn := manual.accept(t)
	conn.nextRequest(t)
	conn.write(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", 64<<10, strings.Repeat("x", 48<<10)))
	resp, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = resp.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	want(t, "events", stub.notified(), "ReadyToSend ResponseHead ResponseStarted")
	conn.reset()
	if _, err = resp.Body.Read(make([]byte, 64<<10)); err == nil {
		for err == nil {
			_, err = resp.Body.Read(make([]byte, 64<<10))
		}
	}
	want(t, "end", err.Error(), "unexpected EOF")
	waitIdle(t, p)
	want(t, "aborted", p.Counters.Aborted.Load(), 1)
}

func TestResponsesWithoutBodies(t *testing.T) {
	head := "X-Attempt: id1\r\nX-Seal: s\r\n"
	for _, c := range []struct{ name, method, text, want string }{
		{"early", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + head + "Content-Length: 2\r\n\r\nhi", "200 2 hi"},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 500\r\n\r\n", "200 500 "},
		{"204", "GET", "HTTP/1.1 204 None\r\n" + head + "\r\n", "204  "},
		{"304", "GET", "HTTP/1.1 304 Same\r\n" + head + "Etag: x\r\n\r\n", "304  "},
		{"empty", "GET", "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 0\r\n\r\n", "200 0 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			replica := newReplica(t, func(receivedRequest) (string, bool) { return c.text, false }, respondWith("200 OK", "", "next"))
			p, addr := startDefault(t, newStubRouter(unknownDecision, replica.place(idempotentRoute)))
			client := dial(t, addr)
			client.sendRequest(t, c.method, "id1", "", "")
			r := client.readResponse(t, c.method)
			want(t, "response", fmt.Sprint(r.status, r.header.Get("Content-Length"), r.body), strings.ReplaceAll(c.want, " ", ""))
			client.sendRequest(t, "GET", "id2", "", "")
			want(t, "next", client.readResponse(t, "GET").body, "next")
			want(t, "reused", p.Counters.Reused.Load(), 1)
		})
	}
}

func TestHopByHopHeadersAreRemoved(t *testing.T) {
	replica := newReplica(t, respondWith("200 OK", "Connection: x-own, Keep-Alive\r\nX-Own: 1\r\nKeep-Alive: timeout=9\r\nProxy-Connection: z\r\nX-Two: a\r\nX-Two: b\r\n", "hi"))
	_, addr := startDefault(t, newStubRouter(unknownDecision, replica.place(onceRoute)))
	client := dial(t, addr)
	client.sendRequest(t, "GET", "id1", "Connection: X-Hop, keep-alive\r\nX-Hop: 1\r\nKeep-Alive: 3\r\nTe: trailers\r\nUpgrade: h2c\r\nProxy-Connection: y\r\nX-Two: a\r\nX-Two: b\r\n", "")
	r, request := client.readResponse(t, "GET"), <-replica.requests
	for _, name := range []string{"Connection", "X-Hop", "Keep-Alive", "Te", "Upgrade", "Proxy-Connection"} {
		if request.req.Header[name] != nil {
			t.Errorf("%s reached the replica", name)
		}
	}
	for _, name := range []string{"Connection", "X-Own", "Proxy-Connection"} {
		if r.header[name] != nil {
			t.Errorf("%s reached the client", name)
		}
	}
	want(t, "other headers", fmt.Sprint(request.req.Header["X-Two"], r.header["X-Two"], r.header["Keep-Alive"]), "[a b] [a b] [timeout=59]")
}

func TestConnectionLimit(t *testing.T) {
	manual := newManualReplica(t)
	place := manual.place(onceRoute)
	place.MaxConns = 1
	stub := newStubRouter(rejectDecision, place)
	p, addr := startDefault(t, stub)
	client := dial(t, addr)
	client.sendRequest(t, "GET", "id1", "", "")
	conn := manual.accept(t)
	request := conn.nextRequest(t)
	second := dial(t, addr)
	second.sendRequest(t, "GET", "id2", "", "")
	want(t, "second", second.readResponse(t, "GET").status, 503)
	want(t, "events", stub.notified(), "ReadyToSend AttemptEnded(refused)")
	conn.respond(t, request, "200 OK", "", "one")
	want(t, "first", client.readResponse(t, "GET").body, "one")
	second.sendRequest(t, "GET", "id3", "", "")
	conn.respond(t, conn.nextRequest(t), "200 OK", "", "three")
	want(t, "third", second.readResponse(t, "GET").body, "three")
	want(t, "capped and dialled", p.Counters.Capped.Load()*10+p.Counters.Dials.Load(), 11)
}

func TestFinalDecisions(t *testing.T) {
	for _, c := range []struct {
		name       string
		decision   router.Decision
		want       string
		retryAfter string
	}{
		{"no decision", router.Decision{}, "503 denied", "0.01"},
		{"rejected", rejectDecision, "503 denied", "1"},
		{"unknown", router.Decision{Verdict: router.Unknown, RetryAfter: time.Second}, "502 unknown", "1"},
		{"invalid", router.Decision{Verdict: router.Reject, Invalid: true}, "404 not found", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, addr := startDefault(t, singleDecisionRouter{c.decision})
			client := dial(t, addr)
			client.sendRequest(t, "GET", "id1", "", "")
			r := client.readResponse(t, "GET")
			want(t, "response", strconv.Itoa(r.status)+" "+strings.Split(r.body, `"`)[3], c.want)
			want(t, "retry", r.header.Get("Retry-After"), c.retryAfter)
		})
	}
}

// singleDecisionRouter makes at most one decision about a request and then closes the channel.
type singleDecisionRouter struct{ decision router.Decision }

func (stub singleDecisionRouter) Submit(router.Arrival) <-chan router.Decision {
	out := make(chan router.Decision, 1)
	if stub.decision.Verdict != "" {
		out <- stub.decision
	}
	close(out)
	return out
}

func (stub singleDecisionRouter) Notify(router.Event) {}

func TestDeadlineWhileReplicaWorks(t *testing.T) {
	manual := newManualReplica(t)
	stub := newStubRouter(unknownDecision, manual.place(onceRoute))
	p, addr := startDefault(t, stub)
	client := dial(t, addr)
	client.sendRequest(t, "GET", "id1", "X-Wait-Ms: 50\r\n", "")
	conn := manual.accept(t)
	conn.nextRequest(t)
	want(t, "status", client.readResponse(t, "GET").status, 504)
	conn.waitForClose(t)
	want(t, "events", stub.notified(), "ReadyToSend ClientDisconnected")
	want(t, "expired", p.Counters.Expired.Load(), 1)
}
