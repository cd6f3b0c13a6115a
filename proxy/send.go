package proxy

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"
)

// exchange writes the request once and reads its answer.
func (x *transfer) exchange() {
	if s := x.send(); s != nil {
		x.happened(s)
		return
	}
	for range maxSurplus {
		resp, err := x.conn.read(x.r, x.p.set.HeadBytes)
		if err != nil {
			x.lost(err)
			return
		}
		x.resp = resp
		s := x.replied(resp)
		if !s.Foreign || s.Open || x.repeatable() || x.conn.hadHEAD || !x.discard() {
			x.happened(s)
			return
		}
	}
	x.drop()
	x.happened(Lost{})
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
			return Overdue{Unwritten: true}
		}
		n, err := x.write(now, expiry)
		switch {
		case err == nil:
			return nil
		case x.r.Context().Err() != nil:
			return HungUp{}
		case errors.Is(err, os.ErrDeadlineExceeded):
			return Overdue{Unwritten: n == 0}
		case n > 0:
			x.drop()
			return Lost{}
		case !x.reused || !x.renew():
			return Unwritten{}
		}
	}
}

// fit tells whether a kept connection is still to be used: it was taken before the leave to send came.
func (x *transfer) fit(now time.Time) bool {
	if x.repeatable() {
		return now.Before(x.conn.until)
	}
	return now.Before(x.conn.sure) && x.conn.alive()
}

// write gives the request to the kernel; n is how many bytes of it the kernel took. The connection's deadline outlasts the request's.
func (x *transfer) write(now, expiry time.Time) (n int, err error) {
	c, limit, unacked := x.conn, time.Time{}, x.p.set.UserTimeout
	if !expiry.IsZero() {
		limit = expiry.Add(x.p.set.Grace)
		if len(x.body) > x.p.set.Window {
			unacked = max(unacked, limit.Sub(now))
		}
	}
	x.release = context.AfterFunc(x.r.Context(), func() { _ = c.nc.Close() })
	_ = c.nc.SetDeadline(limit)
	c.attempt, c.hadHEAD = x.attempt(), c.hadHEAD || x.r.Method == http.MethodHead
	c.setUserTimeout(unacked)
	set := x.anew(expiry.Sub(now).Milliseconds())
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
	c, err := x.p.pool.renew(x.r.Context(), old)
	if err != nil {
		x.p.N.Unwritten.Add(1)
		return false
	}
	x.conn = c
	return true
}

// anew gives the headers that are written anew; left is how many milliseconds the request has.
func (x *transfer) anew(left int64) fields {
	h, d := &x.p.headers, &x.ex.Place
	var set fields
	if d.Instance != "" && h.Target != "" {
		set.set(h.Target, d.Instance)
	}
	if !x.deadline.IsZero() {
		set.set(h.Deadline, strconv.FormatInt(left, 10))
	}
	if d.Route != nil && h.Rank != "" && x.r.Header[h.Rank] == nil {
		set.set(h.Rank, strconv.Itoa(d.Rank))
	}
	if d.Resumes && x.headed && x.events.Last != "" {
		set.set(lastEvent, x.events.Last)
	}
	return set
}
