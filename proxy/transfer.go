package proxy

import (
	"errors"
	"net/http"
	"time"

	"github.com/mallowbridge/mallowbridge"
)

// transfer carries out the moves of one exchange, all in the goroutine of the handler.
type transfer struct {
	p        *Proxy
	w        http.ResponseWriter
	r        *http.Request
	client   *client
	body     []byte
	share    share
	arrived  time.Time
	deadline time.Time
	ex       Exchange
	conn     *conn
	reused   bool
	release  func() bool
	resp     *http.Response
	stream   bool
	headed   bool
	bounded  bool
	buf      *buffer
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
	x.ex.spent(moves)
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

func (x *transfer) attempt() string { return first(x.r.Header, x.p.headers.Attempt) }

// nameless tells that answers to this request cannot be told from others': replicas answer with an id, but it has none.
func (x *transfer) nameless() bool { return x.p.headers.Attempt != "" && x.attempt() == "" }

func (x *transfer) repeatable() bool { return mayRepeat(x.ex.Place.Route) }

func (x *transfer) connect() {
	d := &x.ex.Place
	w := want{key: key{addr: d.Addr, instance: d.Instance}, conns: d.Conns, attempt: x.attempt(), repeatable: x.repeatable(), fresh: x.nameless()}
	c, err := x.p.pool.take(x.r.Context(), w)
	var capped *CappedError
	switch {
	case err == nil:
		x.conn, x.reused = c, !c.until.IsZero()
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
			c.setIdle(nil, x.p.set)
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

// free gives back what the request held.
func (x *transfer) free() {
	x.drop()
	putBuffer(x.buf)
	x.buf = nil
	x.share.give(x.share.held)
	if x.bounded {
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Time{})
	}
}

// expiry is when the time of the request is over; zero where nothing bounds it.
func (x *transfer) expiry() time.Time {
	at := x.deadline
	if route := x.ex.Place.Route; route != nil && route.Timeout > 0 {
		if t := x.arrived.Add(route.Timeout); at.IsZero() || t.Before(at) {
			at = t
		}
	}
	return at
}
