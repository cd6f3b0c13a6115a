package sim

import (
	"fmt"
	"net/http"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/proxy"
)

// clientRequest is one request of a client over all its attempts.
type clientRequest struct {
	s            *site
	id           string
	class        *TrafficClass
	path         string
	prefix       string
	blocks       []prefixindex.Block
	promptTokens int
	// events is the number of events of the complete response; 1 without streaming.
	events    int
	workTime  time.Duration
	zone      string
	arrivedAt time.Duration
	deadline  time.Duration
	// attempts counts attempts, lastEvent is the number of the last event that the client got.
	attempts  int
	lastEvent int
	// firstEventAt is when the first event or the response arrived, lastEventAt when the newest one did, and longestGap the longest time between
	// two events.
	firstEventAt time.Duration
	lastEventAt  time.Duration
	longestGap   time.Duration
	served       bool
	finished     bool
}

// responseData returns the n-th event, or the whole response without streaming, of one run at a replica.
func (q *clientRequest) responseData(n int, run string) []byte {
	if !q.class.Streaming {
		return fmt.Appendf(nil, "%s of %s", q.id, run)
	}
	return fmt.Appendf(nil, "id: %d\ndata: %s %s %d\n\n", n, q.id, run, q.events)
}

// clientAttempt is one HTTP request of a client to one node.
type clientAttempt struct {
	request *clientRequest
	node    *Node
	id      string
	path    string
	sent    time.Duration
	timeout time.Duration
	// resumeAfter is the last event that the client has, from which the attempt resumes the stream.
	resumeAfter int
	// sends counts how often nodes sent the attempt to a replica.
	sends int
	// accepted is set once the node has read the request.
	accepted bool
	finished bool
	proxied  *proxyRequest
	// lastDue is when the newest data from the node arrives, which keeps the data in order.
	lastDue time.Duration
	head    *responseHead
	// unparsed is the part of the response that has not been read as events, runID the run that made the newest event.
	unparsed []byte
	runID    string
	// fault describes how the response breaks the rules, if it does.
	fault  string
	status int
	// runsStarted counts runs at replicas; lastEventMade is the newest event that any of them produced, at madeAt.
	runsStarted, lastEventMade int
	madeAt                     time.Duration
	// rejected is set if a node rejected the attempt; harmed if a replica fault broke it.
	rejected      bool
	replicaFailed bool
	// replicaWorking is set if a replica was running the attempt when the node's process ended.
	replicaWorking bool
	acceptedAt     time.Duration
	// probe is set for requests that only find out which configuration a node applies.
	probe *configurationProbe
}

// clientDelay is the one-way delay between clients or operators and nodes.
const clientDelay = time.Millisecond

func (q *clientRequest) submit() {
	s := q.s
	q.attempts++
	c := &clientAttempt{request: q, id: fmt.Sprintf("%s.%d", q.id, q.attempts), path: q.path, sent: s.w.Now, timeout: q.deadline - s.w.Now, resumeAfter: q.lastEvent}
	if c.node = s.pickEntryNode(q.zone); c.node == nil {
		q.retryOrFail(c, 0, false)
		return
	}
	s.rules.attemptSubmitted(c)
	c.start()
}

// start sends the attempt and schedules the client's timeouts: a third of the deadline, at most 1 s, until the node accepts the request, and the
// deadline for the response.
func (c *clientAttempt) start() {
	w := c.request.s.w
	w.After(clientDelay, c.reachNode)
	w.After(min(time.Second, c.timeout/3), func() {
		if !c.accepted && !c.finished && (c.request.class.Repeatable || !c.node.Alive) {
			c.finished = true
			c.request.retryOrFail(c, 0, true)
		}
	})
	w.After(c.timeout, func() { c.disconnect() })
	if c.request.class.Streaming {
		c.request.lastEventAt = w.Now
		c.watchIdle()
	}
}

// reachNode delivers the request to its node, which reads it once it accepts connections.
func (c *clientAttempt) reachNode() {
	n := c.node
	switch {
	case !n.Alive && n.poweredOff:
		return
	case !n.Alive:
		c.connectionLost()
		return
	}
	n.runIfAlive(func() {
		n.accept(func() {
			if !c.finished {
				c.accepted, c.acceptedAt = true, n.w.Now
				n.handleAttempt(c)
			}
		})
	})
}

// watchIdle gives up a stream without events for 2 s, 4 times the latency target or 8 times the target gap, whichever is longest.
func (c *clientAttempt) watchIdle() {
	q := c.request
	maxSilence := max(2*time.Second, 4*q.class.LatencyTarget, 8*q.class.TargetGap)
	silence := q.s.w.Now - q.lastEventAt
	if silence >= maxSilence {
		c.disconnect()
	}
	if !c.finished {
		q.s.w.After(max(maxSilence-silence, time.Millisecond), c.watchIdle)
	}
}

// disconnect ends the attempt and the request because the client gives up.
func (c *clientAttempt) disconnect() {
	if c.finished {
		return
	}
	c.finished = true
	c.request.s.report.ClientDisconnects++
	c.request.s.rules.attemptEnded(c, "gave up")
	c.request.done(false)
	n := c.node
	c.request.s.w.After(clientDelay, func() {
		if t := c.proxied; t != nil && n.Alive && n.incarnation == t.incarnation {
			n.runIfAlive(func() {
				if !t.exchange.Finished() {
					t.handleSignal(proxy.ClientDisconnected{})
				}
			})
		}
	})
}

// send delivers what a node sends to the client, in order.
func (c *clientAttempt) send(_ *Node, do func()) {
	w := c.request.s.w
	c.lastDue = max(c.lastDue, w.Now+clientDelay)
	w.At(c.lastDue, func() {
		if !c.finished {
			do()
		}
	})
}

// retryOrFail makes another attempt if the request may be repeated and there is time, and else ends the request. notExecuted says that the
// attempt certainly did not run.
func (q *clientRequest) retryOrFail(c *clientAttempt, retryAfter time.Duration, notExecuted bool) {
	left := q.deadline - q.s.w.Now
	mayRepeat := q.class.Repeatable || notExecuted
	if c.status == http.StatusNotFound || !mayRepeat || q.attempts > 1 || left < 50*time.Millisecond || (q.lastEvent > 0 && !q.class.Resumable) || c.probe != nil {
		q.done(false)
		return
	}
	q.s.w.After(min(retryAfter, left/3)+time.Millisecond, q.submit)
}

func (q *clientRequest) done(served bool) {
	if q.finished {
		return
	}
	q.finished, q.served = true, served
	q.s.report.countRequest(q)
}
