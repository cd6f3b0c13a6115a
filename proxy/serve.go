package proxy

import (
	"cmp"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/config"
)

// connListener is a net.Listener that returns connections accepted elsewhere.
type connListener struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	// replaced is closed when the limits have changed and another listener receives the connections from now on.
	replaced chan struct{}
}

func (l *connListener) Accept() (net.Conn, error) {
	var c net.Conn
	select {
	case c = <-l.conns:
		return c, nil
	case <-l.done:
	case <-l.replaced:
	}
	return nil, net.ErrClosed
}

func (*connListener) Close() error { return nil }

func (l *connListener) Addr() net.Addr { return l.addr }

func newServer(p *Proxy, l config.Limits) *http.Server {
	return &http.Server{
		Handler: p, ReadHeaderTimeout: cmp.Or(l.Header, defaultHeaderTimeout), IdleTimeout: cmp.Or(l.Idle, defaultIdleTimeout), MaxHeaderBytes: l.HeaderBytes,
		DisableGeneralOptionsHandler: true, ErrorLog: log.New(io.Discard, "", 0), ConnContext: contextWithClient, ConnState: connState,
	}
}

const (
	// acceptPause is the pause after a failed Accept, which may fail again at once, for example without free file descriptors.
	acceptPause = 5 * time.Millisecond
	// defaultHeaderTimeout and defaultIdleTimeout apply if the configuration sets no such limit.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
	// keepAliveMargin is how much earlier than the idle timeout a client should stop using a connection, for requests that are on their way
	// when the timeout ends.
	keepAliveMargin = 500 * time.Millisecond
)

// keepAliveHeader returns the Keep-Alive header for connections that may be idle for d, in whole seconds, or nil if less than one second is
// left after the margin.
func keepAliveHeader(d time.Duration) []string {
	var value []string
	if secs := (d - keepAliveMargin) / time.Second; secs > 0 {
		value = []string{"timeout=" + strconv.Itoa(int(secs))}
	}
	return value
}

// Serve accepts connections from clients until the tomb dies. A connection keeps the limits that were in force when it was accepted, except
// the limit of body bytes, which is read for each request; see LimitsChanged.
func Serve(t *tomb.Tomb, listener net.Listener, p *Proxy, limits func() config.Limits) {
	t.Go(func() error {
		<-t.Dying()
		_ = listener.Close()
		return nil
	})
	t.Go(func() error {
		acceptConnections(t, listener, p, limits)
		return nil
	})
}

// acceptConnections passes each connection to an HTTP server with the current limits. When the limits change, it starts another server; the
// old one continues to serve its connections.
func acceptConnections(t *tomb.Tomb, listener net.Listener, p *Proxy, limits func() config.Limits) {
	var current config.Limits
	var handoff *connListener
	var keepAlive []string
	done := make(chan struct{})
	defer close(done)
	for {
		c, err := listener.Accept()
		if err != nil && !t.Alive() {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		if l := limits(); handoff == nil || l != current {
			if handoff != nil {
				close(handoff.replaced)
			}
			current, handoff = l, &connListener{addr: listener.Addr(), conns: make(chan net.Conn), done: done, replaced: make(chan struct{})}
			server, conns := newServer(p, l), handoff
			keepAlive = keepAliveHeader(server.IdleTimeout)
			t.Go(func() error {
				_ = server.Serve(conns)
				<-done
				_ = server.Close()
				return nil
			})
		}
		handoff.conns <- p.accept(c, keepAlive, current)
	}
}
