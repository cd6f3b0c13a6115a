package sim

import (
	"net/http"
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge/proxy"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/shape"
)

// proxyRequest carries one attempt through a node: it performs the actions of a proxy.Exchange one after the other, as package proxy does with
// real connections.
type proxyRequest struct {
	n *Node
	// incarnation is that of the node's process that handles the request.
	incarnation  uint64
	attempt      *clientAttempt
	exchange     proxy.Exchange
	conn         *socket
	responseHead *responseHead
	events       proxy.EventStream
	body         []byte
	arrived      time.Duration
	deadline     time.Duration
	waitState    waitState
	// seq distinguishes the timers of connections and of sent requests.
	seq int
	// headSent is set once the client got a response head, streamStarted once the current response had a complete event.
	headSent      bool
	streamStarted bool
	// queued are router decisions that arrived during a wait.
	queued []router.Decision
}

// waitState is what the request waits for. In all states but notWaiting, router decisions are queued.
type waitState uint8

const (
	notWaiting waitState = iota
	connecting
	awaitingHead
	discarding
	forwardingStream
	buffering
)

const (
	// Times and limits of the simulated proxy.
	dialTimeout           = 400 * time.Millisecond
	defaultIdleTimeout    = 4 * time.Second
	advertisedIdleTimeout = 3800 * time.Millisecond
	deadlineSlack         = 250 * time.Millisecond
	maxEventBytes         = 1 << 20
)

// startProxyRequest starts to route an attempt.
func (n *Node) startProxyRequest(c *clientAttempt) *proxyRequest {
	s := n.w.site
	n.requestSeq++
	name := n.frontendID + "-" + strconv.Itoa(n.requestSeq)
	t := &proxyRequest{n: n, incarnation: n.incarnation, attempt: c, arrived: n.w.Now, exchange: proxy.Exchange{Request: name}, events: proxy.EventStream{MaxEventBytes: maxEventBytes}}
	if c.resumeAfter > 0 {
		t.events.LastID = strconv.Itoa(c.resumeAfter)
	}
	t.deadline = n.w.Now + c.timeout
	n.requests[name] = t
	q := c.request
	a := router.Arrival{Request: name, Host: siteHost, Path: c.path, Timeout: c.timeout}
	if q.class.Streaming {
		a.Prefix, a.Model, a.PromptTokens, a.MaxOutputTokens = q.prefix, shape.ModelName, q.promptTokens, q.events*s.stride(q.class.Service)
	}
	n.handleDecisions(n.stepRouter(a))
	return t
}

func (t *proxyRequest) handleDecision(d router.Decision) {
	if t.waitState != notWaiting {
		t.queued = append(t.queued, d)
		return
	}
	t.perform(t.exchange.HandleDecision(d))
}

// handleSignal passes a signal to the exchange, and then the decisions that arrived during the wait.
func (t *proxyRequest) handleSignal(sig proxy.Signal) {
	t.waitState = notWaiting
	t.perform(t.exchange.HandleSignal(sig))
	for len(t.queued) > 0 && t.waitState == notWaiting && !t.exchange.Finished() {
		d := t.queued[0]
		t.queued = t.queued[1:]
		t.perform(t.exchange.HandleDecision(d))
	}
}

func (t *proxyRequest) perform(actions []proxy.Action) {
	var next []router.Decision
	for _, m := range actions {
		switch m.Kind {
		case proxy.Connect:
			t.connect()
		case proxy.WriteRequest:
			t.writeRequest()
		case proxy.ReleaseConnection:
			t.releaseConnection()
		case proxy.CloseConnection:
			t.closeConnection()
		case proxy.NotifyRouter:
			next = append(next, t.n.stepRouter(m.Event)...)
		case proxy.DiscardResponse:
			t.waitState = discarding
		case proxy.ForwardResponse:
			t.startForwarding()
		case proxy.Finish:
			t.finish(m)
		}
	}
	t.n.handleDecisions(next)
}

