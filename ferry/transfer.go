package ferry

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge"
)

// transfer carries out the moves of one exchange, all in the goroutine of the handler.
type transfer struct {
	p        *Proxy
	w        http.ResponseWriter
	r        *http.Request
	body     []byte
	arrived  time.Time
	deadline time.Time
	ex       Exchange
	conn     *conn
	release  func() (stopped bool)
	resp     *http.Response
	headed   bool
	events   Events
}

func (x *transfer) run(a mallowbridge.Arrive) {
	in := x.p.market.Submit(a)
	gone := x.r.Context().Done()
	for !x.ex.Over() {
		select {
		case <-gone:
			x.happened(HungUp{})
		case d, ok := <-in:
			if !ok {
				x.do(x.ex.Closed())
				return
			}
			x.do(x.ex.Decided(d))
		}
	}
}

func (x *transfer) happened(s Signal) { x.do(x.ex.Happened(s)) }

func (x *transfer) do(moves []Move) {
	for _, m := range moves {
		switch m.Kind {
		case Connect:
			x.connect()
		case Write:
			x.exchange()
		case Park:
			x.park()
		case Drop:
			x.drop()
		case Tell:
			x.tell(m.Event)
		case Drain:
			x.drain()
		case Pass:
			x.pass()
		case Finish:
			x.finish(m)
		}
	}
}

func (x *transfer) tell(ev mallowbridge.Event) {
	switch e := ev.(type) {
	case mallowbridge.End:
		switch e.How {
		case mallowbridge.Broken:
			x.p.N.Broken.Add(1)
		case mallowbridge.Refused:
			x.p.N.Refused.Add(1)
		}
	case mallowbridge.Misplaced:
		x.p.N.Misplaced.Add(1)
	}
	x.p.market.Tell(ev)
}

func (x *transfer) attempt() (id string) { return x.r.Header.Get(x.p.headers.Attempt) }

func (x *transfer) connect() {
	d := &x.ex.Place
	c, err := x.p.pool.take(x.r.Context(), key{addr: d.Addr, instance: d.Instance}, d.Conns, x.attempt())
	var capped *CappedError
	switch {
	case err == nil:
		x.conn = c
		x.happened(Connected{})
	case x.r.Context().Err() != nil:
		x.happened(HungUp{})
	default:
		x.happened(Unconnected{Capped: errors.As(err, &capped)})
	}
}

func (x *transfer) park() {
	if c := x.conn; c != nil {
		x.conn = nil
		if !c.used {
			c.until = time.Now().Add(x.p.set.Idle)
		}
		x.p.pool.park(c)
	}
}

func (x *transfer) drop() {
	if x.release != nil {
		x.release()
		x.release = nil
	}
	if c := x.conn; c != nil {
		x.conn = nil
		x.p.pool.drop(c)
	}
}

// expiry is when the time of the request is over; zero where nothing bounds it.
func (x *transfer) expiry() (at time.Time) {
	at = x.deadline
	if route := x.ex.Place.Route; route != nil && route.Timeout > 0 {
		if t := x.arrived.Add(route.Timeout); at.IsZero() || t.Before(at) {
			at = t
		}
	}
	return at
}

func (x *transfer) exchange() {
	expiry, now, limit := x.expiry(), time.Now(), time.Time{}
	left := expiry.Sub(now).Milliseconds()
	if !expiry.IsZero() {
		if left <= 0 {
			x.happened(Overdue{})
			return
		}
		limit = expiry.Add(x.p.set.Grace)
	}
	c := x.conn
	x.release = context.AfterFunc(x.r.Context(), func() { _ = c.nc.Close() })
	_ = c.nc.SetDeadline(limit)
	c.attempt = x.attempt()
	if err := c.write(requestHead(x.r, len(x.body), x.anew(left)), x.body); err != nil {
		x.lost(err)
		return
	}
	resp, err := c.read(x.r, x.p.set.HeadBytes)
	if err != nil {
		x.lost(err)
		return
	}
	x.resp = resp
	x.happened(x.replied(resp))
}

func (x *transfer) anew(left int64) (set map[string]string) {
	h, d := &x.p.headers, &x.ex.Place
	set = map[string]string{}
	if d.Instance != "" && h.Target != "" {
		set[h.Target] = d.Instance
	}
	if !x.deadline.IsZero() {
		set[h.Deadline] = strconv.FormatInt(left, 10)
	}
	if d.Route != nil && h.Rank != "" && x.r.Header[h.Rank] == nil {
		set[h.Rank] = strconv.Itoa(d.Rank)
	}
	if d.Resumes && x.headed && x.events.Last != "" {
		set[lastEvent] = x.events.Last
	}
	return set
}

// lost tells why a connection failed after the request was given to it.
func (x *transfer) lost(err error) {
	switch {
	case x.r.Context().Err() != nil:
		x.happened(HungUp{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.happened(Overdue{})
	default:
		x.drop()
		x.happened(Lost{})
	}
}
