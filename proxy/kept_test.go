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

// TestOldIdleConnectionsAreNotReused guards against replicas that silently drop idle connections and never respond to requests on them:
// requests that must not be sent twice reuse a connection only if it was idle for a short time.
func TestOldIdleConnectionsAreNotReused(t *testing.T) {
	for _, c := range []struct {
		name, keepAlive string
		idleTimeout     time.Duration
		route           *config.Route
		dials           int
	}{
		{"young", "", time.Hour, onceRoute, 1},
		{"old", "", time.Nanosecond, onceRoute, 2},
		{"old, with Keep-Alive", "Keep-Alive: timeout=100\r\n", time.Nanosecond, onceRoute, 1},
		{"Keep-Alive of 0 s", "Keep-Alive: timeout=0\r\n", time.Hour, onceRoute, 2},
		{"idempotent", "", time.Nanosecond, idempotentRoute, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			manual := newManualReplica(t)
			place := manual.place(c.route)
			place.MaxConns = 1
			settings := proxy.Defaults()
			settings.IdleTimeoutNonRetryable, settings.IdleTimeout = c.idleTimeout, time.Hour
			p, addr := startWithListener(t, newStubRouter(rejectDecision, place), settings, config.Limits{})
			client := dial(t, addr)
			client.sendRequest(t, "GET", "id1", "", "")
			conn := manual.accept(t)
			conn.respond(t, conn.nextRequest(t), "200 OK", c.keepAlive, "one")
			want(t, "first", client.readResponse(t, "GET").body, "one")
			client.sendRequest(t, "GET", "id2", "", "")
			if c.dials == 2 {
				conn.waitForClose(t)
				conn = manual.accept(t)
			}
			conn.respond(t, conn.nextRequest(t), "200 OK", "", "two")
			want(t, "second", client.readResponse(t, "GET").body, "two")
			want(t, "dials", p.Counters.Dials.Load(), c.dials)
		})
	}
}

func TestIdleConnectionsExpire(t *testing.T) {
	manual := newManualReplica(t)
	settings := proxy.Defaults()
	settings.IdleTimeout = 100 * time.Millisecond
	_, addr := startWithListener(t, newStubRouter(rejectDecision, manual.place(idempotentRoute)), settings, config.Limits{})
	client := dial(t, addr)
	client.sendRequest(t, "GET", "id1", "", "")
	conn := manual.accept(t)
	conn.respond(t, conn.nextRequest(t), "200 OK", "", "one")
	want(t, "first", client.readResponse(t, "GET").body, "one")
	conn.waitForClose(t)
}

// TestSurplusBytesReachNoOtherRequest checks that bytes that a replica sends after a complete response, at any time, are not taken as the
// response to another request.
func TestSurplusBytesReachNoOtherRequest(t *testing.T) {
	extra, _ := respondWith("200 OK", "", "extra")(receivedRequest{req: idRequest("id1")})
	for _, when := range []string{"at once", "while idle", "in place of the next"} {
		t.Run(when, func(t *testing.T) {
			manual := newManualReplica(t)
			stub := newStubRouter(unknownDecision, manual.place(onceRoute))
			p, addr := startDefault(t, stub)
			client := dial(t, addr)
			client.sendRequest(t, "GET", "id1", "", "")
			conn := manual.accept(t)
			text, _ := respondWith("200 OK", "", "one")(conn.nextRequest(t))
			if when == "at once" {
				text += extra
			}
			conn.write(t, text)
			want(t, "first", client.readResponse(t, "GET").body, "one")
			switch when {
			case "at once":
				conn.waitForClose(t)
			case "while idle":
				conn.write(t, extra)
			}
			client.sendRequest(t, "GET", "id2", "", "")
			if when == "while idle" {
				conn.waitForClose(t)
			}
			if when != "in place of the next" {
				conn = manual.accept(t)
			}
			request := conn.nextRequest(t)
			if when == "in place of the next" {
				conn.write(t, extra)
			}
			conn.respond(t, request, "200 OK", "", "two")
			want(t, "second", client.readResponse(t, "GET").body, "two")
			want(t, "surplus or stale", p.Counters.Surplus.Load()+p.Counters.Stale.Load(), 1)
		})
	}
}

// newDroppingReplica returns a replica that silently drops connections that were idle for a time: it neither closes them nor responds to
// requests on them.
func newDroppingReplica(t *testing.T, idle time.Duration) *manualReplica {
	manual := newManualReplica(t)
	go manual.acceptEach(func(c *net.TCPConn) {
		in, last := bufio.NewReader(c), time.Now()
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if time.Since(last) > idle {
				continue
			}
			text, _ := respondWith("200 OK", "", "hi")(receivedRequest{req: req})
			_, _ = io.WriteString(c, text)
			last = time.Now()
		}
	})
	return manual
}

// TestForgottenConnectionsAreNotUsedOnceOld waits 100 ms between requests to a replica that drops connections after 50 ms. With a limit on
// the idle time each request is answered. Without it every second request runs into its deadline; the ones between use a new connection.
func TestForgottenConnectionsAreNotUsedOnceOld(t *testing.T) {
	for idleTimeout, answered := range map[time.Duration]int{time.Hour: 3, 20 * time.Millisecond: 6} {
		settings := proxy.Defaults()
		settings.IdleTimeoutNonRetryable = idleTimeout
		p, addr := startWithListener(t, newStubRouter(rejectDecision, newDroppingReplica(t, 50*time.Millisecond).place(onceRoute)), settings, config.Limits{})
		client := dial(t, addr)
		pause := time.NewTicker(100 * time.Millisecond)
		defer pause.Stop()
		statuses := map[int]int{}
		for i := range 6 {
			client.sendRequest(t, "GET", fmt.Sprint("id", i), "X-Wait-Ms: 500\r\n", "")
			statuses[client.readResponse(t, "GET").status]++
			for drained := false; !drained; {
				select {
				case <-pause.C:
				default:
					drained = true
				}
			}
			<-pause.C
		}
		want(t, idleTimeout.String(), statuses[http.StatusOK], answered)
		want(t, "others", statuses[http.StatusGatewayTimeout], 6-answered)
		waitIdle(t, p)
	}
}
