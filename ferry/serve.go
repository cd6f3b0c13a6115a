package ferry

import (
	"cmp"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/charter"
)

// feed is a listener that is handed its connections.
type feed struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
}

func (f *feed) Accept() (c net.Conn, err error) {
	select {
	case c = <-f.conns:
		return c, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

func (f *feed) Close() (err error) { return nil }

func (f *feed) Addr() (a net.Addr) { return f.addr }

func server(h http.Handler, l charter.Limits) (s *http.Server) {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: cmp.Or(l.Header, ownHeader), IdleTimeout: cmp.Or(l.Idle, ownIdle), MaxHeaderBytes: l.HeaderBytes,
		DisableGeneralOptionsHandler: true, ErrorLog: log.New(io.Discard, "", 0),
	}
}

const (
	acceptPause = 5 * time.Millisecond
	ownHeader   = 10 * time.Second
	ownIdle     = time.Minute
)

// Serve takes user agents' connections until the tomb dies; each connection keeps the limits of the time it came.
func Serve(t *tomb.Tomb, lis net.Listener, h http.Handler, limits func() charter.Limits) {
	t.Go(func() error {
		<-t.Dying()
		_ = lis.Close()
		return nil
	})
	t.Go(func() error {
		accept(t, lis, h, limits)
		return nil
	})
}

func accept(t *tomb.Tomb, lis net.Listener, h http.Handler, limits func() charter.Limits) {
	var now charter.Limits
	var in *feed
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
			now, in = l, &feed{addr: lis.Addr(), conns: make(chan net.Conn), done: done}
			s, f := server(h, l), in
			t.Go(func() error {
				_ = s.Serve(f)
				_ = s.Close()
				return nil
			})
		}
		in.conns <- c
	}
}
