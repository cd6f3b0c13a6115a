package ferry

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// CappedError says that this node keeps as many connections to the replica as it may, all in use.
type CappedError struct {
	Addr  string
	Conns int
}

func (e *CappedError) Error() (text string) {
	return fmt.Sprintf("%s: all %d connections are in use", e.Addr, e.Conns)
}

type DialError struct {
	Addr  string
	Cause error
}

func (e *DialError) Error() (text string) { return "dial " + e.Addr + ": " + e.Cause.Error() }

func (e *DialError) Unwrap() (err error) { return e.Cause }

type key struct{ addr, instance string }

type shelf struct {
	idle []*conn
	open int
}

type shelves map[key]*shelf

// Pool keeps connections to replicas. Whoever holds the shelves owns them.
type Pool struct {
	set    Settings
	n      *Counters
	owner  chan shelves
	dialer net.Dialer
	sweeps bool
}

func NewPool(set Settings, n *Counters) (p *Pool) {
	p = &Pool{set: set, n: n, owner: make(chan shelves, 1)}
	p.dialer = net.Dialer{Timeout: set.Dial, KeepAlive: -1, Control: p.control}
	p.owner <- shelves{}
	return p
}

func (p *Pool) control(_, _ string, raw syscall.RawConn) (err error) {
	ctlErr := raw.Control(func(fd uintptr) {
		if p.set.UserTimeout > 0 {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.set.UserTimeout.Milliseconds()))
		}
	})
	if err == nil {
		err = ctlErr
	}
	return err
}

// Take gives a kept connection that is still good, or a new one. One that last carried the same attempt is not taken:
// a surplus copy of the answer to it could not be told from the answer.
func (p *Pool) take(ctx context.Context, k key, conns int, attempt string) (c *conn, err error) {
	for {
		c, err = p.kept(k, conns, time.Now())
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if (attempt == "" || c.attempt != attempt) && c.fresh() {
			p.n.Reused.Add(1)
			return c, nil
		}
		p.n.Stale.Add(1)
		p.drop(c)
	}
	p.n.Dials.Add(1)
	nc, err := p.dialer.DialContext(ctx, "tcp", k.addr)
	if err != nil {
		p.n.DialFails.Add(1)
		p.leave(k)
		return nil, trace.Wrap(&DialError{Addr: k.addr, Cause: err})
	}
	c, err = newConn(nc, k)
	if err != nil {
		_ = nc.Close()
		p.leave(k)
		return nil, trace.Wrap(&DialError{Addr: k.addr, Cause: err})
	}
	return c, nil
}

// kept gives nothing when a new connection may be opened, which then is counted already.
func (p *Pool) kept(k key, conns int, now time.Time) (c *conn, err error) {
	all := <-p.owner
	defer func() { p.owner <- all }()
	s := all[k]
	if s == nil {
		s = &shelf{}
		all[k] = s
	}
	if n := len(s.idle); n > 0 {
		c, s.idle = s.idle[n-1], s.idle[:n-1]
		return c, nil
	}
	if conns > 0 && s.open >= conns {
		p.n.Capped.Add(1)
		return nil, trace.Wrap(&CappedError{Addr: k.addr, Conns: conns})
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
	_ = c.nc.Close()
	p.leave(c.key)
}

func (p *Pool) park(c *conn) {
	if !time.Now().Before(c.until) {
		p.drop(c)
		return
	}
	all := <-p.owner
	s := all[c.key]
	s.idle = append(s.idle, c)
	p.plan()
	p.owner <- all
}

const sweepEvery = time.Second

// plan must be called by the owner of the shelves.
func (p *Pool) plan() {
	if !p.sweeps {
		p.sweeps = true
		time.AfterFunc(sweepEvery, p.sweep)
	}
}

func (p *Pool) sweep() {
	now := time.Now()
	all := <-p.owner
	p.sweeps = false
	for k, s := range all {
		kept := s.idle[:0]
		for _, c := range s.idle {
			if now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			_ = c.nc.Close()
			s.open--
		}
		clear(s.idle[len(kept):])
		s.idle = kept
		if s.open <= 0 {
			delete(all, k)
		}
		if len(kept) > 0 {
			p.plan()
		}
	}
	p.owner <- all
}
