package proxy_test

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
)

// freeze stands for a machine that stands still.
func freeze(d time.Duration) { <-time.After(d) }

// TestTimeInSocketCounts: this machine stood still while a request lay in its socket. Its time counts from when it
// came, so one that is over is not sent to a replica, and one that is not is told what is left.
func TestTimeInSocketCounts(t *testing.T) {
	const frozen = 600 * time.Millisecond
	for _, method := range []string{"GET", "POST"} {
		h := newHand(t)
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		over, inTime := dial(t, lis.Addr().String()), dial(t, lis.Addr().String())
		body := map[string]string{"POST": "body"}[method]
		over.ask(t, method, "id1", "X-Wait-Ms: 300\r\n", body)
		inTime.ask(t, method, "id2", "X-Wait-Ms: 60000\r\n", body)
		freeze(frozen)
		p := proxy.New(newStubRouter(deny, h.place(unsafe)), names, proxy.Defaults(), func() config.Limits {
			var l config.Limits
			return l
		}, "b")
		tb := &tomb.Tomb{}
		proxy.Serve(tb, lis, p, func() config.Limits {
			var l config.Limits
			return l
		})
		r := h.accept(t)
		g := r.request(t)
		want(t, "sent", g.req.Header.Get("X-Attempt"), "id2")
		left, _ := strconv.Atoi(g.req.Header.Get("X-Wait-Ms"))
		if most := int((time.Minute - frozen*9/10).Milliseconds()); left > most {
			t.Errorf("told %d ms, of which %s are over", left, frozen)
		}
		r.reply(t, g, "200 OK", "", "two")
		want(t, "in time", inTime.answer(t, method).body, "two")
		got := over.answer(t, method)
		want(t, "over", fmt.Sprint(got.status == 503 || got.status == 408, got.header.Get("Retry-After") != ""), "true true")
		waitIdle(t, p)
		tb.Kill(nil)
		_ = tb.Wait()
	}
}

// TestNothingIsSentAfterItsTime: this machine stands still while a new connection is opened in the place of a kept one that had ended.
func TestNothingIsSentAfterItsTime(t *testing.T) {
	for _, c := range []struct {
		name, wait string
		most       int
		status     int
	}{{"over", "200", 0, 503}, {"in time", "30000", 29700, 200}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHand(t)
			m := &early{stubRouter: newStubRouter(deny, h.place(unsafe))}
			set := proxy.Defaults()
			set.DeadlineGrace, set.DialTimeout = time.Minute, time.Minute
			p, addr := front(t, m, set, config.Limits{})
			u := dial(t, addr)
			u.ask(t, "GET", "id1", "", "")
			r := h.accept(t)
			r.reply(t, r.request(t), "200 OK", "", "one")
			want(t, "first", u.answer(t, "GET").body, "one")
			p.OnDial(func() { freeze(300 * time.Millisecond) })
			m.end = r.reset
			u.ask(t, "GET", "id2", "X-Wait-Ms: "+c.wait+"\r\n", "")
			r = h.accept(t)
			if c.most == 0 {
				want(t, "answer", u.answer(t, "GET").status, c.status)
				if _, err := r.in.ReadByte(); err != io.EOF {
					t.Errorf("the replica read a byte or %v", err)
				}
				return
			}
			g := r.request(t)
			if left, _ := strconv.Atoi(g.req.Header.Get("X-Wait-Ms")); left > c.most {
				t.Errorf("told %d ms, not at most %d", left, c.most)
			}
			r.reply(t, g, "200 OK", "", "two")
			want(t, "answer", u.answer(t, "GET").status, c.status)
		})
	}
}

// TestConnectionThatExpiredBeforeSendIsNotUsed: this machine stands still between taking a kept connection and the leave to send.
func TestConnectionThatExpiredBeforeSendIsNotUsed(t *testing.T) {
	for name, route := range map[string]*config.Route{"once": unsafe, "repeatable": safe} {
		t.Run(name, func(t *testing.T) {
			h := newHand(t)
			m := &early{stubRouter: newStubRouter(deny, h.place(route))}
			set := proxy.Defaults()
			set.IdleTimeoutNonIdempotent, set.IdleTimeout = 300*time.Millisecond, 300*time.Millisecond
			_, addr := front(t, m, set, config.Limits{})
			u := dial(t, addr)
			u.ask(t, "GET", "id1", "", "")
			r := h.accept(t)
			r.reply(t, r.request(t), "200 OK", "", "one")
			want(t, "first", u.answer(t, "GET").body, "one")
			m.end = func() { freeze(400 * time.Millisecond) }
			u.ask(t, "GET", "id2", "", "")
			next := h.accept(t)
			next.reply(t, next.request(t), "200 OK", "", "two")
			want(t, "second", u.answer(t, "GET").body, "two")
		})
	}
}

// TestAnswerReceivedWhileFrozenIsSentOnce: the replica answered while this machine stood still past the request's time. The client hears
// that answer or a 504, and the request is not sent again, repeatable or not.
func TestAnswerReceivedWhileFrozenIsSentOnce(t *testing.T) {
	for name, route := range map[string]*config.Route{"once": unsafe, "repeatable": safe} {
		t.Run(name, func(t *testing.T) {
			h := newHand(t)
			p, addr := usual(t, newStubRouter(deny, h.place(route), h.place(route)))
			u := dial(t, addr)
			u.ask(t, "GET", "id1", "X-Wait-Ms: 500\r\n", "")
			r := h.accept(t)
			g := r.request(t)
			freeze(time.Second)
			text, _ := say("200 OK", "", "late")(g)
			_, _ = r.Write([]byte(text))
			want(t, "status", u.answer(t, "GET").status, 504)
			waitIdle(t, p)
			want(t, "dialled", p.Counters.Dials.Load(), 1)
		})
	}
}
