package sim

import (
	"io"
	"net/http"

	"github.com/mallowbridge/mallowbridge/proxy"
)

// handleData handles response data after the head.
func (t *proxyRequest) handleData(p packet) {
	switch t.waitState {
	case discarding:
		if p.end {
			t.reuseConnection()
			t.handleSignal(proxy.ResponseEnded{})
		}
	case buffering:
		t.body = append(t.body, p.data...)
		if p.end {
			t.forward(t.body)
			t.reuseConnection()
			t.handleSignal(proxy.ResponseEnded{})
		}
	case forwardingStream:
		t.forwardEvents(p)
	}
}

// forwardEvents forwards the complete events of a stream.
func (t *proxyRequest) forwardEvents(p packet) {
	complete, err := t.events.Feed(p.data)
	if err == nil && p.end && t.events.HasPartialEvent() {
		err = io.ErrUnexpectedEOF
	}
	ended := err == nil && p.end
	if ended {
		complete = append(complete[:len(complete):len(complete)], t.events.Remaining()...)
	}
	if len(complete) > 0 {
		if !t.streamStarted {
			t.streamStarted = true
			t.exchange.CannotResume = t.events.CannotResume
			t.perform(t.exchange.HandleSignal(proxy.ResponseStarted{}))
			t.waitState = forwardingStream
		}
		t.exchange.CannotResume = t.events.CannotResume
		t.forward(complete)
	}
	switch {
	case err != nil:
		t.connectionLost()
	case ended:
		t.forward(nil)
		t.reuseConnection()
		t.handleSignal(proxy.ResponseEnded{})
	}
}

// reuseConnection returns a connection to the pool after its response was read completely, or closes it.
func (t *proxyRequest) reuseConnection() {
	if t.conn.stale || t.responseHead.closing {
		t.closeConnection()
		return
	}
	t.conn.idleUntil = t.n.w.Now + advertisedIdleTimeout
	t.releaseConnection()
}

// forward sends data to the client, after the response head of the first replica.
func (t *proxyRequest) forward(data []byte) {
	c := t.attempt
	if !t.headSent {
		t.headSent = true
		h := *t.responseHead
		c.send(t.n, func() { c.readHead(h) })
	}
	if len(data) > 0 {
		data = append([]byte(nil), data...)
		c.send(t.n, func() { c.readData(data) })
	}
}

// statuses are the HTTP statuses of outcomes for which the node itself responds.
var statuses = map[proxy.Outcome]int{
	proxy.Rejected: http.StatusServiceUnavailable, proxy.NotFound: http.StatusNotFound, proxy.Unknown: http.StatusBadGateway, proxy.Expired: http.StatusGatewayTimeout,
}

func (t *proxyRequest) finish(m proxy.Action) {
	c := t.attempt
	delete(t.n.requests, t.exchange.Request)
	switch m.Outcome {
	case proxy.Completed:
		c.send(t.n, func() { c.responseEnded(http.StatusOK, 0) })
	case proxy.AbandonedByClient:
	case proxy.Aborted:
		c.send(t.n, func() { c.connectionLost() })
	default:
		if m.Outcome == proxy.Rejected {
			t.n.w.site.report.Reasons[m.Reason]++
		}
		status := statuses[m.Outcome]
		t.n.w.site.rules.nodeResponded(t, status)
		c.send(t.n, func() { c.responseEnded(status, m.RetryAfter) })
	}
}

// nodeStopped closes the connections of a request whose node's process ended.
func (t *proxyRequest) nodeStopped() {
	if t.conn != nil {
		t.attempt.replicaWorking = t.conn.job != nil
		t.conn.close()
	}
	t.attempt.send(t.n, t.attempt.connectionLost)
}
