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

// connListener is a listener that is handed its connections.
type connListener struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	// replaced tells that the limits changed and another listener is handed the connections from now on.
	replaced chan struct{}
}

func (f *connListener) Accept() (net.Conn, error) {
	var c net.Conn
	select {
	case c = <-f.conns:
		return c, nil
	case <-f.done:
	case <-f.replaced:
	}
	return nil, net.ErrClosed
}

func (*connListener) Close() error { return nil }

func (f *connListener) Addr() net.Addr { return f.addr }

func server(p *Proxy, l config.Limits) *http.Server {
	return &http.Server{
		Handler: p, ReadHeaderTimeout: cmp.Or(l.Header, defaultHeaderTimeout), IdleTimeout: cmp.Or(l.Idle, defaultIdleTimeout), MaxHeaderBytes: l.HeaderBytes,
		DisableGeneralOptionsHandler: true, ErrorLog: log.New(io.Discard, "", 0), ConnContext: withClient, ConnState: connState,
	}
}

const (
	acceptPause          = 5 * time.Millisecond
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
	// keepMargin is for a request that is on its way when its connection's idle time ends.
	keepMargin = 500 * time.Millisecond
)

// keepAlive gives the Keep-Alive value for connections that may be idle for d: whole seconds, or nothing where there are none.
func keepAlive(d time.Duration) []string {
	var value []string
	if secs := (d - keepMargin) / time.Second; secs > 0 {
		value = []string{"timeout=" + strconv.Itoa(int(secs))}
	}
	return value
}

// Serve takes clients' connections until the tomb dies. A connection keeps the limits of the time it came, but for that of bodies, which is read for
// each request; see LimitsChanged.
func Serve(t *tomb.Tomb, lis net.Listener, p *Proxy, limits func() config.Limits) {
	t.Go(func() error {
		<-t.Dying()
		_ = lis.Close()
		return nil
	})
	t.Go(func() error {
		accept(t, lis, p, limits)
		return nil
	})
}

func accept(t *tomb.Tomb, lis net.Listener, p *Proxy, limits func() config.Limits) {
	var now config.Limits
	var in *connListener
	var keep []string
	done := make(chan struct{})
	defer close(done)
	for {
		c, err := lis.Accept()
		if err != nil && !t.Alive() {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		if l := limits(); in == nil || l != now {
			if in != nil {
				close(in.replaced)
			}
			now, in = l, &connListener{addr: lis.Addr(), conns: make(chan net.Conn), done: done, replaced: make(chan struct{})}
			s, f := server(p, l), in
			keep = keepAlive(s.IdleTimeout)
			t.Go(func() error {
				_ = s.Serve(f)
				<-done
				_ = s.Close()
				return nil
			})
		}
		in.conns <- p.accept(c, keep, now)
	}
}
