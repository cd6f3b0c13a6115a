package proxy

import (
	"errors"
	"net/http"
	"time"

	"github.com/mallowbridge/mallowbridge/router"
)

// transfer carries out the actions of one exchange, all in the goroutine of the handler.
type transfer struct {
	proxy    *Proxy
	w        http.ResponseWriter
	r        *http.Request
	client   *client
	body     []byte
	memory   reservation
	arrived  time.Time
	deadline time.Time
	exchange Exchange
	conn     *conn
	reused   bool
	release  func() bool
	resp     *http.Response
	stream   bool
	headed   bool
	bounded  bool
	buf      *buffer
	events   EventStream
}

func (x *transfer) run(a router.Arrival) {
	in := x.proxy.router.Submit(a)
	disconnected := x.r.Context().Done()
	for !x.exchange.Finished() {
		select {
		case <-disconnected:
			x.signal(ClientDisconnected{})
		case d, ok := <-in:
			if !ok {
				x.perform(x.exchange.HandleRouterClosed())
				return
			}
			x.perform(x.exchange.HandleDecision(d))
		}
	}
}

func (x *transfer) signal(s Signal) { x.perform(x.exchange.HandleSignal(s)) }

func (x *transfer) perform(actions []Action) {
	for _, m := range actions {
		switch m.Kind {
		case Connect:
			x.connect()
		case WriteRequest:
			x.sendAndRead()
		case ReleaseConnection:
			x.releaseConnection()
		case CloseConnection:
			x.disconnect()
		case NotifyRouter:
			x.notify(m.Event)
		case DiscardResponse:
			x.discardAnswer()
		case ForwardResponse:
			x.passAnswer()
		case Finish:
			x.finish(m)
		}
	}
	x.exchange.recycle(actions)
}

func (x *transfer) notify(ev router.Event) {
	switch e := ev.(type) {
	case router.AttemptEnded:
		switch e.Result {
		case router.Failed:
			x.proxy.Counters.Broken.Add(1)
		case router.Refused:
			x.proxy.Counters.Refused.Add(1)
		}
	case router.WrongInstance:
		x.proxy.Counters.Misplaced.Add(1)
	}
	x.proxy.router.Notify(ev)
}

func (x *transfer) attempt() string { return first(x.r.Header, x.proxy.headers.AttemptID) }

// nameless tells that answers to this request cannot be told from others': replicas answer with an id, but it has none.
func (x *transfer) nameless() bool { return x.proxy.headers.AttemptID != "" && x.attempt() == "" }

func (x *transfer) connect() {
	d := &x.exchange.Placement
	w := connRequest{key: key{addr: d.Addr, instance: d.Instance}, conns: d.MaxConns, attempt: x.attempt(), repeatable: x.exchange.repeatable, newOnly: x.nameless()}
	c, err := x.proxy.pool.take(x.r.Context(), w)
	var capped *ConnectionLimitError
	switch {
	case err == nil:
		x.conn, x.reused = c, !c.usableUntil.IsZero()
		x.signal(Connected{})
	case x.r.Context().Err() != nil:
		x.signal(ClientDisconnected{})
	default:
		x.signal(ConnectFailed{AtConnectionLimit: errors.As(err, &capped)})
	}
}

func (x *transfer) releaseConnection() {
	if c := x.conn; c != nil {
		x.conn = nil
		if !c.used {
			c.setIdle(nil, x.proxy.settings)
		}
		x.proxy.pool.park(c)
	}
}

func (x *transfer) disconnect() {
	if x.release != nil {
		x.release()
		x.release = nil
	}
	if c := x.conn; c != nil {
		x.conn = nil
		x.proxy.pool.drop(c)
	}
}

// free gives back what the request held.
func (x *transfer) free() {
	x.disconnect()
	putBuffer(x.buf)
	x.buf = nil
	x.memory.give(x.memory.bytes)
	if x.bounded {
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Time{})
	}
}

// expiry is when the time of the request is over; zero where nothing bounds it.
func (x *transfer) expiry() time.Time {
	at := x.deadline
	if route := x.exchange.Placement.Route; route != nil && route.Timeout > 0 {
		if t := x.arrived.Add(route.Timeout); at.IsZero() || t.Before(at) {
			at = t
		}
	}
	return at
}
