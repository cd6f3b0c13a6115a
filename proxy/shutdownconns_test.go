package proxy_test

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
	"github.com/mallowbridge/mallowbridge/router"
)

// Requests that come while a proxy shuts down are served within the grace period only where they say how long they may take.
const (
	grace = time.Hour
	soon  = "X-Wait-Ms: 1000\r\n"
)

func lingering(d time.Duration) proxy.Settings {
	set := proxy.Defaults()
	set.ShutdownLinger = d
	return set
}

// shutSoon waits for the end of an idle connection, and takes nothing else.
func (u *user) shutSoon(t *testing.T) {
	t.Helper()
	if _, err := u.in.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection ends with %v", err)
	}
}

func TestAnswersDuringShutdownSayClose(t *testing.T) {
	replica := newReplica(t, say("200 OK", "", "one"), stream(true, "id: 1\ndata: a\n\n"))
	m := newStubRouter(deny, replica.place(streams))
	p, addr := front(t, m, lingering(time.Hour), config.Limits{})
	open := dial(t, addr)
	p.Shutdown(grace)
	open.ask(t, "GET", "id1", soon, "")
	r := open.answer(t, "GET")
	want(t, "answer", fmt.Sprint(r.body, r.header["Connection"], r.header["Keep-Alive"]), "one[close] []")
	open.shutSoon(t)
	open = dial(t, addr)
	open.ask(t, "GET", "id2", soon, "")
	r = open.answer(t, "GET")
	want(t, "stream", fmt.Sprint(r.body, r.header["Connection"]), "id: 1\ndata: a\n\n[close]")
	open.shutSoon(t)
	p, addr = front(t, ends{deny}, lingering(time.Hour), config.Limits{})
	p.Shutdown(grace)
	open = dial(t, addr)
	open.ask(t, "GET", "id4", soon, "")
	r = open.answer(t, "GET")
	want(t, "refusal", fmt.Sprint(r.status, r.header["Connection"]), "503 [close]")
}

func TestShutdownClosesIdleConnectionsOnly(t *testing.T) {
	h := newHand(t)
	set := lingering(time.Millisecond)
	set.IdleTimeout, set.IdleTimeoutNonIdempotent = time.Hour, time.Hour
	p, addr := front(t, newStubRouter(deny, h.place(unsafe)), set, config.Limits{})
	resting, asking, reading, quiet := dial(t, addr), dial(t, addr), dial(t, addr), dial(t, addr)
	resting.ask(t, "GET", "id1", "", "")
	r1 := h.accept(t)
	r1.reply(t, r1.request(t), "200 OK", "", "one")
	want(t, "resting", resting.answer(t, "GET").body, "one")
	asking.ask(t, "GET", "id2", "", "")
	g2 := r1.request(t)
	reading.say(t, "POST /a HTTP/1.1\r\nHost: h\r\nX-Attempt: id3\r\nX-Wait-Ms: 1000\r\nContent-Le")
	for p.RequestsInFlight() != 2 {
		runtime.Gosched()
	}
	p.Shutdown(grace)
	resting.shutSoon(t)
	r1.reply(t, g2, "200 OK", "", "two")
	got := asking.answer(t, "GET")
	want(t, "asking", fmt.Sprint(got.body, got.header["Connection"]), "two[close]")
	reading.say(t, "ngth: 4\r\n\r\nbo")
	reading.say(t, "dy")
	r1.reply(t, r1.request(t), "200 OK", "", "three")
	want(t, "reading", reading.answer(t, "POST").body, "three")
	quiet.ask(t, "GET", "id4", soon, "")
	r1.reply(t, r1.request(t), "200 OK", "", "four")
	want(t, "quiet", quiet.answer(t, "GET").body, "four")
	waitIdle(t, p)
}

// TestAnswersBegunBeforeShutdownAreCompleted: the head said nothing of closing, so the connection is shut when it falls idle.
func TestAnswersBegunBeforeShutdownAreCompleted(t *testing.T) {
	h := newHand(t)
	p, addr := front(t, newStubRouter(deny, h.place(streams)), lingering(time.Millisecond), config.Limits{})
	other, u := dial(t, addr), dial(t, addr)
	u.ask(t, "GET", "id1", "", "")
	r := h.accept(t)
	r.request(t)
	r.say(t, "HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n")
	if _, err := u.in.Peek(1); err != nil {
		t.Fatal(err)
	}
	other.ask(t, "GET", "id0", "", "")
	o := h.accept(t)
	o.reply(t, o.request(t), "200 OK", "", "idle")
	want(t, "other", other.answer(t, "GET").body, "idle")
	p.Shutdown(grace)
	other.shutSoon(t)
	r.say(t, "7\r\nid: 2\n\n\r\n0\r\n\r\n")
	want(t, "stream", u.answer(t, "GET").body, "id: 1\n\nid: 2\n\n")
	u.shutSoon(t)
}

// TestShutdownAnswersWhatItRead sends on kept connections while the node shuts the idle ones: a request is answered or was never read.
func TestShutdownAnswersWhatItRead(t *testing.T) {
	const n = 64
	for range 5 {
		m := newStubRouter(deny)
		m.arrived, m.events = make(chan router.Arrival, 4*n), make(chan router.Event, 16*n)
		p, addr := front(t, m, lingering(time.Millisecond), config.Limits{})
		var users []*user
		for range n {
			u := dial(t, addr)
			u.ask(t, "GET", "id", "", "")
			want(t, "before", u.answer(t, "GET").status, 503)
			users = append(users, u)
		}
		go p.Shutdown(grace)
		results := make(chan bool, n)
		for _, u := range users {
			go func() {
				_, _ = io.WriteString(u, "GET /a HTTP/1.1\r\n")
				_, _ = io.WriteString(u, "Host: h\r\nX-Attempt: id2\r\nX-Wait-Ms: 1000\r\n\r\n")
				r := u.answer(t, "GET")
				results <- r.err == nil && r.status == 503
			}()
		}
		answered := 0
		for range users {
			if <-results {
				answered++
			}
		}
		waitIdle(t, p)
		want(t, "arrivals", len(m.arrived)-n, answered)
	}
}

func TestKeepAliveFitsTheIdleTime(t *testing.T) {
	for idle, advertised := range map[time.Duration]string{
		15 * time.Second: "[timeout=14]", 2 * time.Second: "[timeout=1]", 1200 * time.Millisecond: "[]", 0: "[timeout=59]",
	} {
		replica := newReplica(t, say("200 OK", "Keep-Alive: timeout=3\r\n", "one"), say("200 OK", "", "two"))
		_, addr := front(t, newStubRouter(deny, replica.place(unsafe)), proxy.Defaults(), config.Limits{Idle: idle})
		u := dial(t, addr)
		u.ask(t, "GET", "id1", "", "")
		want(t, idle.String(), fmt.Sprint(u.answer(t, "GET").header["Keep-Alive"]), advertised)
		u.ask(t, "GET", "id2", "Connection: close\r\n", "")
		want(t, "when closing", fmt.Sprint(u.answer(t, "GET").header["Keep-Alive"]), "[]")
	}
}

func TestIdleTimeEnds(t *testing.T) {
	_, addr := front(t, ends{deny}, proxy.Defaults(), config.Limits{Idle: 50 * time.Millisecond})
	u := dial(t, addr)
	u.ask(t, "GET", "id1", "", "")
	want(t, "status", u.answer(t, "GET").status, 503)
	u.shutSoon(t)
}
