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

// freeze simulates that the machine is stopped for d: the goroutine sleeps.
func freeze(d time.Duration) { <-time.After(d) }

// TestTimeInSocketBufferCounts checks requests that waited in the socket buffer while the machine was stopped. Their time counts from when
// they arrived, so a request past its deadline is not sent to a replica, and another one is sent with the time that remains.
func TestTimeInSocketBufferCounts(t *testing.T) {
	const frozen = 600 * time.Millisecond
	for _, method := range []string{"GET", "POST"} {
		manual := newManualReplica(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		over, inTime := dial(t, listener.Addr().String()), dial(t, listener.Addr().String())
		body := map[string]string{"POST": "body"}[method]
		over.sendRequest(t, method, "id1", "X-Wait-Ms: 300\r\n", body)
		inTime.sendRequest(t, method, "id2", "X-Wait-Ms: 60000\r\n", body)
		freeze(frozen)
		p := proxy.New(newStubRouter(rejectDecision, manual.place(onceRoute)), testHeaders, proxy.Defaults(), func() config.Limits {
			var l config.Limits
			return l
		}, "b")
		tb := &tomb.Tomb{}
		proxy.Serve(tb, listener, p, func() config.Limits {
			var l config.Limits
			return l
		})
		conn := manual.accept(t)
		request := conn.nextRequest(t)
		want(t, "sent", request.req.Header.Get("X-Attempt"), "id2")
		left, _ := strconv.Atoi(request.req.Header.Get("X-Wait-Ms"))
		if most := int((time.Minute - frozen*9/10).Milliseconds()); left > most {
			t.Errorf("the replica received a deadline of %d ms, although the request had waited %s", left, frozen)
		}
		conn.respond(t, request, "200 OK", "", "two")
		want(t, "in time", inTime.readResponse(t, method).body, "two")
		got := over.readResponse(t, method)
		want(t, "over", fmt.Sprint(got.status == 503 || got.status == 408, got.header.Get("Retry-After") != ""), "true true")
		waitIdle(t, p)
		tb.Kill(nil)
		_ = tb.Wait()
	}
}

// TestNothingIsSentAfterDeadline stops the machine while it opens a new connection to replace an idle one that had ended.
func TestNothingIsSentAfterDeadline(t *testing.T) {
	for _, c := range []struct {
		name, wait string
		maxLeft    int
		status     int
	}{{"over", "200", 0, 503}, {"in time", "30000", 29700, 200}} {
		t.Run(c.name, func(t *testing.T) {
			manual := newManualReplica(t)
			stub := &disconnectBeforeSend{stubRouter: newStubRouter(rejectDecision, manual.place(onceRoute))}
			settings := proxy.Defaults()
			settings.DeadlineGrace, settings.DialTimeout = time.Minute, time.Minute
			p, addr := startWithListener(t, stub, settings, config.Limits{})
			client := dial(t, addr)
			client.sendRequest(t, "GET", "id1", "", "")
			conn := manual.accept(t)
			conn.respond(t, conn.nextRequest(t), "200 OK", "", "one")
			want(t, "first", client.readResponse(t, "GET").body, "one")
			p.OnDial(func() { freeze(300 * time.Millisecond) })
			stub.disconnect = conn.reset
			client.sendRequest(t, "GET", "id2", "X-Wait-Ms: "+c.wait+"\r\n", "")
			conn = manual.accept(t)
			if c.maxLeft == 0 {
				want(t, "response", client.readResponse(t, "GET").status, c.status)
				if _, err := conn.reader.ReadByte(); err != io.EOF {
					t.Errorf("the replica read a byte, or got error %v", err)
				}
				return
			}
			request := conn.nextRequest(t)
			if left, _ := strconv.Atoi(request.req.Header.Get("X-Wait-Ms")); left > c.maxLeft {
				t.Errorf("the replica received a deadline of %d ms, want at most %d", left, c.maxLeft)
			}
			conn.respond(t, request, "200 OK", "", "two")
			want(t, "response", client.readResponse(t, "GET").status, c.status)
		})
	}
}

// TestConnectionThatExpiredBeforeSendIsNotUsed stops the machine after an idle connection was taken and before the router permits the
// request to be sent.
func TestConnectionThatExpiredBeforeSendIsNotUsed(t *testing.T) {
	for name, route := range map[string]*config.Route{"once": onceRoute, "idempotent": idempotentRoute} {
		t.Run(name, func(t *testing.T) {
			manual := newManualReplica(t)
			stub := &disconnectBeforeSend{stubRouter: newStubRouter(rejectDecision, manual.place(route))}
			settings := proxy.Defaults()
			settings.IdleTimeoutNonRetryable, settings.IdleTimeout = 300*time.Millisecond, 300*time.Millisecond
			_, addr := startWithListener(t, stub, settings, config.Limits{})
			client := dial(t, addr)
			client.sendRequest(t, "GET", "id1", "", "")
			conn := manual.accept(t)
			conn.respond(t, conn.nextRequest(t), "200 OK", "", "one")
			want(t, "first", client.readResponse(t, "GET").body, "one")
			stub.disconnect = func() { freeze(400 * time.Millisecond) }
			client.sendRequest(t, "GET", "id2", "", "")
			next := manual.accept(t)
			next.respond(t, next.nextRequest(t), "200 OK", "", "two")
			want(t, "second", client.readResponse(t, "GET").body, "two")
		})
	}
}

// TestRequestIsSentOnceIfFrozenPastDeadline makes the replica respond while the machine is stopped until after the deadline. The client
// receives a 504, and the request is not sent again, whether it is idempotent or not.
func TestRequestIsSentOnceIfFrozenPastDeadline(t *testing.T) {
	for name, route := range map[string]*config.Route{"once": onceRoute, "idempotent": idempotentRoute} {
		t.Run(name, func(t *testing.T) {
			manual := newManualReplica(t)
			p, addr := startDefault(t, newStubRouter(rejectDecision, manual.place(route), manual.place(route)))
			client := dial(t, addr)
			client.sendRequest(t, "GET", "id1", "X-Wait-Ms: 500\r\n", "")
			conn := manual.accept(t)
			request := conn.nextRequest(t)
			freeze(time.Second)
			text, _ := respondWith("200 OK", "", "late")(request)
			_, _ = conn.Write([]byte(text))
			want(t, "status", client.readResponse(t, "GET").status, 504)
			waitIdle(t, p)
			want(t, "dialled", p.Counters.Dials.Load(), 1)
		})
	}
}
