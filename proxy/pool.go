package proxy

import (
	"context"
	"fmt"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// ConnectionLimitError says that this node keeps as many connections to the replica as it may, all in use.
type ConnectionLimitError struct {
	Addr  string
	Limit int
}

func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("%s: all %d connections are in use", e.Addr, e.Limit)
}

// DialError says that no connection to a replica could be opened.
type DialError struct {
	Addr  string
	Cause error
}

func (e *DialError) Error() string { return "dial " + e.Addr + ": " + e.Cause.Error() }

func (e *DialError) Unwrap() error { return e.Cause }

type key struct{ addr, instance string }

type addressConns struct {
	idle []*conn
	open int
}

type poolState map[key]*addressConns

// Pool keeps connections to replicas. Whoever has received the state from owner owns it, and sends it back.
type Pool struct {
	settings Settings
	counters *Counters
	owner    chan poolState
	dialer   net.Dialer
	expiring bool
}

// NewPool makes an empty pool that counts in n.
func NewPool(set Settings, n *Counters) *Pool {
	p := &Pool{settings: set, counters: n, owner: make(chan poolState, 1)}
	p.dialer = net.Dialer{Timeout: set.DialTimeout, KeepAlive: -1, Control: p.control}
	p.owner <- poolState{}
	return p
}

func (p *Pool) control(_, _ string, raw syscall.RawConn) error {
	var err error
	ctlErr := raw.Control(func(fd uintptr) {
		if p.settings.UserTimeout > 0 {
			err = setUserTimeout(fd, p.settings.UserTimeout)
		}
	})
	if err == nil {
		err = ctlErr
	}
	return err
}

// connRequest is what a request asks of a connection.
type connRequest struct {
	key     key
	conns   int
	attempt string
	// repeatable tells that the request may be repeated; where not, whoever writes it looks at the connection then.
	repeatable bool
	// newOnly tells that only a new connection will do.
	newOnly bool
}

// take gives a kept connection that is still good, or a new one. One that last carried the same attempt is not taken:
// a surplus copy of the answer to it could not be told from the answer.
func (p *Pool) take(ctx context.Context, w connRequest) (*conn, error) {
	var err error
	var c *conn
	for {
		c, err = p.kept(w, time.Now())
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, w.key)
		}
		if (w.attempt == "" || c.attempt != w.attempt) && time.Now().Before(c.usableUntil) && (!w.repeatable || c.alive()) {
			p.counters.Reused.Add(1)
			return c, nil
		}
		p.counters.Stale.Add(1)
		p.drop(c)
	}
}

// dial opens a connection that is counted already.
func (p *Pool) dial(ctx context.Context, k key) (*conn, error) {
	p.counters.Dials.Add(1)
	nc, err := p.dialer.DialContext(ctx, "tcp", k.addr)
	if err != nil {
		p.counters.DialFails.Add(1)
		p.leave(k)
		return nil, trace.Wrap(&DialError{Addr: k.addr, Cause: err})
	}
	c, err := newConn(nc, k, p.settings.UserTimeout)
	if err != nil {
		_ = nc.Close()
		p.leave(k)
		return nil, trace.Wrap(&DialError{Addr: k.addr, Cause: err})
	}
	return c, nil
}

// renew opens a connection in the place of one that is closed.
func (p *Pool) renew(ctx context.Context, old *conn) (*conn, error) {
	_ = old.net.Close()
	p.counters.Stale.Add(1)
	return p.dial(ctx, old.key)
}

// kept gives nothing when a new connection may be opened, which then is counted already.
func (p *Pool) kept(w connRequest, now time.Time) (*conn, error) {
	all := <-p.owner
	defer func() { p.owner <- all }()
	s := all[w.key]
	if s == nil {
		s = &addressConns{}
		all[w.key] = s
	}
	n := len(s.idle)
	var c *conn
	if n > 0 && !w.newOnly && (w.repeatable || now.Before(s.idle[n-1].safeUntil)) {
		c, s.idle[n-1] = s.idle[n-1], nil
		s.idle = s.idle[:n-1]
		return c, nil
	}
	if w.conns > 0 && s.open >= w.conns {
		if n == 0 {
			p.counters.Capped.Add(1)
			return nil, trace.Wrap(&ConnectionLimitError{Addr: w.key.addr, Limit: w.conns})
		}
		_ = s.idle[0].net.Close()
		s.idle = slices.Delete(s.idle, 0, 1)
		return nil, nil
	}
	s.open++
	return nil, nil
}

func (p *Pool) leave(k key) {
	all := <-p.owner
	if s := all[k]; s != nil {
		if s.open--; s.open <= 0 {
			delete(all, k)
		}
	}
	p.owner <- all
}

func (p *Pool) drop(c *conn) {
	_ = c.net.Close()
	p.leave(c.key)
}

func (p *Pool) park(c *conn) {
	if !time.Now().Before(c.usableUntil) {
		p.drop(c)
		return
	}
	all := <-p.owner
	s := all[c.key]
	s.idle = append(s.idle, c)
	p.plan()
	p.owner <- all
}
