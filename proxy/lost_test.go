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

// TestPartlyWrittenRequestMayHaveRun ends a connection, or lets the deadline pass, after a part of a long request was sent: the request is
// neither rejected nor sent again.
func TestPartlyWrittenRequestMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		wait   string
		reset  bool
		status int
	}{"reset": {"60000", true, 502}, "out of time": {"3000", false, 504}} {
		t.Run(name, func(t *testing.T) {
			manual := newManualReplica(t)
			p, addr := startDefault(t, newStubRouter(rejectDecision, manual.place(onceRoute), manual.place(onceRoute)))
			client := dial(t, addr)
			client.sendRequest(t, "POST", "id1", "X-Wait-Ms: "+c.wait+"\r\n", strings.Repeat("x", 12<<20))
			conn := manual.accept(t)
			if _, err := conn.reader.ReadByte(); err != nil {
				t.Fatal(err)
			}
			if c.reset {
				conn.reset()
			}
			want(t, "status", client.readResponse(t, "POST").status, c.status)
			want(t, "dialled", p.Counters.Dials.Load(), 1)
		})
	}
}

// newClosingReplica returns a replica that closes connections that were idle for a time, and that no longer reads from them during the last
// part of that time, which lasts unread. It sends each attempt ID that it reads to ran.
func newClosingReplica(t *testing.T, idle, unread time.Duration, ran chan<- string) *manualReplica {
	manual := newManualReplica(t)
	go manual.acceptEach(func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		for {
			_ = c.SetReadDeadline(time.Now().Add(idle - unread))
			req, err := http.ReadRequest(in)
			if err != nil {
				<-time.After(unread)
				return
			}
			ran <- req.Header.Get("X-Attempt")
			text, _ := respondWith("200 OK", "", "hi")(receivedRequest{req: req})
			_, _ = io.WriteString(c, text)
		}
	})
	return manual
}

// TestRequestLostToIdleClose counts how many requests that must not be sent twice are lost to a replica that closes idle connections, with
// and without a limit on their idle time. Each lost request is reported as unknown, and none runs twice.
func TestRequestLostToIdleClose(t *testing.T) {
	const callers, calls, idle, unread = 16, 12, 200 * time.Millisecond, 20 * time.Millisecond
	for _, idleTimeout := range []time.Duration{time.Hour, idle / 2} {
		ran := make(chan string, callers*calls)
		statuses := make(chan int, callers*calls)
		for n := range callers {
			settings := proxy.Defaults()
			settings.IdleTimeoutNonRetryable = idleTimeout
			_, addr := startWithListener(t, newStubRouter(rejectDecision, newClosingReplica(t, idle, unread, ran).place(onceRoute)), settings, config.Limits{})
			client, rnd := dial(t, addr), rand.New(rand.NewPCG(uint64(n), 1))
			go func() {
				for i := range calls {
					client.sendRequest(t, "GET", fmt.Sprint("id", n, "-", i), "", "")
					statuses <- client.readResponse(t, "GET").status
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
		t.Logf("limit on the idle time %v: %d of %d requests lost", idleTimeout, count[502], callers*calls)
	}
}
