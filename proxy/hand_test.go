package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
	"github.com/mallowbridge/mallowbridge/router"
)

const testTimeout = 20 * time.Second

// hand is a replica that the test moves by hand.
type hand struct{ lis *net.TCPListener }

type up struct {
	*net.TCPConn
	in *bufio.Reader
}

func newHand(t testing.TB) *hand {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	return &hand{lis: lis.(*net.TCPListener)}
}

func (h *hand) place(route *config.Route) router.Decision {
	return router.Decision{Addr: h.lis.Addr().String(), Replica: "r", Instance: "i1", Route: route}
}

// acceptEach serves each connection in a goroutine of its own, which closes it at its end.
func (h *hand) acceptEach(serve func(c *net.TCPConn)) {
	for {
		c, err := h.lis.AcceptTCP()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			serve(c)
		}()
	}
}

func (h *hand) accept(t testing.TB) *up {
	t.Helper()
	_ = h.lis.SetDeadline(time.Now().Add(testTimeout))
	c, err := h.lis.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &up{TCPConn: c, in: bufio.NewReader(c)}
}

func (u *up) request(t testing.TB) got {
	t.Helper()
	req, err := http.ReadRequest(u.in)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		t.Fatal(err)
	}
	return got{req: req, body: string(body)}
}

func (u *up) say(t testing.TB, text string) {
	t.Helper()
	if _, err := io.WriteString(u, text); err != nil {
		t.Fatal(err)
	}
}

// reply answers in the manner of script say.
func (u *up) reply(t testing.TB, g got, status, extra, body string) {
	t.Helper()
	text, _ := say(status, extra, body)(g)
	u.say(t, text)
}

func (u *up) reset() {
	_ = u.SetLinger(0)
	_ = u.Close()
}

// ended waits until the proxy ends the connection.
func (u *up) ended(t testing.TB) {
	t.Helper()
	_, err := io.Copy(io.Discard, u.in)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Fatal("the connection stays open")
	}
}

// user is a client's connection.
type user struct {
	*net.TCPConn
	in *bufio.Reader
}

func dial(t testing.TB, addr string) *user {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &user{TCPConn: c.(*net.TCPConn), in: bufio.NewReader(c)}
}

func (u *user) say(t testing.TB, text string) {
	t.Helper()
	if _, err := io.WriteString(u, text); err != nil {
		t.Fatal(err)
	}
}

func (u *user) ask(t testing.TB, method, id, extra, body string) {
	t.Helper()
	if body != "" {
		extra += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	u.say(t, method+" /a HTTP/1.1\r\nHost: h.example\r\nX-Attempt: "+id+"\r\n"+extra+"\r\n"+body)
}

func (u *user) answer(t testing.TB, method string) reply {
	t.Helper()
	resp, err := http.ReadResponse(u.in, &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
	if resp.Close {
		r.header.Set("Connection", "close")
	}
	return r
}

// front starts a proxy behind a listener of its own.
func front(t testing.TB, m proxy.Router, set proxy.Settings, l config.Limits) (*proxy.Proxy, string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := func() config.Limits { return l }
	p := proxy.New(m, names, set, limits, "b")
	tb := &tomb.Tomb{}
	proxy.Serve(tb, lis, p, limits)
	t.Cleanup(func() {
		tb.Kill(nil)
		_ = tb.Wait()
	})
	return p, lis.Addr().String()
}

func usual(t testing.TB, m proxy.Router) (*proxy.Proxy, string) {
	t.Helper()
	return front(t, m, proxy.Defaults(), config.Limits{})
}

func idRequest(id string) *http.Request {
	return &http.Request{Header: http.Header{"X-Attempt": {id}}}
}

// unacked is how many bytes the peer's kernel has not acknowledged.
func unacked(t testing.TB, c *net.TCPConn) int {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var n int
	if err = raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		t.Fatal(err)
	}
	return n
}
