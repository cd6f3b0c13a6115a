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

// manualReplica is a replica whose connections and responses the test controls step by step.
type manualReplica struct{ listener *net.TCPListener }

// replicaConn is the replica's end of a connection from the proxy.
type replicaConn struct {
	*net.TCPConn
	reader *bufio.Reader
}

func newManualReplica(t testing.TB) *manualReplica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return &manualReplica{listener: listener.(*net.TCPListener)}
}

func (manual *manualReplica) place(route *config.Route) router.Decision {
	return router.Decision{Addr: manual.listener.Addr().String(), Replica: "r", Instance: "i1", Route: route}
}

// acceptEach serves each connection in its own goroutine, which closes the connection at the end.
func (manual *manualReplica) acceptEach(serve func(c *net.TCPConn)) {
	for {
		c, err := manual.listener.AcceptTCP()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			serve(c)
		}()
	}
}

func (manual *manualReplica) accept(t testing.TB) *replicaConn {
	t.Helper()
	_ = manual.listener.SetDeadline(time.Now().Add(testTimeout))
	c, err := manual.listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &replicaConn{TCPConn: c, reader: bufio.NewReader(c)}
}

func (conn *replicaConn) nextRequest(t testing.TB) receivedRequest {
	t.Helper()
	req, err := http.ReadRequest(conn.reader)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		t.Fatal(err)
	}
	return receivedRequest{req: req, body: string(body)}
}

func (conn *replicaConn) write(t testing.TB, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// respond sends the response that the script respondWith would send.
func (conn *replicaConn) respond(t testing.TB, request receivedRequest, status, extra, body string) {
	t.Helper()
	text, _ := respondWith(status, extra, body)(request)
	conn.write(t, text)
}

func (conn *replicaConn) reset() {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// waitForClose waits until the proxy ends the connection.
func (conn *replicaConn) waitForClose(t testing.TB) {
	t.Helper()
	_, err := io.Copy(io.Discard, conn.reader)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Fatal("the connection was not closed")
	}
}

// clientConn is a client's end of a connection to the proxy.
type clientConn struct {
	*net.TCPConn
	reader *bufio.Reader
}

func dial(t testing.TB, addr string) *clientConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &clientConn{TCPConn: c.(*net.TCPConn), reader: bufio.NewReader(c)}
}

func (client *clientConn) write(t testing.TB, text string) {
	t.Helper()
	if _, err := io.WriteString(client, text); err != nil {
		t.Fatal(err)
	}
}

func (client *clientConn) sendRequest(t testing.TB, method, id, extra, body string) {
	t.Helper()
	if body != "" {
		extra += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	client.write(t, method+" /a HTTP/1.1\r\nHost: h.example\r\nX-Attempt: "+id+"\r\n"+extra+"\r\n"+body)
}

func (client *clientConn) readResponse(t testing.TB, method string) receivedResponse {
	t.Helper()
	resp, err := http.ReadResponse(client.reader, &http.Request{Method: method})
	if err != nil {
		return receivedResponse{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	r := receivedResponse{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
	if resp.Close {
		r.header.Set("Connection", "close")
	}
	return r
}

// startWithListener starts a proxy that serves a listener through proxy.Serve, and returns its address.
func startWithListener(t testing.TB, decider proxy.Router, settings proxy.Settings, limits config.Limits) (*proxy.Proxy, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	currentLimits := func() config.Limits { return limits }
	p := proxy.New(decider, testHeaders, settings, currentLimits, "b")
	tb := &tomb.Tomb{}
	proxy.Serve(tb, listener, p, currentLimits)
	t.Cleanup(func() {
		tb.Kill(nil)
		_ = tb.Wait()
	})
	return p, listener.Addr().String()
}

func startDefault(t testing.TB, decider proxy.Router) (*proxy.Proxy, string) {
	t.Helper()
	return startWithListener(t, decider, proxy.Defaults(), config.Limits{})
}

func idRequest(id string) *http.Request {
	return &http.Request{Header: http.Header{"X-Attempt": {id}}}
}

// unacked returns how many bytes the peer's kernel has not acknowledged.
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
