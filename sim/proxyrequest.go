package sim

import (
	"net/http"
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge/proxy"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/shape"
)

// A proxyRequest takes one attempt through a node: it carries out the actions of proxy's exchange, one after the other, as proxy's transfer does.
type proxyRequest struct {
	n           *Node
	incarnation uint64
	attempt     *clientAttempt
	exchange    proxy.Exchange
	conn        *socket
	answerHead  *head
	events      proxy.EventStream
	body        []byte
	arrived     time.Duration
	deadline    time.Duration
	mode        mode
	turn        int
	headed      bool
	flowing     bool
	queued      []router.Decision
}

// A mode is what the trip waits for; meanwhile decisions wait, too.
type mode uint8

const (
	free mode = iota
	connecting
	asking
	draining
	streaming
	holding
)

const (
	dialMost           = 400 * time.Millisecond
	defaultIdleTimeout = 4 * time.Second
	advertisedIdle     = 3800 * time.Millisecond
	overGrace          = 250 * time.Millisecond
	eventBytes         = 1 << 20
)

func (n *Node) begin(c *clientAttempt) *proxyRequest {
	s := n.w.site
	n.requestSeq++
	name := n.frontendID + "-" + strconv.Itoa(n.requestSeq)
	t := &proxyRequest{n: n, incarnation: n.incarnation, attempt: c, arrived: n.w.Now, exchange: proxy.Exchange{Request: name}, events: proxy.EventStream{MaxEventBytes: eventBytes}}
	if c.last > 0 {
		t.events.LastID = strconv.Itoa(c.last)
	}
	t.deadline = n.w.Now + c.timeout
	n.requests[name] = t
	q := c.request
	a := router.Arrival{Request: name, Host: siteHost, Path: c.path, Timeout: c.timeout}
	if q.class.Streaming {
		a.Prefix, a.Model, a.PromptTokens, a.MaxOutputTokens = q.prefix, shape.ModelName, q.prompt, q.events*s.stride(q.class.Service)
	}
	n.decide(n.turn(a))
	return t
}

func (t *proxyRequest) decided(d router.Decision) {
	if t.mode != free {
		t.queued = append(t.queued, d)
		return
	}
	t.do(t.exchange.HandleDecision(d))
}

// happened hands a signal in, then the decisions that came while the trip waited.
func (t *proxyRequest) happened(sig proxy.Signal) {
	t.mode = free
	t.do(t.exchange.HandleSignal(sig))
	for len(t.queued) > 0 && t.mode == free && !t.exchange.Finished() {
		d := t.queued[0]
		t.queued = t.queued[1:]
		t.do(t.exchange.HandleDecision(d))
	}
}

func (t *proxyRequest) do(actions []proxy.Action) {
	var next []router.Decision
	for _, m := range actions {
		switch m.Kind {
		case proxy.Connect:
			t.connect()
		case proxy.WriteRequest:
			t.write()
		case proxy.ReleaseConnection:
			t.park()
		case proxy.CloseConnection:
			t.drop()
		case proxy.NotifyRouter:
			next = append(next, t.n.turn(m.Event)...)
		case proxy.DiscardResponse:
			t.mode = draining
		case proxy.ForwardResponse:
			t.pass()
		case proxy.Finish:
			t.finish(m)
		}
	}
	t.n.decide(next)
}

func (t *proxyRequest) connect() {
	d, w := t.exchange.Placement, t.n.w
	t.recordPrediction()
	t.mode = connecting
	t.turn++
	k, capped := t.n.pool.kept(w.Now, d.Instance, t.attempt.id, d.MaxConns)
	switch {
	case capped:
		t.connectedAfter(0, func() proxy.Signal { return proxy.ConnectFailed{AtConnectionLimit: true} })
	case k != nil:
		t.use(k)
		t.connectedAfter(0, func() proxy.Signal { return proxy.Connected{} })
	default:
		t.dial(w.site.at[d.Addr])
	}
}

// dial opens a connection to the instance at the placement's address, if there is one.
func (t *proxyRequest) dial(i *Instance) {
	d, w := t.exchange.Placement, t.n.w
	failed := func() proxy.Signal {
		t.n.pool.leave(d.Instance)
		return proxy.ConnectFailed{}
	}
	switch {
	case i == nil:
		t.connectedAfter(time.Millisecond, failed)
		return
	case i.dark || w.Net.Blocked(t.n.Addr, i.addr()) || w.Net.Blocked(i.addr(), t.n.Addr):
		t.connectedAfter(dialMost, failed)
		return
	}
	t.connectedAfter(2*w.Net.Delay(t.n.Zone == i.Zone)+time.Millisecond, func() proxy.Signal {
		k := newSocket(t.n, i, d.Instance)
		if !i.accept(k) {
			return failed()
		}
		t.use(k)
		return proxy.Connected{}
	})
}

// connectedAfter hands in how the connecting ended, unless the request has gone on meanwhile.
func (t *proxyRequest) connectedAfter(wait time.Duration, outcome func() proxy.Signal) {
	turn, instance := t.turn, t.exchange.Placement.Instance
	t.n.later(wait, func() {
		if t.turn == turn && t.mode == connecting {
			t.happened(outcome())
		} else if wait > 0 {
			t.n.pool.leave(instance)
		}
	})
}

func (t *proxyRequest) use(k *socket) { t.conn, k.t = k, t }

func (t *proxyRequest) park() {
	k := t.conn
	if t.conn = nil; k == nil {
		return
	}
	if k.t = nil; !k.used {
		k.until = t.n.w.Now + defaultIdleTimeout
	}
	t.n.pool.park(k)
}

func (t *proxyRequest) drop() {
	k := t.conn
	if t.conn = nil; k == nil {
		return
	}
	k.close()
	t.n.pool.leave(k.key)
}

// took is what the connection in use brought.
func (t *proxyRequest) took(p packet) {
	switch {
	case t.mode < asking:
		t.conn.stale = true
	case p.reset || p.junk || (p.head != nil && t.mode > asking):
		t.lost()
	case t.mode == asking && p.head == nil:
		t.lost()
	case t.mode == asking:
		t.answerHead = p.head
		t.happened(t.replied(p.head))
		if t.mode > asking {
			t.more(p)
		}
	default:
		t.more(p)
	}
}

func (t *proxyRequest) lost() {
	t.drop()
	t.happened(proxy.ConnectionLost{})
}

func (t *proxyRequest) replied(h *head) proxy.ResponseHeadRead {
	var s proxy.ResponseHeadRead
	s.Status = h.status
	if h.attempt != t.attempt.id {
		s.Mismatched = true
		return s
	}
	s.NotExecuted, s.Unsealed, s.Instance, s.Load = h.notRun, h.seal == "", h.instance, h.load
	if !s.NotExecuted && !s.Unsealed {
		t.confirmed()
	}
	s.Stream = t.exchange.Placement.Route != nil && t.exchange.Placement.Route.Streaming && h.stream && h.status == http.StatusOK
	return s
}

func (t *proxyRequest) pass() {
	t.mode, t.flowing = holding, false
	if t.exchange.Placement.Route != nil && t.exchange.Placement.Route.Streaming && t.answerHead.stream {
		t.mode = streaming
		if t.headed {
			t.n.w.site.report.Resumed++
		}
		t.events.StartResponse("")
	}
}
