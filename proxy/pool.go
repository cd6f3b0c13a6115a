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

// ConnectionLimitError reports that this node already has the maximum number of connections to the replica and that all are in use.
type ConnectionLimitError struct {
	Addr  string
	Limit int
}

func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("%s: all %d connections are in use", e.Addr, e.Limit)
}

// DialError reports that no connection to a replica could be opened.
type DialError struct {
	Addr  string
	Cause error
}

func (e *DialError) Error() string { return "dial " + e.Addr + ": " + e.Cause.Error() }

func (e *DialError) Unwrap() error { return e.Cause }

// poolKey identifies one incarnation of a replica: connections are never shared between instances at the same address.
type poolKey struct{ addr, instance string }

// replicaConns are the connections to one replica instance. The newest idle connection is the last element of idle; open counts idle
// connections and those in use.
type replicaConns struct {
	idle []*conn
	open int
}

type poolState map[poolKey]*replicaConns

// Pool keeps idle connections to replicas for reuse. Its state is passed through a channel of capacity 1: a goroutine that has received the
// state owns it exclusively until it sends it back.
type Pool struct {
	settings        Settings
	counters        *Counters
	state           chan poolState
	dialer          net.Dialer
	expiryScheduled bool
}

// NewPool returns an empty pool that records what it does in counters.
func NewPool(settings Settings, counters *Counters) *Pool {
	p := &Pool{settings: settings, counters: counters, state: make(chan poolState, 1)}
	p.dialer = net.Dialer{Timeout: settings.DialTimeout, KeepAlive: -1, Control: p.control}
	p.state <- poolState{}
	return p
}

// control sets TCP_USER_TIMEOUT on a new socket.
func (p *Pool) control(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		if p.settings.UserTimeout > 0 {
			err = setUserTimeout(fd, p.settings.UserTimeout)
		}
	})
	if err == nil {
		err = controlErr
	}
	return err
}

// connRequest describes the connection that a request needs.
type connRequest struct {
	replica poolKey
	// maxConns is the maximum number of connections to the replica; 0 means no limit.
	maxConns  int
	attemptID string
	// retryable is set if the request may be sent again. If not, get skips the check of whether the connection is still open, because the
	// transfer makes it right before it writes.
	retryable bool
	// newOnly excludes idle connections: only a newly opened one will do.
	newOnly bool
}

// get returns an idle connection that is still usable, or else a new one. An idle connection whose last request had the same attempt ID is
// closed instead: a duplicate response to that request could not be distinguished from the response to this one.
func (p *Pool) get(ctx context.Context, want connRequest) (*conn, error) {
	var err error
	var c *conn
	for {
		c, err = p.takeIdle(want, time.Now())
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, want.replica)
		}
		if (want.attemptID == "" || c.lastAttemptID != want.attemptID) && time.Now().Before(c.usableUntil) && (!want.retryable || c.alive()) {
			p.counters.Reused.Add(1)
			return c, nil
		}
		p.counters.Stale.Add(1)
		p.close(c)
	}
}

// dial opens a connection that is already counted as open.
func (p *Pool) dial(ctx context.Context, replica poolKey) (*conn, error) {
	p.counters.Dials.Add(1)
	nc, err := p.dialer.DialContext(ctx, "tcp", replica.addr)
	if err != nil {
		p.counters.DialFails.Add(1)
		p.uncount(replica)
		return nil, trace.Wrap(&DialError{Addr: replica.addr, Cause: err})
	}
	c, err := newConn(nc, replica, p.settings.UserTimeout)
	if err != nil {
		_ = nc.Close()
		p.uncount(replica)
		return nil, trace.Wrap(&DialError{Addr: replica.addr, Cause: err})
	}
	return c, nil
}

// replace closes a connection and opens a new one, which takes its place in the count of open connections.
func (p *Pool) replace(ctx context.Context, old *conn) (*conn, error) {
	_ = old.net.Close()
	p.counters.Stale.Add(1)
	return p.dial(ctx, old.replica)
}

// takeIdle returns an idle connection, or nil if the caller is to open a new one, which is then already counted as open. At the connection
// limit, the oldest idle connection is closed to make room.
func (p *Pool) takeIdle(want connRequest, now time.Time) (*conn, error) {
	state := <-p.state
	defer func() { p.state <- state }()
	conns := state[want.replica]
	if conns == nil {
		conns = &replicaConns{}
		state[want.replica] = conns
	}
	n := len(conns.idle)
	var c *conn
	if n > 0 && !want.newOnly && (want.retryable || now.Before(conns.idle[n-1].usableUntilNonRetryable)) {
		c, conns.idle[n-1] = conns.idle[n-1], nil
		conns.idle = conns.idle[:n-1]
		return c, nil
	}
	if want.maxConns > 0 && conns.open >= want.maxConns {
		if n == 0 {
			p.counters.Capped.Add(1)
			return nil, trace.Wrap(&ConnectionLimitError{Addr: want.replica.addr, Limit: want.maxConns})
		}
		_ = conns.idle[0].net.Close()
		conns.idle = slices.Delete(conns.idle, 0, 1)
		return nil, nil
	}
	conns.open++
	return nil, nil
}

// uncount removes a closed connection, or one that could not be opened, from the count of open connections.
func (p *Pool) uncount(replica poolKey) {
	state := <-p.state
	if conns := state[replica]; conns != nil {
		if conns.open--; conns.open <= 0 {
			delete(state, replica)
		}
	}
	p.state <- state
}

// close closes a connection that is not idle.
func (p *Pool) close(c *conn) {
	_ = c.net.Close()
	p.uncount(c.replica)
}

// putIdle makes a connection available to other requests, or closes it if it is too old.
func (p *Pool) putIdle(c *conn) {
	if !time.Now().Before(c.usableUntil) {
		p.close(c)
		return
	}
	state := <-p.state
	conns := state[c.replica]
	conns.idle = append(conns.idle, c)
	p.scheduleExpiry()
	p.state <- state
}
