package transport

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/gravitational/trace"
)

// accept accepts connections until the tomb is killed. Connections beyond maxInbound are closed at once.
func (e *Endpoint) accept() error {
	slots := make(chan struct{}, maxInbound)
	for {
		conn, err := e.lis.Accept()
		if err != nil {
			if !e.t.Alive() {
				return nil
			}
			time.Sleep(redialDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		e.t.Go(func() error {
			defer func() { <-slots }()
			e.serve(conn)
			return nil
		})
	}
}

// serve receives the messages of one connection, or passes the connection of a follower to the follower handler.
func (e *Endpoint) serve(conn net.Conn) {
	defer conn.Close()
	closed := make(chan struct{})
	defer close(closed)
	go func() {
		select {
		case <-e.t.Dying():
			_ = conn.Close()
		case <-closed:
		}
	}()
	r := NewReader(conn)
	theirs, err := Handshake(conn, NewWriter(), r, e.self)
	if err != nil {
		e.connectionFailed(conn, err)
		return
	}
	if theirs.Role == "follower" {
		e.onFollower(conn, theirs, r)
		return
	}
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		msg, err := r.Next()
		if err != nil {
			e.connectionFailed(conn, err)
			return
		}
		select {
		case e.Received <- Inbound{From: theirs, Msg: msg}:
		case <-e.t.Dying():
			return
		}
	}
}

// connectionFailed counts and reports a protocol error. Connections that the peer closed and network errors are normal and not reported.
func (e *Endpoint) connectionFailed(conn net.Conn, err error) {
	var ne net.Error
	if trace.Unwrap(err) == io.EOF || errors.Is(err, net.ErrClosed) || errors.As(err, &ne) || !e.t.Alive() {
		return
	}
	e.protocolError(conn.RemoteAddr().String(), err)
}
