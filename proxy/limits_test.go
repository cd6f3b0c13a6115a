package proxy_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
)

// proxyWithLimits is a proxy whose limits can be changed.
type proxyWithLimits struct {
	*proxy.Proxy
	addr   string
	limits atomic.Pointer[config.Limits]
}

func startWithLimits(t *testing.T, decider proxy.Router, l config.Limits) *proxyWithLimits {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxyWithLimits{addr: listener.Addr().String()}
	p.limits.Store(&l)
	current := func() config.Limits { return *p.limits.Load() }
	p.Proxy = proxy.New(decider, testHeaders, proxy.Defaults(), current, "b")
	tb := &tomb.Tomb{}
	proxy.Serve(tb, listener, p.Proxy, current)
	t.Cleanup(func() {
		tb.Kill(nil)
		_ = tb.Wait()
	})
	return p
}

func (p *proxyWithLimits) changeLimits(limits config.Limits) {
	p.limits.Store(&limits)
	p.LimitsChanged()
}

var initialLimits = config.Limits{HeaderBytes: 16 << 10, BodyBytes: 1000, Header: 3 * time.Second, Idle: 15 * time.Second}

// longHeader is longer than initialLimits allow, including the extra bytes that net/http permits.
func longHeader() string { return "X-Long: " + strings.Repeat("x", 24<<10) + "\r\n" }

// TestReusedConnectionsFollowChangedLimits guards against wrong rejections: a connection accepted before a change rejected requests with
// 431 that the new limits allow. An idle connection is closed instead, and a new one serves the request.
func TestReusedConnectionsFollowChangedLimits(t *testing.T) {
	for name, change := range map[string]func(l *config.Limits){
		"header bytes": func(l *config.Limits) { l.HeaderBytes = 32 << 10 },
		"header time":  func(l *config.Limits) { l.Header = 9 * time.Second },
		"idle time":    func(l *config.Limits) { l.Idle = time.Minute },
	} {
		t.Run(name, func(t *testing.T) {
			replica := newReplica(t, respondWith("200 OK", "", "one"), respondWith("200 OK", "", "two"))
			p := startWithLimits(t, newStubRouter(rejectDecision, replica.place(idempotentRoute)), initialLimits)
			kept := dial(t, p.addr)
			kept.sendRequest(t, "GET", "id1", "", "")
			want(t, "first", kept.readResponse(t, "GET").body, "one")
			waitIdle(t, p.Proxy)
			later := initialLimits
			change(&later)
			p.changeLimits(later)
			if n, err := kept.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("read %d bytes from the idle connection, error %v, want EOF", n, err)
			}
			extra := ""
			if later.HeaderBytes > initialLimits.HeaderBytes {
				extra = longHeader()
			}
			fresh := dial(t, p.addr)
			fresh.sendRequest(t, "GET", "id2", extra, "")
			r := fresh.readResponse(t, "GET")
			want(t, "on a new connection", fmt.Sprint(r.status, " ", r.body), "200 two")
		})
	}
}

// TestConnectionInUseEndsWithItsResponseAfterLimitsChanged checks that the request in flight is answered and that its response closes the
// connection.
func TestConnectionInUseEndsWithItsResponseAfterLimitsChanged(t *testing.T) {
	manual := newManualReplica(t)
	p := startWithLimits(t, newStubRouter(rejectDecision, manual.place(idempotentRoute)), initialLimits)
	client := dial(t, p.addr)
	client.sendRequest(t, "GET", "id1", "", "")
	conn := manual.accept(t)
	request := conn.nextRequest(t)
	later := initialLimits
	later.HeaderBytes *= 2
	p.changeLimits(later)
	conn.respond(t, request, "200 OK", "", "one")
	a := client.readResponse(t, "GET")
	want(t, "response", fmt.Sprint(a.status, " ", a.body, a.header["Connection"]), "200 one[close]")
}

// TestChangedBodyLimitAppliesToReusedConnections checks that a change of the body limit doesn't close connections, because that limit is
// read for each request.
func TestChangedBodyLimitAppliesToReusedConnections(t *testing.T) {
	replica := newReplica(t, respondWith("200 OK", "", "one"), respondWith("200 OK", "", "two"))
	p := startWithLimits(t, newStubRouter(rejectDecision, replica.place(idempotentRoute)), initialLimits)
	client := dial(t, p.addr)
	client.sendRequest(t, "POST", "id1", "", "body")
	want(t, "first", client.readResponse(t, "POST").body, "one")
	later := initialLimits
	later.BodyBytes = 4000
	p.changeLimits(later)
	client.sendRequest(t, "POST", "id2", "", strings.Repeat("x", 3000))
	r := client.readResponse(t, "POST")
	want(t, "second", fmt.Sprint(r.status, " ", r.body, r.header["Connection"]), "200 two[]")
}
