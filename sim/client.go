package sim

import (
	"fmt"
	"net/http"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/proxy"
)

// A want is what a user agent wants, over all its tries.
type clientRequest struct {
	s           *site
	id          string
	class       *TrafficClass
	path        string
	prefix      string
	parts       []prefixindex.Block
	prompt      int
	events      int
	work        time.Duration
	domain      string
	at          time.Duration
	deadline    time.Duration
	attempts    int
	last        int
	first       time.Duration
	lastEventAt time.Duration
	gap         time.Duration
	served      bool
	over        bool
}

// data is the n-th event, or the whole answer, of one run.
func (q *clientRequest) data(n int, run string) []byte {
	if !q.class.Streaming {
		return fmt.Appendf(nil, "%s of %s", q.id, run)
	}
	return fmt.Appendf(nil, "id: %d\ndata: %s %s %d\n\n", n, q.id, run, q.events)
}

// A try is one request of a user agent to one node.
type clientAttempt struct {
	request *clientRequest
	n       *Node
	id      string
	path    string
	sent    time.Duration
	timeout time.Duration
	last    int
	passes  int
	read    bool
	over    bool
	proxied *proxyRequest
	due     time.Duration
	h       *head
	text    []byte
	run     string
	fault   string
	status  int
	// runsBegun counts the runs at replicas, eventsMade is the newest event of any.
	runsBegun, eventsMade int
	madeAt                time.Duration
	refused               bool
	harmed                bool
	// working tells that a replica was at work when the node's process ended.
	working bool
	readAt  time.Duration
	probe   *configurationProbe
}

const clientDelay = time.Millisecond

func (q *clientRequest) submit() {
	s := q.s
	q.attempts++
	c := &clientAttempt{request: q, id: fmt.Sprintf("%s.%d", q.id, q.attempts), path: q.path, sent: s.w.Now, timeout: q.deadline - s.w.Now, last: q.last}
	if c.n = s.pick(q.domain); c.n == nil {
		q.failed(c, 0, false)
		return
	}
	s.rules.submitted(c)
	c.start()
}

func (c *clientAttempt) start() {
	w := c.request.s.w
	w.After(clientDelay, c.reach)
	w.After(min(time.Second, c.timeout/3), func() {
		if !c.read && !c.over && (c.request.class.Repeatable || !c.n.Alive) {
			c.over = true
			c.request.failed(c, 0, true)
		}
	})
	w.After(c.timeout, func() { c.hangup() })
	if c.request.class.Streaming {
		c.request.lastEventAt = w.Now
		c.watch()
	}
}

// reach has the request come to its node, which reads it once it accepts connections.
func (c *clientAttempt) reach() {
	n := c.n
	switch {
	case !n.Alive && n.dark:
		return
	case !n.Alive:
		c.disconnected()
		return
	}
	n.live(func() {
		n.accept(func() {
			if !c.over {
				c.read, c.readAt = true, n.w.Now
				n.takeAttempt(c)
			}
		})
	})
}

// watch gives a stream up after a long silence.
func (c *clientAttempt) watch() {
	q := c.request
	most := max(2*time.Second, 4*q.class.LatencyTarget, 8*q.class.TargetGap)
	quiet := q.s.w.Now - q.lastEventAt
	if quiet >= most {
		c.hangup()
	}
	if !c.over {
		q.s.w.After(max(most-quiet, time.Millisecond), c.watch)
	}
}

func (c *clientAttempt) hangup() {
	if c.over {
		return
	}
	c.over = true
	c.request.s.report.ClientDisconnects++
	c.request.s.rules.ended(c, "gave up")
	c.request.done(false)
	n := c.n
	c.request.s.w.After(clientDelay, func() {
		if t := c.proxied; t != nil && n.Alive && n.incarnation == t.incarnation {
			n.live(func() {
				if !t.exchange.Finished() {
					t.happened(proxy.ClientDisconnected{})
				}
			})
		}
	})
}

// send carries what a node sends to the user agent, in order.
func (c *clientAttempt) send(_ *Node, do func()) {
	w := c.request.s.w
	c.due = max(c.due, w.Now+clientDelay)
	w.At(c.due, func() {
		if !c.over {
			do()
		}
	})
}

// failed tries again where that is allowed and there is time.
func (q *clientRequest) failed(c *clientAttempt, after time.Duration, unrun bool) {
	left := q.deadline - q.s.w.Now
	repeated := q.class.Repeatable || unrun
	if c.status == http.StatusNotFound || !repeated || q.attempts > 1 || left < 50*time.Millisecond || (q.last > 0 && !q.class.Resumable) || c.probe != nil {
		q.done(false)
		return
	}
	q.s.w.After(min(after, left/3)+time.Millisecond, q.submit)
}

func (q *clientRequest) done(served bool) {
	if q.over {
		return
	}
	q.over, q.served = true, served
	q.s.report.end(q)
}
