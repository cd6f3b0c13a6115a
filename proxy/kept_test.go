package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
)

// TestOldKeptConnections: a replica that forgets idle connections without a word answers nothing on them. Requests that may not be
// repeated go there only while the connection is young.
func TestOldKeptConnections(t *testing.T) {
	for _, c := range []struct {
		name, keep string
		once       time.Duration
		route      *config.Route
		dials      int
	}{
		{"young", "", time.Hour, unsafe, 1},
		{"old", "", time.Nanosecond, unsafe, 2},
		{"old but told", "Keep-Alive: timeout=100\r\n", time.Nanosecond, unsafe, 1},
		{"told to go", "Keep-Alive: timeout=0\r\n", time.Hour, unsafe, 2},
		{"repeatable", "", time.Nanosecond, safe, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHand(t)
			place := h.place(c.route)
			place.MaxConns = 1
			set := proxy.Defaults()
			set.IdleTimeoutNonIdempotent, set.IdleTimeout = c.once, time.Hour
			p, addr := front(t, newStubRouter(deny, place), set, config.Limits{})
			u := dial(t, addr)
			u.ask(t, "GET", "id1", "", "")
			r := h.accept(t)
			r.reply(t, r.request(t), "200 OK", c.keep, "one")
			want(t, "first", u.answer(t, "GET").body, "one")
			u.ask(t, "GET", "id2", "", "")
			if c.dials == 2 {
				r.ended(t)
				r = h.accept(t)
			}
			r.reply(t, r.request(t), "200 OK", "", "two")
			want(t, "second", u.answer(t, "GET").body, "two")
			want(t, "dials", p.Counters.Dials.Load(), c.dials)
		})
	}
}

func TestIdleConnectionsExpire(t *testing.T) {
	h := newHand(t)
	set := proxy.Defaults()
	set.IdleTimeout = 100 * time.Millisecond
	_, addr := front(t, newStubRouter(deny, h.place(safe)), set, config.Limits{})
	u := dial(t, addr)
	u.ask(t, "GET", "id1", "", "")
	r := h.accept(t)
	r.reply(t, r.request(t), "200 OK", "", "one")
	want(t, "first", u.answer(t, "GET").body, "one")
	r.ended(t)
}

// TestSurplusNeverReachesAnother: whatever a replica sends beyond a whole answer, at whatever moment, belongs to nobody.
func TestSurplusNeverReachesAnother(t *testing.T) {
	extra, _ := say("200 OK", "", "extra")(got{req: idRequest("id1")})
	for _, when := range []string{"at once", "while idle", "in place of the next"} {
		t.Run(when, func(t *testing.T) {
			h := newHand(t)
			m := newStubRouter(unknown, h.place(unsafe))
			p, addr := usual(t, m)
			u := dial(t, addr)
			u.ask(t, "GET", "id1", "", "")
			r := h.accept(t)
			text, _ := say("200 OK", "", "one")(r.request(t))
			if when == "at once" {
				text += extra
			}
			r.say(t, text)
			want(t, "first", u.answer(t, "GET").body, "one")
			switch when {
			case "at once":
				r.ended(t)
			case "while idle":
				r.say(t, extra)
			}
			u.ask(t, "GET", "id2", "", "")
			if when == "while idle" {
				r.ended(t)
			}
			if when != "in place of the next" {
				r = h.accept(t)
			}
			g := r.request(t)
			if when == "in place of the next" {
				r.say(t, extra)
			}
			r.reply(t, g, "200 OK", "", "two")
			want(t, "second", u.answer(t, "GET").body, "two")
			want(t, "surplus or stale", p.Counters.Surplus.Load()+p.Counters.Stale.Load(), 1)
		})
	}
}

// forgetful is a replica that forgets connections that were idle for a time: it says nothing and answers nothing on them.
func forgetful(t *testing.T, idle time.Duration) *hand {
	h := newHand(t)
	go h.acceptEach(func(c *net.TCPConn) {
		in, last := bufio.NewReader(c), time.Now()
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if time.Since(last) > idle {
				continue
			}
			text, _ := say("200 OK", "", "hi")(got{req: req})
			_, _ = io.WriteString(c, text)
			last = time.Now()
		}
	})
	return h
}

// TestAbandonedConnections pauses for 100 ms between requests to a replica that forgets connections after 50: with the bound on their
// age each request is answered, without it every second one (the one between goes on a new connection) runs out of time.
func TestAbandonedConnections(t *testing.T) {
	for young, answered := range map[time.Duration]int{time.Hour: 3, 20 * time.Millisecond: 6} {
		set := proxy.Defaults()
		set.IdleTimeoutNonIdempotent = young
		p, addr := front(t, newStubRouter(deny, forgetful(t, 50*time.Millisecond).place(unsafe)), set, config.Limits{})
		u := dial(t, addr)
		pause := time.NewTicker(100 * time.Millisecond)
		defer pause.Stop()
		statuses := map[int]int{}
		for i := range 6 {
			u.ask(t, "GET", fmt.Sprint("id", i), "X-Wait-Ms: 500\r\n", "")
			statuses[u.answer(t, "GET").status]++
			for drained := false; !drained; {
				select {
				case <-pause.C:
				default:
					drained = true
				}
			}
			<-pause.C
		}
		want(t, young.String(), statuses[http.StatusOK], answered)
		want(t, "others", statuses[http.StatusGatewayTimeout], 6-answered)
		waitIdle(t, p)
	}
}