func (t *proxyRequest) connect() {
	placement, w := t.exchange.Placement, t.n.w
	t.checkPrediction()
	t.waitState = connecting
	t.seq++
	conn, atLimit := t.n.pool.get(w.Now, placement.Instance, t.attempt.id, placement.MaxConns)
	switch {
	case atLimit:
		t.connectedAfter(0, func() proxy.Signal { return proxy.ConnectFailed{AtConnectionLimit: true} })
	case conn != nil:
		t.useConnection(conn)
		t.connectedAfter(0, func() proxy.Signal { return proxy.Connected{} })
	default:
		t.dial(w.site.instanceAt[placement.Addr])
	}
}

// dial opens a connection to the instance at the placement's address, if there is such an instance.
func (t *proxyRequest) dial(instance *Instance) {
	placement, w := t.exchange.Placement, t.n.w
	fail := func() proxy.Signal {
		t.n.pool.forget(placement.Instance)
		return proxy.ConnectFailed{}
	}
	switch {
	case instance == nil:
		t.connectedAfter(time.Millisecond, fail)
		return
	case instance.unreachable || w.Net.Blocked(t.n.Addr, instance.addr()) || w.Net.Blocked(instance.addr(), t.n.Addr):
		t.connectedAfter(dialTimeout, fail)
		return
	}
	t.connectedAfter(2*w.Net.Delay(t.n.Zone == instance.Zone)+time.Millisecond, func() proxy.Signal {
		conn := newSocket(t.n, instance, placement.Instance)
		if !instance.accept(conn) {
			return fail()
		}
		t.useConnection(conn)
		return proxy.Connected{}
	})
}

// connectedAfter passes the outcome of connecting to the exchange after wait, unless the request is no longer waiting for it.
func (t *proxyRequest) connectedAfter(wait time.Duration, outcome func() proxy.Signal) {
	seq, instance := t.seq, t.exchange.Placement.Instance
	t.n.later(wait, func() {
		if t.seq == seq && t.waitState == connecting {
			t.handleSignal(outcome())
		} else if wait > 0 {
			t.n.pool.forget(instance)
		}
	})
}

func (t *proxyRequest) useConnection(k *socket) { t.conn, k.proxied = k, t }

func (t *proxyRequest) releaseConnection() {
	conn := t.conn
	if t.conn = nil; conn == nil {
		return
	}
	if conn.proxied = nil; !conn.used {
		conn.idleUntil = t.n.w.Now + defaultIdleTimeout
	}
	t.n.pool.put(conn)
}

func (t *proxyRequest) closeConnection() {
	conn := t.conn
	if t.conn = nil; conn == nil {
		return
	}
	conn.close()
	t.n.pool.forget(conn.instance)
}

// packetReceived handles a packet from the connection in use.
func (t *proxyRequest) packetReceived(p packet) {
	switch {
	case t.waitState < awaitingHead:
		t.conn.stale = true
	case p.reset || p.junk || (p.head != nil && t.waitState > awaitingHead):
		t.connectionLost()
	case t.waitState == awaitingHead && p.head == nil:
		t.connectionLost()
	case t.waitState == awaitingHead:
		t.responseHead = p.head
		t.handleSignal(t.headSignal(p.head))
		if t.waitState > awaitingHead {
			t.handleData(p)
		}
	default:
		t.handleData(p)
	}
}

func (t *proxyRequest) connectionLost() {
	t.closeConnection()
	t.handleSignal(proxy.ConnectionLost{})
}

// headSignal returns the signal for a response head.
func (t *proxyRequest) headSignal(h *responseHead) proxy.ResponseHeadRead {
	var s proxy.ResponseHeadRead
	s.Status = h.status
	if h.attempt != t.attempt.id {
		s.Mismatched = true
		return s
	}
	s.NotExecuted, s.Unsealed, s.Instance, s.Load = h.notExecuted, h.seal == "", h.instance, h.load
	if !s.NotExecuted && !s.Unsealed {
		t.recordProofs()
	}
	s.Stream = t.exchange.Placement.Route != nil && t.exchange.Placement.Route.Streaming && h.stream && h.status == http.StatusOK
	return s
}

// startForwarding forwards the response from now on: event by event for a stream, otherwise as a whole.
func (t *proxyRequest) startForwarding() {
	t.waitState, t.streamStarted = buffering, false
	if t.exchange.Placement.Route != nil && t.exchange.Placement.Route.Streaming && t.responseHead.stream {
		t.waitState = forwardingStream
		if t.headSent {
			t.n.w.site.report.Resumed++
		}
		t.events.StartResponse("")
	}
}
