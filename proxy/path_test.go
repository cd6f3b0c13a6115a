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

var deny = router.Decision{Verdict: router.Reject, RetryAfter: time.Second}

func TestBodiesAndAnswersOfAnyLength(t *testing.T) {
	for _, n := range []int{0, 1, 8 << 10, 64 << 10, 64<<10 + 1, 1 << 20} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(n, chunked), func(t *testing.T) {
				text := strings.Repeat("0123456789abcdef", n/16+1)[:n]
				replica := newReplica(t, say("200 OK", "", text))
				m := newStubRouter(unknown, replica.place(unsafe))
				p, addr := usual(t, m)
				c := dial(t, addr)
				if chunked {
					c.say(t, "PUT /a HTTP/1.1\r\nHost: h\r\nX-Attempt: id1\r\nTransfer-Encoding: chunked\r\n\r\n")
					if n > 0 {
						c.say(t, fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n", n, text, n, text))
					}
					c.say(t, "0\r\n\r\n")
					text += text
				} else {
					c.ask(t, "PUT", "id1", "", text)
				}
				r := c.answer(t, "PUT")
				want(t, "status", r.status, 200)
				g := <-replica.got
				if g.body != text || r.body != text[:n] {
					t.Errorf("%d bytes came, %d came back", len(g.body), len(r.body))
				}
				if len(text) > 0 {
					want(t, "length", g.req.ContentLength, len(text))
				}
				want(t, "encoding", len(g.req.TransferEncoding), 0)
				waitIdle(t, p)
				want(t, "held", p.Reserved(), 0)
			})
		}
	}
}

func TestLongAnswersAreStreamed(t *testing.T) {
	h := newHand(t)
	m := newStubRouter(partial, h.place(safe))
	set := proxy.Defaults()
	set.MaxBufferedResponseBytes = 32 << 10
	p, addr := front(t, m, set, config.Limits{})
	c := dial(t, addr)
	c.ask(t, "GET", "id1", "", "")
	u := h.accept(t)
	u.request(t)
	u.say(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", 64<<10, strings.Repeat("x", 48<<10)))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = resp.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	want(t, "events", m.notified(), "ReadyToSend AnswerHead AnswerStarted")
	u.reset()
	if _, err = resp.Body.Read(make([]byte, 64<<10)); err == nil {
		for err == nil {
			_, err = resp.Body.Read(make([]byte, 64<<10))
		}
	}
	want(t, "end", err.Error(), "unexpected EOF")
	waitIdle(t, p)
	want(t, "aborted", p.Counters.Aborted.Load(), 1)
}

func TestAnswersWithoutBodies(t *testing.T) {
	head := "X-Attempt: id1\r\nX-Seal: s\r\n"
	for _, c := range []struct{ name, method, text, want string }{
		{"early", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + head + "Content-Length: 2\r\n\r\nhi", "200 2 hi"},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 500\r\n\r\n", "200 500 "},
		{"204", "GET", "HTTP/1.1 204 None\r\n" + head + "\r\n", "204  "},
		{"304", "GET", "HTTP/1.1 304 Same\r\n" + head + "Etag: x\r\n\r\n", "304  "},
		{"empty", "GET", "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 0\r\n\r\n", "200 0 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			replica := newReplica(t, func(got) (string, bool) { return c.text, false }, say("200 OK", "", "next"))
			p, addr := usual(t, newStubRouter(unknown, replica.place(safe)))
			u := dial(t, addr)
			u.ask(t, c.method, "id1", "", "")
			r := u.answer(t, c.method)
			want(t, "answer", fmt.Sprint(r.status, r.header.Get("Content-Length"), r.body), strings.ReplaceAll(c.want, " ", ""))
			u.ask(t, "GET", "id2", "", "")
			want(t, "next", u.answer(t, "GET").body, "next")
			want(t, "reused", p.Counters.Reused.Load(), 1)
		})
	}
}

