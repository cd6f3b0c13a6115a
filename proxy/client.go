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

// What a client's connection is doing. Only an idle one may be shut, and only before a byte of the next request was read.
const (
	stateNew int32 = iota
	stateIdle
	stateActive
	stateClosing
	stateClosed
)

// client is the connection of a client: writes fail once nothing moves for the stall time, however long they take as a whole.
type client struct {
	*net.TCPConn
	proxy *Proxy
	// keepAlive is the value of Keep-Alive that fits how long the connection may be idle, if any.
	keepAlive []string
	state     atomic.Int32
	// limits are those that the connection was accepted under.
	limits config.Limits
	// readDeadline is the deadline for reads that net/http asked for, since boot; 0: none.
	readDeadline atomic.Int64
	ended        atomic.Bool
	// firstByteAt is when the request's first bytes reached this machine, until its handler has asked.
	firstByteAt time.Time
	inspect     func(fd uintptr)
	// sinceLastBytes is for how long the newest bytes have lain in the socket.
	sinceLastBytes time.Duration
	// writeDeadline is the deadline in force for writes, finalDeadline one that holds even while bytes move.
	writeDeadline, finalDeadline time.Time
}

var longAgo = time.Unix(1, 0)

func (c *client) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.state.Load() != stateActive {
		c.firstByteAt = time.Now().Add(-c.age())
		c.activate()
	}
	return n, err
}

// activate notes that a byte of a request was read: from now on the request is served, also when the connection was just being shut.
func (c *client) activate() {
	for {
		switch c.state.Load() {
		case stateActive:
			return
		case stateNew:
			c.begin(stateNew)
		case stateIdle:
			c.begin(stateIdle)
		case stateClosing:
			runtime.Gosched()
		case stateClosed:
			c.begin(stateClosed)
			_ = c.TCPConn.SetReadDeadline(c.intended())
		}
	}
}

func (c *client) begin(from int32) {
	if c.state.CompareAndSwap(from, stateActive) {
		c.proxy.active.Add(1)
	}
}

func (c *client) deactivate() {
	if c.state.CompareAndSwap(stateActive, stateIdle) {
		c.proxy.active.Add(-1)
	}
}

var boot = time.Now()

func (c *client) intended() time.Time {
	var t time.Time
	if at := c.readDeadline.Load(); at != 0 {
		t = boot.Add(time.Duration(at))
	}
	return t
}

func (c *client) SetReadDeadline(t time.Time) error {
	at := int64(0)
	if !t.IsZero() {
		at = int64(t.Sub(boot))
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

// closeIdle ends the wait for the next request. Bytes that come at the same moment stay unread, so the client learns that it may send again.
func (c *client) closeIdle() {
	if c.state.CompareAndSwap(stateIdle, stateClosing) {
		_ = c.TCPConn.SetReadDeadline(longAgo)
		c.state.Store(stateClosed)
	}
}

func (c *client) SetWriteDeadline(t time.Time) error {
	c.finalDeadline, c.writeDeadline = t, time.Time{}
	return nil
}

// renewal saves most settings of a deadline: one that is only a tenth nearer than a new one stays.
const renewal = 10

// quietWindows is for how many stall times in a row nothing may move before a write fails.
const quietWindows = 2

func (c *client) Write(b []byte) (int, error) {
	var n int
	for quiet, reserved := 0, 0; ; {
		now := time.Now()
		if c.writeDeadline.Sub(now) < c.proxy.settings.StallTimeout-c.proxy.settings.StallTimeout/renewal {
			c.writeDeadline = now.Add(c.proxy.settings.StallTimeout)
			if !c.finalDeadline.IsZero() && c.finalDeadline.Before(c.writeDeadline) {
				c.writeDeadline = c.finalDeadline
			}
			_ = c.TCPConn.SetWriteDeadline(c.writeDeadline)
		}
		m, err := c.TCPConn.Write(b[n:])
		n += m
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || (!c.finalDeadline.IsZero() && !time.Now().Before(c.finalDeadline)) {
			return n, err
		}
		was := reserved
		if reserved = c.unsent(); m > 0 || reserved < was {
			quiet = 0
		} else if quiet++; quiet == quietWindows {
			return n, err
		}
	}
}

// unsent is how much the kernel still holds for the client; 0 where it does not tell.
func (c *client) unsent() int {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return 0
	}
	var n int
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n
}

func (c *client) Close() error {
	if c.ended.CompareAndSwap(false, true) {
		if c.state.Swap(stateClosed) == stateActive {
			c.proxy.active.Add(-1)
		}
		all := <-c.proxy.clients
		delete(all, c)
		c.proxy.clients <- all
	}
	return c.TCPConn.Close()
}

// accept takes a client's connection in, under the limits in force.
func (p *Proxy) accept(nc net.Conn, keep []string, limits config.Limits) net.Conn {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc
	}
	accepted := &client{TCPConn: tcp, proxy: p, keepAlive: keep, limits: limits}
	all := <-p.clients
	all[accepted] = struct{}{}
	p.clients <- all
	return accepted
}

type clientKey struct{}

func withClient(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, nc)
}

// clientOf gives nothing where requests did not come by Serve.
func clientOf(r *http.Request) *client {
	c, _ := r.Context().Value(clientKey{}).(*client)
	return c
}

func connState(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*client); ok && s == http.StateIdle {
		c.deactivate()
	}
}

// RequestsInFlight is how many requests are being read, served or written.
func (p *Proxy) RequestsInFlight() int { return int(max(p.running.Load(), p.active.Load())) }
