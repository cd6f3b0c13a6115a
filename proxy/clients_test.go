package proxy_test

import (
	"strings"
	"testing"
)

// TestRequestsInOneSegment: requests that come in one segment, with a body that has a length and one in chunks, are run one after the
// other; each gets its own body and its own answer.
func TestRequestsInOneSegment(t *testing.T) {
	h := newHand(t)
	p, addr := usual(t, newStubRouter(deny, h.place(unsafe)))
	u := dial(t, addr)
	const head = "POST /a HTTP/1.1\r\nHost: h.example\r\nX-Attempt: "
	u.say(t, head+"id1\r\nContent-Length: 3\r\n\r\none"+head+"id2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n"+head+"id3\r\n\r\n")
	r := h.accept(t)
	for _, c := range []struct{ id, body string }{{"id1", "one"}, {"id2", "two"}, {"id3", ""}} {
		g := r.request(t)
		want(t, "sent", g.req.Header.Get("X-Attempt")+" "+g.body, c.id+" "+c.body)
		r.reply(t, g, "200 OK", "", "to "+c.id)
		want(t, "answer", u.answer(t, "POST").body, "to "+c.id)
	}
	waitIdle(t, p)
	want(t, "requests", p.Counters.Requests.Load(), 3)
}

// TestBytesBehindARequestAreNotPartOfIt: what follows a request's body is no request of its own kind, and reaches no replica.
func TestBytesBehindARequestAreNotPartOfIt(t *testing.T) {
	h := newHand(t)
	p, addr := usual(t, newStubRouter(deny, h.place(unsafe)))
	u := dial(t, addr)
	u.ask(t, "POST", "id1", "", "body")
	u.say(t, "surplus \x01\r\n\r\n")
	r := h.accept(t)
	g := r.request(t)
	want(t, "body", g.body, "body")
	r.reply(t, g, "200 OK", "", "one")
	want(t, "first", u.answer(t, "POST").body, "one")
	want(t, "surplus", u.answer(t, "GET").status, 400)
	waitIdle(t, p)
	want(t, "requests", p.Counters.Requests.Load(), 1)
}

// TestRequestOfClosedClientIsNotRetried: a client that closes, or closes its sending half, has given the request up; it is not sent again.
func TestRequestOfClosedClientIsNotRetried(t *testing.T) {
	for name, end := range map[string]func(u *user) error{
		"closes": (*user).Close, "half-closes": func(u *user) error { return u.CloseWrite() },
		"resets": func(u *user) error { _ = u.SetLinger(0); return u.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHand(t)
			m := newStubRouter(deny, h.place(safe), h.place(safe))
			p, addr := usual(t, m)
			u := dial(t, addr)
			u.ask(t, "GET", "id1", "", "")
			r := h.accept(t)
			r.request(t)
			_ = end(u)
			r.ended(t)
			waitIdle(t, p)
			want(t, "events", m.notified(), "ReadyToSend ClientDisconnected")
			want(t, "dialled", p.Counters.Dials.Load(), 1)
		})
	}
}

// TestAnswerBeforeBodyWasRead: a replica that answers and resets while a long body is being written may have run the request.
func TestAnswerBeforeBodyWasRead(t *testing.T) {
	h := newHand(t)
	p, addr := usual(t, newStubRouter(deny, h.place(unsafe), h.place(unsafe)))
	u := dial(t, addr)
	u.ask(t, "POST", "id1", "X-Wait-Ms: 20000\r\n", strings.Repeat("x", 12<<20))
	r := h.accept(t)
	if _, err := r.in.ReadByte(); err != nil {
		t.Fatal(err)
	}
	r.reply(t, got{req: idRequest("id1")}, "200 OK", "Connection: close\r\n", "early")
	_ = r.Close()
	want(t, "status", u.answer(t, "POST").status, 502)
	want(t, "dialled", p.Counters.Dials.Load(), 1)
}
