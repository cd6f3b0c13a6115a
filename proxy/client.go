package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mallowbridge/mallowbridge/config"
)

// States of a client's connection. Only an idle one may be closed, and only before a byte of the next request has been read.
const (
	// stateNew lasts until the first byte of the first request has been read.
	stateNew int32 = iota
	// stateIdle lasts from the end of a response until the first byte of the next request has been read.
	stateIdle
	stateActive
	// stateClosing lasts while closeIdle sets the read deadline; activate waits for it to end.
	stateClosing
	stateClosed
)

// client is a connection from a client. A write fails once the client has accepted no bytes for maxStalledWindows stall timeouts in a row,
// however long the write as a whole takes.
type client struct {
	*net.TCPConn
	proxy *Proxy
	// keepAlive is the value of the Keep-Alive header that matches the idle timeout of the connection, or nil.
	keepAlive []string
	state     atomic.Int32
	// limits are the limits that were in force when the connection was accepted.
	limits config.Limits
	// readDeadline is the read deadline that net/http requested, in nanoseconds since processStart; 0 means none.
	readDeadline atomic.Int64
	// unregistered is set once Close has removed the connection from the proxy's clients.
	unregistered atomic.Bool
	// firstByteAt is when the first bytes of the current request reached this machine, until takeArrivalTime clears it.
	firstByteAt time.Time
	readTCPInfo func(fd uintptr)
	// sinceLastBytes is the result of readTCPInfo: how long ago the kernel received the newest bytes.
	sinceLastBytes time.Duration
	// writeDeadline is the write deadline that is set on the socket. finalDeadline is when writes fail even if the client still accepts
	// bytes.
	writeDeadline, finalDeadline time.Time
}

// longAgo is a read deadline that makes a pending read fail at once.
var longAgo = time.Unix(1, 0)

func (c *client) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.state.Load() != stateActive {
		c.firstByteAt = time.Now().Add(-c.timeSinceReceive())
		c.activate()
	}
	return n, err
}

// activate marks the connection as in use once the first byte of a request has been read. From then on the request is served, even if
// closeIdle closes the connection at the same moment.
func (c *client) activate() {
	for {
		switch c.state.Load() {
		case stateActive:
			return
		case stateNew:
			c.activateFrom(stateNew)
		case stateIdle:
			c.activateFrom(stateIdle)
		case stateClosing:
			runtime.Gosched()
		case stateClosed:
			c.activateFrom(stateClosed)
			_ = c.TCPConn.SetReadDeadline(c.requestedReadDeadline())
		}
	}
}

// activateFrom makes the connection active if it is in state from, and counts it.
func (c *client) activateFrom(from int32) {
	if c.state.CompareAndSwap(from, stateActive) {
		c.proxy.activeClients.Add(1)
	}
}

func (c *client) deactivate() {
	if c.state.CompareAndSwap(stateActive, stateIdle) {
		c.proxy.activeClients.Add(-1)
	}
}

// processStart is the reference point of deadlines that are stored as a duration.
var processStart = time.Now()

// requestedReadDeadline returns the read deadline that net/http requested last, or the zero time.
func (c *client) requestedReadDeadline() time.Time {
	var t time.Time
	if at := c.readDeadline.Load(); at != 0 {
		t = processStart.Add(time.Duration(at))
	}
	return t
}

func (c *client) SetReadDeadline(t time.Time) error {
	at := int64(0)
	if !t.IsZero() {
		at = int64(t.Sub(processStart))
	}
	c.readDeadline.Store(at)
	err := c.TCPConn.SetReadDeadline(t)
	if s := c.state.Load(); s == stateClosing || s == stateClosed {
		err = c.TCPConn.SetReadDeadline(longAgo)
	}
	if c.proxy.closing.Load() {
		c.closeIdle()
	}
	return err
}

// closeIdle makes the read that waits for the next request fail. Bytes that arrive at the same moment stay unread in the socket, so closing
// it resets the connection and the client learns that it may send the request again.
func (c *client) closeIdle() {
	if c.state.CompareAndSwap(stateIdle, stateClosing) {
		_ = c.TCPConn.SetReadDeadline(longAgo)
		c.state.Store(stateClosed)
	}
}

// SetWriteDeadline sets the final deadline for writes; the stall timeout applies in addition.
func (c *client) SetWriteDeadline(t time.Time) error {
	c.finalDeadline, c.writeDeadline = t, time.Time{}
	return nil
}

// deadlineRenewalFraction is the part of the stall timeout (a tenth) by which a write deadline may be earlier than a new one would be and is
// still kept. Most writes therefore don't set the deadline of the socket.
const deadlineRenewalFraction = 10

// maxStalledWindows is how many stall timeouts in a row must pass without progress before a write fails.
const maxStalledWindows = 2

func (c *client) Write(b []byte) (int, error) {
	var n int
	for stalledWindows, unsent := 0, 0; ; {
		now := time.Now()
		if c.writeDeadline.Sub(now) < c.proxy.settings.StallTimeout-c.proxy.settings.StallTimeout/deadlineRenewalFraction {
			c.writeDeadline = now.Add(c.proxy.settings.StallTimeout)
			if !c.finalDeadline.IsZero() && c.finalDeadline.Before(c.writeDeadline) {
				c.writeDeadline = c.finalDeadline
			}
			_ = c.TCPConn.SetWriteDeadline(c.writeDeadline)
		}
		written, err := c.TCPConn.Write(b[n:])
		n += written
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || (!c.finalDeadline.IsZero() && !time.Now().Before(c.finalDeadline)) {
			return n, err
		}
		unsentBefore := unsent
		if unsent = c.unsentBytes(); written > 0 || unsent < unsentBefore {
			stalledWindows = 0
		} else if stalledWindows++; stalledWindows == maxStalledWindows {
			return n, err
		}
	}
}

// unsentBytes returns how many bytes for the client are still in the kernel's send buffer, or 0 if the kernel does not report it.
func (c *client) unsentBytes() int {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return 0
	}
	var n int
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n
}

func (c *client) Close() error {
	if c.unregistered.CompareAndSwap(false, true) {
		if c.state.Swap(stateClosed) == stateActive {
			c.proxy.activeClients.Add(-1)
		}
		clients := <-c.proxy.clients
		delete(clients, c)
		c.proxy.clients <- clients
	}
	return c.TCPConn.Close()
}

// accept registers a client's connection under the limits in force.
func (p *Proxy) accept(conn net.Conn, keepAlive []string, limits config.Limits) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	accepted := &client{TCPConn: tcp, proxy: p, keepAlive: keepAlive, limits: limits}
	clients := <-p.clients
	clients[accepted] = struct{}{}
	p.clients <- clients
	return accepted
}

type clientKey struct{}

func contextWithClient(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, nc)
}

// clientFromContext returns the connection of a request, or nil if the request was not received through Serve.
func clientFromContext(r *http.Request) *client {
	c, _ := r.Context().Value(clientKey{}).(*client)
	return c
}

// connState is the net/http hook that marks a connection as idle between requests.
func connState(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*client); ok && s == http.StateIdle {
		c.deactivate()
	}
}

// RequestsInFlight returns how many requests are being read, served or answered.
func (p *Proxy) RequestsInFlight() int {
	return int(max(p.handlersRunning.Load(), p.activeClients.Load()))
}
