package proxy

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"
)

// sendAndRead writes the request once and reads its answer.
func (x *transfer) sendAndRead() {
	if s := x.send(); s != nil {
		x.signal(s)
		return
	}
	for range maxSurplus {
		resp, err := x.conn.read(x.r, x.proxy.settings.MaxResponseHeadBytes)
		if err != nil {
			x.connectionLost(err)
			return
		}
		x.resp = resp
		s := x.replied(resp)
		if !s.Mismatched || s.CloseDelimited || x.exchange.repeatable || x.conn.hadHEAD || !x.discard() {
			x.signal(s)
			return
		}
	}
	x.disconnect()
	x.signal(ConnectionLost{})
}

// maxSurplus is how many answers are read at most in search of the one that is due.
const maxSurplus = 4

// send writes the request once; where that failed it gives the signal of it. The time is read before each write, as this machine may have
// stood still since the request was let go, or while a connection was opened.
func (x *transfer) send() Signal {
	if x.reused && !x.fit(time.Now()) && !x.renew() {
		return Unwritten{}
	}
	for {
		now, expiry := time.Now(), x.expiry()
		if !expiry.IsZero() && expiry.Sub(now) < time.Millisecond {
			return DeadlinePassed{Unwritten: true}
		}
		n, err := x.write(now, expiry)
		switch {
		case err == nil:
			return nil
		case x.r.Context().Err() != nil:
			return ClientDisconnected{}
		case errors.Is(err, os.ErrDeadlineExceeded):
			return DeadlinePassed{Unwritten: n == 0}
		case n > 0:
			x.disconnect()
			return ConnectionLost{}
		case !x.reused || !x.renew():
			return Unwritten{}
		}
	}
}

// fit tells whether a kept connection is still to be used: it was taken before the leave to send came.
func (x *transfer) fit(now time.Time) bool {
	if x.exchange.repeatable {
		return now.Before(x.conn.usableUntil)
	}
	return now.Before(x.conn.safeUntil) && x.conn.alive()
}

// write gives the request to the kernel; n is how many bytes of it the kernel took. The connection's deadline outlasts the request's.
func (x *transfer) write(now, expiry time.Time) (n int, err error) {
	c, limit, unacked := x.conn, time.Time{}, x.proxy.settings.UserTimeout
	if !expiry.IsZero() {
		limit = expiry.Add(x.proxy.settings.DeadlineGrace)
		if len(x.body) > x.proxy.settings.ReceiveWindow {
			unacked = max(unacked, limit.Sub(now))
		}
	}
	x.release = context.AfterFunc(x.r.Context(), func() { _ = c.net.Close() })
	_ = c.net.SetDeadline(limit)
	c.attempt, c.hadHEAD = x.attempt(), c.hadHEAD || x.r.Method == http.MethodHead
	c.setUserTimeout(unacked)
	set := x.rewrittenHeaders(expiry.Sub(now).Milliseconds())
	head := getBuffer()
	defer putBuffer(head)
	head.b = requestHead(head.b, x.r, len(x.body), &set)
	return c.write(head, x.body)
}

// renew puts a new connection in the place of a kept one to which nothing could be written.
func (x *transfer) renew() bool {
	if x.release != nil {
		x.release()
		x.release = nil
	}
	old := x.conn
	x.conn, x.reused = nil, false
	c, err := x.proxy.pool.renew(x.r.Context(), old)
	if err != nil {
		x.proxy.Counters.Unwritten.Add(1)
		return false
	}
	x.conn = c
	return true
}

// rewrittenHeaders gives the headers that are written anew; left is how many milliseconds the request has.
func (x *transfer) rewrittenHeaders(left int64) fields {
	h, d := &x.proxy.headers, &x.exchange.Placement
	var set fields
	if h.Credential != "" {
		set.set(h.Credential, "")
	}
	if h.Tenant != "" {
		set.set(h.Tenant, d.Tenant)
	}
	if d.Instance != "" && h.TargetInstance != "" {
		set.set(h.TargetInstance, d.Instance)
	}
	if !x.deadline.IsZero() {
		set.set(h.Deadline, strconv.FormatInt(left, 10))
	}
	if d.Route != nil && h.Priority != "" && x.r.Header[h.Priority] == nil {
		set.set(h.Priority, strconv.Itoa(d.Priority))
	}
	if x.resumes() {
		set.set(lastEvent, x.events.LastID)
	}
	if version := x.expectedVersion(); version != "" {
		set.set(h.ExpectedVersion, version)
	}
	return set
}

// resumes tells whether the attempt is to go on behind the last event that the client has.
func (x *transfer) resumes() bool {
	return x.exchange.Placement.Resumes && x.headed && x.events.LastID != ""
}

// expectedVersion is the weights' version that the replica must have to go on; empty where any will do.
func (x *transfer) expectedVersion() string {
	if !x.resumes() || x.proxy.headers.ExpectedVersion == "" {
		return ""
	}
	return x.events.ExpectedVersion()
}
