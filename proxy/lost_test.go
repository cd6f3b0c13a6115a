package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
)

// TestPartlyWrittenRequestMayHaveRun ends a connection, or the request's time, after some bytes of a long request left: it is neither
// denied nor sent again.
func TestPartlyWrittenRequestMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		wait   string
		reset  bool
		status int
	}{"reset": {"60000", true, 502}, "out of time": {"3000", false, 504}} {
		t.Run(name, func(t *testing.T) {
			h := newHand(t)
			p, addr := usual(t, newStubRouter(deny, h.place(unsafe), h.place(unsafe)))
			u := dial(t, addr)
			u.ask(t, "POST", "id1", "X-Wait-Ms: "+c.wait+"\r\n", strings.Repeat("x", 12<<20))
			r := h.accept(t)
			if _, err := r.in.ReadByte(); err != nil {
				t.Fatal(err)
			}
			if c.reset {
				r.reset()
			}
			want(t, "status", u.answer(t, "POST").status, c.status)
			want(t, "dialled", p.Counters.Dials.Load(), 1)
		})
	}
}

// closer is a replica that closes connections which were idle for a time, and reads nothing in the last part of it. Each id that it reads
// is told to ran.
func closer(t *testing.T, idle, deaf time.Duration, ran chan<- string) *hand {
	h := newHand(t)
	go h.acceptEach(func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		for {
			_ = c.SetReadDeadline(time.Now().Add(idle - deaf))
			req, err := http.ReadRequest(in)
			if err != nil {
				<-time.After(deaf)
				return
			}
			ran <- req.Header.Get("X-Attempt")
			text, _ := say("200 OK", "", "hi")(got{req: req})
			_, _ = io.WriteString(c, text)
		}
	})
	return h
}

// TestRequestLostToIdleClose counts what a replica that closes idle connections costs requests that may not be repeated, with and without a
// bound on the connections' age. Whatever is lost is called unknown, and nothing runs twice.
func TestRequestLostToIdleClose(t *testing.T) {
	const callers, calls, idle, deaf = 16, 12, 200 * time.Millisecond, 20 * time.Millisecond
	for _, young := range []time.Duration{time.Hour, idle / 2} {
		ran := make(chan string, callers*calls)
		statuses := make(chan int, callers*calls)
		for n := range callers {
			set := proxy.Defaults()
			set.IdleTimeoutNonIdempotent = young
			_, addr := front(t, newStubRouter(deny, closer(t, idle, deaf, ran).place(unsafe)), set, config.Limits{})
			u, rnd := dial(t, addr), rand.New(rand.NewPCG(uint64(n), 1))
			go func() {
				for i := range calls {
					u.ask(t, "GET", fmt.Sprint("id", n, "-", i), "", "")
					statuses <- u.answer(t, "GET").status
					<-time.After(time.Duration(rnd.Int64N(int64(idle * 3 / 2))))
				}
			}()
		}
		count := map[int]int{}
		for range callers * calls {
			count[<-statuses]++
		}
		seen := map[string]bool{}
		for len(ran) > 0 {
			id := <-ran
			if seen[id] {
				t.Errorf("%s ran twice", id)
			}
			seen[id] = true
		}
		want(t, "answered or unknown", count[200]+count[502], callers*calls)
		t.Logf("bound %v: %d of %d lost", young, count[502], callers*calls)
	}
}
