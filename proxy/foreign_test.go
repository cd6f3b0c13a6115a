package proxy_test

import (
	"fmt"
	"testing"
)

// TestAnswersWithAnotherIDAreDropped: an answer that names an id is not the answer to a request without one, and two requests without
// one do not share a connection, as a late answer to the first could not be told from the second's.
func TestAnswersWithAnotherIDAreDropped(t *testing.T) {
	const plain = "GET /a HTTP/1.1\r\nHost: h.example\r\n\r\n"
	answer := func(body string) string {
		text, _ := say("200 OK", "", body)(got{req: idRequest("")})
		return text
	}
	t.Run("named", func(t *testing.T) {
		h := newHand(t)
		_, addr := usual(t, newStubRouter(unknown, h.place(safe)))
		u := dial(t, addr)
		u.say(t, plain)
		r := h.accept(t)
		r.reply(t, got{req: idRequest("other")}, "200 OK", "", "other's")
		want(t, "status", u.answer(t, "GET").status, 502)
	})
	t.Run("nameless", func(t *testing.T) {
		h := newHand(t)
		_, addr := usual(t, newStubRouter(unknown, h.place(unsafe)))
		u := dial(t, addr)
		for _, body := range []string{"one", "two"} {
			u.say(t, plain)
			r := h.accept(t)
			r.request(t)
			r.say(t, answer(body))
			want(t, "answer", u.answer(t, "GET").body, body)
		}
	})
	t.Run("nameless after a named one", func(t *testing.T) {
		h := newHand(t)
		_, addr := usual(t, newStubRouter(unknown, h.place(unsafe)))
		u := dial(t, addr)
		u.ask(t, "GET", "id1", "", "")
		r := h.accept(t)
		r.reply(t, r.request(t), "200 OK", "", "one")
		want(t, "first", u.answer(t, "GET").body, "one")
		u.say(t, plain)
		r = h.accept(t)
		r.request(t)
		r.say(t, answer("two"))
		want(t, "second", u.answer(t, "GET").body, "two")
	})
}

// TestLateAnswerToHEADIsNotSkipped: its length counts bytes that do not follow. Reading over so many of the answer that is due leaves
// its body, which here looks like an answer.
func TestLateAnswerToHEADIsNotSkipped(t *testing.T) {
	h := newHand(t)
	_, addr := usual(t, newStubRouter(unknown, h.place(unsafe)))
	u := dial(t, addr)
	u.ask(t, "HEAD", "id1", "", "")
	r := h.accept(t)
	inner, _ := say("200 OK", "", "only a part")(got{req: idRequest("id2")})
	complete, _ := say("200 OK", "", inner)(got{req: idRequest("id2")})
	overdue := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n", len(complete)-len(inner))
	r.request(t)
	r.say(t, overdue)
	want(t, "first", u.answer(t, "HEAD").status, 200)
	u.ask(t, "GET", "id2", "", "")
	r.request(t)
	r.say(t, overdue+complete)
	second := u.answer(t, "GET")
	want(t, "second", fmt.Sprint(second.status, second.body == "only a part"), "502 false")
}
