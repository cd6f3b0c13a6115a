package proxy

import (
	"context"
	"errors"
	"os"
	"strconv"
	"time"
)

func (x *transfer) exchange() {
	expiry, now, limit := x.expiry(), time.Now(), time.Time{}
	left := expiry.Sub(now).Milliseconds()
	if !expiry.IsZero() {
		if left <= 0 {
			x.happened(Overdue{Unwritten: true})
			return
		}
		limit = expiry.Add(x.p.set.Grace)
	}
	if s := x.send(left, limit); s != nil {
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
		if !s.Foreign || x.repeatable() || s.Open || !x.discard() {
			x.happened(s)
			return
		}
	}
	x.drop()
	x.happened(Lost{})
}

// maxSurplus is how many answers are read at most in search of the one that is due.
const maxSurplus = 4

// send writes the request once; where that failed it gives the signal of it.
func (x *transfer) send(left int64, limit time.Time) (failed Signal) {
	if x.reused && !x.repeatable() && !x.conn.alive() && !x.renew() {
		return Unwritten{}
	}
	set := x.anew(left)
	for {
		c := x.conn
		x.release = context.AfterFunc(x.r.Context(), func() { _ = c.nc.Close() })
		_ = c.nc.SetDeadline(limit)
		c.attempt = x.attempt()
		unacked := x.p.set.UserTimeout
		if len(x.body) > x.p.set.Window && !limit.IsZero() {
			unacked = max(unacked, time.Until(limit))
		}
		c.setUserTimeout(unacked)
		head := getBuffer()
		head.b = requestHead(head.b, x.r, len(x.body), &set)
		n, err := c.write(head, x.body)
		putBuffer(head)
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

// renew puts a new connection in the place of a kept one to which nothing could be written.
func (x *transfer) renew() (ok bool) {
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

func (x *transfer) anew(left int64) (set fields) {
	h, d := &x.p.headers, &x.ex.Place
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
