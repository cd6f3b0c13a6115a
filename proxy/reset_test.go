package proxy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/router"
)

const part = "HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\nContent-Length: 50\r\n\r\n"

func TestResetsAtEachMoment(t *testing.T) {
	stream := "HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, said    string
		route         *config.Route
		status        int
		body, heard   string
		cut, replaced bool
	}{
		{name: "before any byte", route: unsafe, status: 502, heard: "ReadyToSend AttemptEnded(broken)"},
		{name: "within the head", said: part[:30], route: unsafe, status: 502, heard: "ReadyToSend AttemptEnded(broken)"},
		{name: "after the head", said: part, route: unsafe, status: 502, heard: "ReadyToSend AnswerHead AttemptEnded(broken)"},
		{name: "within the body", said: part + "some", route: unsafe, status: 502, heard: "ReadyToSend AnswerHead AttemptEnded(broken)"},
		{name: "within the body, repeatable", said: part + "some", route: safe, status: 200, heard: "ReadyToSend AnswerHead AttemptEnded(broken) ReadyToSend AnswerHead AttemptEnded(whole)", replaced: true},
		{name: "after a stream's head", said: stream, route: streams, status: 502, heard: "ReadyToSend AnswerHead AttemptEnded(broken)"},
		{name: "within a stream", said: stream + "7\r\nid: 1\n\n\r\n", route: streams, status: 200, cut: true, heard: "ReadyToSend AnswerHead AnswerStarted AttemptEnded(broken)"},
		{name: "within a refusal", said: "HTTP/1.1 503 Full\r\nX-Attempt: id1\r\nX-Not-Run: 1\r\nContent-Length: 9\r\n\r\nhalf", route: unsafe, status: 503, heard: "ReadyToSend AttemptEnded(refused)"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, places := newHand(t), []router.Decision{}
			places = append(places, h.place(c.route))
			if c.replaced {
				places = append(places, h.place(c.route))
			}
			m := newStubRouter(deny, places...)
			p, addr := usual(t, m)
			u := dial(t, addr)
			u.ask(t, "GET", "id1", "", "")
			r := h.accept(t)
			r.request(t)
			r.say(t, c.said)
			if c.cut {
				if _, err := u.in.Peek(1); err != nil {
					t.Fatal(err)
				}
			} else if len(c.said) > 0 {
				read(t, r)
			}
			r.reset()
			if c.replaced {
				next := h.accept(t)
				next.reply(t, next.request(t), "200 OK", "", "whole")
			}
			got := u.answer(t, "GET")
			want(t, "answer", fmt.Sprint(got.status, got.err != nil), fmt.Sprint(c.status, c.cut))
			waitIdle(t, p)
			want(t, "events", m.notified(), c.heard)
		})
	}
}

// read waits until the proxy has taken all that was said: a reset throws away what lies in its socket.
func read(t *testing.T, u *up) {
	t.Helper()
	for end := time.Now().Add(testTimeout); unacked(t, u.TCPConn) > 0; {
		if time.Now().After(end) {
			t.Fatal("bytes stay unread")
		}
	}
}

// early ends the replica's connection at the moment before the request is let go.
type early struct {
	*stubRouter
	end func()
}

func (e *early) Notify(ev router.Event) {
	if _, ok := ev.(router.ReadyToSend); ok && e.end != nil {
		e.end()
		e.end = nil
	}
	e.stubRouter.Notify(ev)
}

// TestKeptConnectionEnds ends a kept connection before the write, in every way: nothing of the request left, so it goes on a new one.
func TestKeptConnectionEnds(t *testing.T) {
	reset, closed := (*up).reset, func(u *up) { _ = u.Close() }
	for name, c := range map[string]struct {
		route *config.Route
		end   func(u *up)
		late  bool
	}{
		"reset while idle, repeatable":  {safe, reset, false},
		"reset while idle":              {unsafe, reset, false},
		"closed while idle, repeatable": {safe, closed, false},
		"closed while idle":             {unsafe, closed, false},
		"reset late, repeatable":        {safe, reset, true},
		"reset late":                    {unsafe, reset, true},
		"closed late":                   {unsafe, closed, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHand(t)
			m := &early{stubRouter: newStubRouter(deny, h.place(c.route))}
			p, addr := usual(t, m)
			u := dial(t, addr)
			u.ask(t, "GET", "id1", "", "")
			r := h.accept(t)
			r.reply(t, r.request(t), "200 OK", "", "one")
			want(t, "first", u.answer(t, "GET").body, "one")
			end := func() { c.end(r) }
			if c.late {
				m.end = end
			} else {
				end()
			}
			u.ask(t, "GET", "id2", "", "")
			next := h.accept(t)
			next.reply(t, next.request(t), "200 OK", "", "two")
			want(t, "second", u.answer(t, "GET").body, "two")
			want(t, "events", m.notified(), "ReadyToSend AnswerHead AttemptEnded(whole) ReadyToSend AnswerHead AttemptEnded(whole)")
			want(t, "stale and dialled", p.Counters.Stale.Load()*10+p.Counters.Dials.Load(), 12)
			next.reset()
			_ = h.lis.Close()
			u.ask(t, "GET", "id3", "", "")
			want(t, "third", u.answer(t, "GET").status, 503)
			if notified := m.notified(); !strings.HasSuffix(notified, "AttemptEnded(unreached)") {
				t.Errorf("events %s", notified)
			}
		})
	}
}

// TestRepeatedAttemptTakesAnotherConnection: a second copy of its answer could not be told from the answer.
func TestRepeatedAttemptTakesAnotherConnection(t *testing.T) {
	h := newHand(t)
	_, addr := usual(t, newStubRouter(deny, h.place(safe)))
	u := dial(t, addr)
	for _, body := range []string{"one", "two"} {
		u.ask(t, "GET", "id1", "", "")
		r := h.accept(t)
		r.reply(t, r.request(t), "200 OK", "", body)
		want(t, "answer", u.answer(t, "GET").body, body)
	}
}

// TestReplicaDiesAfterTheWrite closes a kept connection as the request reaches it: it may have run, so it is called unknown.
func TestReplicaDiesAfterTheWrite(t *testing.T) {
	h := newHand(t)
	m := newStubRouter(deny, h.place(unsafe))
	p, addr := usual(t, m)
	u := dial(t, addr)
	u.ask(t, "GET", "id1", "", "")
	r := h.accept(t)
	r.reply(t, r.request(t), "200 OK", "", "one")
	want(t, "first", u.answer(t, "GET").body, "one")
	u.ask(t, "GET", "id2", "", "")
	r.request(t)
	r.reset()
	want(t, "second", u.answer(t, "GET").status, 502)
	want(t, "dialled", p.Counters.Dials.Load(), 1)
	want(t, "events", m.notified(), "ReadyToSend AnswerHead AttemptEnded(whole) ReadyToSend AttemptEnded(broken)")
}
