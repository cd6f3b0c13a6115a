package transport

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/gravitational/trace"
)

func (n *Endpoint) accept() error {
	slots := make(chan struct{}, maxInbound)
	for {
		conn, err := n.lis.Accept()
		if err != nil {
			if !n.t.Alive() {
				return nil
			}
			time.Sleep(redialMin)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		n.t.Go(func() error {
			defer func() { <-slots }()
			n.serve(conn)
			return nil
		})
	}
}

func (n *Endpoint) serve(conn net.Conn) {
	defer conn.Close()
	closed := make(chan struct{})
	defer close(closed)
	go func() {
		select {
		case <-n.t.Dying():
			_ = conn.Close()
		case <-closed:
		}
	}()
	r := NewReader(conn)
	theirs, err := Handshake(conn, NewWriter(), r, n.self)
	if err != nil {
		n.ended(conn, err)
		return
	}
	if theirs.Role == "follower" {
		n.follow(conn, theirs, r)
		return
	}
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleLimit))
		msg, err := r.Next()
		if err != nil {
			n.ended(conn, err)
			return
		}
		select {
		case n.Received <- Inbound{From: theirs, Msg: msg}:
		case <-n.t.Dying():
			return
		}
	}
}

func (n *Endpoint) ended(conn net.Conn, err error) {
	var ne net.Error
	if trace.Unwrap(err) == io.EOF || errors.Is(err, net.ErrClosed) || errors.As(err, &ne) || !n.t.Alive() {
		return
	}
	n.fault(conn.RemoteAddr().String(), err)
}
