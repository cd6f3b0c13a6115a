package proxy

import (
	"errors"
	"net/http"
	"time"

	"github.com/mallowbridge/mallowbridge/router"
)

// transfer carries out the actions of one exchange, all in the goroutine of the HTTP handler.
type transfer struct {
	proxy    *Proxy
	w        http.ResponseWriter
	r        *http.Request
	client   *client
	body     []byte
	reserved reservation
	// arrived is when the first bytes of the request reached this machine, and deadline when the client stops waiting; the latter is zero if
	// the client named no deadline.
	arrived  time.Time
	deadline time.Time
	exchange Exchange
	conn     *conn
	// reused is set if conn was an idle connection from the pool.
	reused bool
	// stopClosingOnCancel stops the function that closes conn when the client disconnects. It returns false if that function has run.
	stopClosingOnCancel func() bool
	resp                *http.Response
	stream              bool
	// headWritten is set once the head of a response was sent to the client, writesBounded once boundWrites has set a deadline.
	headWritten    bool
	writesBounded  bool
	responseBuffer *buffer
	events         EventStream
}

func (x *transfer) run(arrival router.Arrival) {
	decisions := x.proxy.router.Submit(arrival)
	disconnected := x.r.Context().Done()
	for !x.exchange.Finished() {
		select {
		case <-disconnected:
			x.signal(ClientDisconnected{})
		case decision, ok := <-decisions:
			if !ok {
				x.perform(x.exchange.HandleRouterClosed())
				return
			}
			x.perform(x.exchange.HandleDecision(decision))
		}
	}
}

func (x *transfer) signal(s Signal) { x.perform(x.exchange.HandleSignal(s)) }

func (x *transfer) perform(actions []Action) {
	for _, action := range actions {
		switch action.Kind {
		case Connect:
			x.connect()
		case WriteRequest:
			x.sendAndRead()
		case ReleaseConnection:
			x.releaseConnection()
		case CloseConnection:
			x.disconnect()
		case NotifyRouter:
			x.notify(action.Event)
		case DiscardResponse:
			x.discardResponse()
		case ForwardResponse:
			x.forwardResponse()
		case Finish:
			x.finish(action)
		}
	}
	x.exchange.recycle(actions)
}

func (x *transfer) notify(event router.Event) {
	switch e := event.(type) {
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
	x.proxy.router.Notify(event)
}

func (x *transfer) attemptID() string { return first(x.r.Header, x.proxy.headers.AttemptID) }

// lacksAttemptID reports whether replicas echo an attempt ID but this request has none, so that a response to it can't be
// distinguished from responses to other requests.
func (x *transfer) lacksAttemptID() bool {
	return x.proxy.headers.AttemptID != "" && x.attemptID() == ""
}

func (x *transfer) connect() {
	placement := &x.exchange.Placement
	want := connRequest{replica: poolKey{addr: placement.Addr, instance: placement.Instance}, maxConns: placement.MaxConns, attemptID: x.attemptID(), retryable: x.exchange.retryable, newOnly: x.lacksAttemptID()}
	c, err := x.proxy.pool.get(x.r.Context(), want)
	var limitError *ConnectionLimitError
	switch {
	case err == nil:
		x.conn, x.reused = c, !c.usableUntil.IsZero()
		x.signal(Connected{})
	case x.r.Context().Err() != nil:
		x.signal(ClientDisconnected{})
	default:
		x.signal(ConnectFailed{AtConnectionLimit: errors.As(err, &limitError)})
	}
}

func (x *transfer) releaseConnection() {
	if c := x.conn; c != nil {
		x.conn = nil
		if !c.written {
			c.setIdleLimits(nil, x.proxy.settings)
		}
		x.proxy.pool.putIdle(c)
	}
}

func (x *transfer) disconnect() {
	if x.stopClosingOnCancel != nil {
		x.stopClosingOnCancel()
		x.stopClosingOnCancel = nil
	}
	if c := x.conn; c != nil {
		x.conn = nil
		x.proxy.pool.close(c)
	}
}

// cleanUp releases all resources of the request.
func (x *transfer) cleanUp() {
	x.disconnect()
	putBuffer(x.responseBuffer)
	x.responseBuffer = nil
	x.reserved.release(x.reserved.bytes)
	if x.writesBounded {
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Time{})
	}
}

// expiry returns the earlier of the client's deadline and the end of the route's timeout, or the zero time if there is neither.
func (x *transfer) expiry() time.Time {
	at := x.deadline
	if route := x.exchange.Placement.Route; route != nil && route.Timeout > 0 {
		if t := x.arrived.Add(route.Timeout); at.IsZero() || t.Before(at) {
			at = t
		}
	}
	return at
}
