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

// limited is a proxy whose limits change.
type limited struct {
	*proxy.Proxy
	addr   string
	limits atomic.Pointer[config.Limits]
}

func newLimited(t *testing.T, m proxy.Router, l config.Limits) *limited {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &limited{addr: lis.Addr().String()}
	p.limits.Store(&l)
	now := func() config.Limits { return *p.limits.Load() }
	p.Proxy = proxy.New(m, names, proxy.Defaults(), now, "b")
	tb := &tomb.Tomb{}
	proxy.Serve(tb, lis, p.Proxy, now)
	t.Cleanup(func() {
		tb.Kill(nil)
		_ = tb.Wait()
	})
	return p
}

func (p *limited) change(l config.Limits) {
	p.limits.Store(&l)
	p.LimitsChanged()
}

var usualLimits = config.Limits{HeaderBytes: 16 << 10, BodyBytes: 1000, Header: 3 * time.Second, Idle: 15 * time.Second}

// longHeader is more than usualLimits allow, with what net/http allows on top.
func longHeader() string { return "X-Long: " + strings.Repeat("x", 24<<10) + "\r\n" }

// TestKeptConnectionsFollowChangedLimits guards against DENIED: a connection from before a change refuses, with 431, what the new limits allow. An
// idle one is closed, and a new one takes the request.
func TestKeptConnectionsFollowChangedLimits(t *testing.T) {
	for name, change := range map[string]func(l *config.Limits){
		"header bytes": func(l *config.Limits) { l.HeaderBytes = 32 << 10 },
		"header time":  func(l *config.Limits) { l.Header = 9 * time.Second },
		"idle time":    func(l *config.Limits) { l.Idle = time.Minute },
	} {
		t.Run(name, func(t *testing.T) {
			replica := newReplica(t, say("200 OK", "", "one"), say("200 OK", "", "two"))
			p := newLimited(t, newStubRouter(deny, replica.place(safe)), usualLimits)
			kept := dial(t, p.addr)
			kept.ask(t, "GET", "id1", "", "")
			want(t, "first", kept.answer(t, "GET").body, "one")
			waitIdle(t, p.Proxy)
			later := usualLimits
			change(&later)
			p.change(later)
			if n, err := kept.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("the idle connection gives %d bytes, %v", n, err)
			}
			extra := ""
			if later.HeaderBytes > usualLimits.HeaderBytes {
				extra = longHeader()
			}
			fresh := dial(t, p.addr)
			fresh.ask(t, "GET", "id2", extra, "")
			r := fresh.answer(t, "GET")
			want(t, "on a new connection", fmt.Sprint(r.status, " ", r.body), "200 two")
		})
	}
}

// TestConnectionInUseEndsWithItsAnswerAfterLimitsChanged: the request that runs is answered, and the client told to come on a new connection.
func TestConnectionInUseEndsWithItsAnswerAfterLimitsChanged(t *testing.T) {
	h := newHand(t)
	p := newLimited(t, newStubRouter(deny, h.place(safe)), usualLimits)
	u := dial(t, p.addr)
	u.ask(t, "GET", "id1", "", "")
	r := h.accept(t)
	g := r.request(t)
	later := usualLimits
	later.HeaderBytes *= 2
	p.change(later)
	r.reply(t, g, "200 OK", "", "one")
	a := u.answer(t, "GET")
	want(t, "answer", fmt.Sprint(a.status, " ", a.body, a.header["Connection"]), "200 one[close]")
}

// TestBodyLimitHoldsOnKeptConnections: it is read for each request, so the connection stays.
func TestBodyLimitHoldsOnKeptConnections(t *testing.T) {
	replica := newReplica(t, say("200 OK", "", "one"), say("200 OK", "", "two"))
	p := newLimited(t, newStubRouter(deny, replica.place(safe)), usualLimits)
	u := dial(t, p.addr)
	u.ask(t, "POST", "id1", "", "body")
	want(t, "first", u.answer(t, "POST").body, "one")
	later := usualLimits
	later.BodyBytes = 4000
	p.change(later)
	u.ask(t, "POST", "id2", "", strings.Repeat("x", 3000))
	r := u.answer(t, "POST")
	want(t, "second", fmt.Sprint(r.status, " ", r.body, r.header["Connection"]), "200 two[]")
}