func TestHeadersOfOneConnectionStayThere(t *testing.T) {
	replica := newReplica(t, say("200 OK", "Connection: x-own, Keep-Alive\r\nX-Own: 1\r\nKeep-Alive: timeout=9\r\nProxy-Connection: z\r\nX-Two: a\r\nX-Two: b\r\n", "hi"))
	_, addr := usual(t, newStubRouter(unknown, replica.place(unsafe)))
	c := dial(t, addr)
	c.ask(t, "GET", "id1", "Connection: X-Hop, keep-alive\r\nX-Hop: 1\r\nKeep-Alive: 3\r\nTe: trailers\r\nUpgrade: h2c\r\nProxy-Connection: y\r\nX-Two: a\r\nX-Two: b\r\n", "")
	r, g := c.answer(t, "GET"), <-replica.got
	for _, name := range []string{"Connection", "X-Hop", "Keep-Alive", "Te", "Upgrade", "Proxy-Connection"} {
		if g.req.Header[name] != nil {
			t.Errorf("%s reached the replica", name)
		}
	}
	for _, name := range []string{"Connection", "X-Own", "Proxy-Connection"} {
		if r.header[name] != nil {
			t.Errorf("%s reached the client", name)
		}
	}
	want(t, "kept", fmt.Sprint(g.req.Header["X-Two"], r.header["X-Two"], r.header["Keep-Alive"]), "[a b] [a b] [timeout=59]")
}

func TestConnectionCap(t *testing.T) {
	h := newHand(t)
	place := h.place(unsafe)
	place.MaxConns = 1
	m := newStubRouter(deny, place)
	p, addr := usual(t, m)
	c := dial(t, addr)
	c.ask(t, "GET", "id1", "", "")
	u := h.accept(t)
	g := u.request(t)
	second := dial(t, addr)
	second.ask(t, "GET", "id2", "", "")
	want(t, "second", second.answer(t, "GET").status, 503)
	want(t, "events", m.notified(), "ReadyToSend AttemptEnded(refused)")
	u.reply(t, g, "200 OK", "", "one")
	want(t, "first", c.answer(t, "GET").body, "one")
	second.ask(t, "GET", "id3", "", "")
	u.reply(t, u.request(t), "200 OK", "", "three")
	want(t, "third", second.answer(t, "GET").body, "three")
	want(t, "capped and dialled", p.Counters.Capped.Load()*10+p.Counters.Dials.Load(), 11)
}

func TestDecisionsThatEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		last router.Decision
		want string
		back string
	}{
		{"closed", router.Decision{}, "503 denied", "0.25"},
		{"denied", deny, "503 denied", "1"},
		{"unknown", router.Decision{Verdict: router.Unknown, RetryAfter: time.Second}, "502 unknown", "1"},
		{"bad", router.Decision{Verdict: router.Reject, Invalid: true}, "404 not found", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, addr := usual(t, ends{c.last})
			u := dial(t, addr)
			u.ask(t, "GET", "id1", "", "")
			r := u.answer(t, "GET")
			want(t, "answer", strconv.Itoa(r.status)+" "+strings.Split(r.body, `"`)[3], c.want)
			want(t, "retry", r.header.Get("Retry-After"), c.back)
		})
	}
}

// ends gives one decision at most and closes.
type ends struct{ d router.Decision }

func (e ends) Submit(router.Arrival) <-chan router.Decision {
	out := make(chan router.Decision, 1)
	if e.d.Verdict != "" {
		out <- e.d
	}
	close(out)
	return out
}

func (e ends) Notify(router.Event) {}

func TestTimeRunsOut(t *testing.T) {
	h := newHand(t)
	m := newStubRouter(unknown, h.place(unsafe))
	p, addr := usual(t, m)
	c := dial(t, addr)
	c.ask(t, "GET", "id1", "X-Wait-Ms: 50\r\n", "")
	u := h.accept(t)
	u.request(t)
	want(t, "status", c.answer(t, "GET").status, 504)
	u.ended(t)
	want(t, "events", m.notified(), "ReadyToSend ClientDisconnected")
	want(t, "expired", p.Counters.Expired.Load(), 1)
}
