package sim

import (
	"net/http"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/proxy"
	"github.com/mallowbridge/mallowbridge/router"
)

// A starting process accepts connections when its router is ready, checked every acceptPoll, or at the latest after maxAcceptDelay.
const (
	maxAcceptDelay = 700 * time.Millisecond
	acceptPoll     = 20 * time.Millisecond
)

// accept handles a new connection; until the process accepts connections, it waits in the listener's queue.
func (n *Node) accept(do func()) {
	if n.accepting {
		do()
		return
	}
	n.acceptQueue = append(n.acceptQueue, do)
}

// shutdownSchedule is the shutdown schedule of a site's processes.
var shutdownSchedule = proxy.ShutdownSchedule{Grace: shutdownGrace}

// handleAttempt starts a client's request, or rejects it as a proxy does that is shutting down.
func (n *Node) handleAttempt(c *clientAttempt) {
	if !n.shuttingDown || shutdownSchedule.Admits(n.w.Now-n.shutdownAt, c.timeout) {
		c.proxied = n.startProxyRequest(c)
		return
	}
	n.w.site.report.Reasons["shutting down"]++
	n.w.site.rules.attemptRejected(c, n)
	c.send(n, func() { c.responseEnded(http.StatusServiceUnavailable, shutdownRetryAfter) })
}

// shutdownRetryAfter is the Retry-After of a process that is shutting down.
const shutdownRetryAfter = 10 * time.Millisecond

// startAccepting polls until the process can accept connections, and then handles the queued ones.
func (n *Node) startAccepting(from time.Duration) {
	if n.router.NotReady(n.localTime()) != "" && n.w.Now-from < maxAcceptDelay {
		n.later(acceptPoll, func() { n.startAccepting(from) })
		return
	}
	n.accepting = true
	queued := n.acceptQueue
	n.acceptQueue = nil
	for _, do := range queued {
		do()
	}
}

// stepRouter passes an event to the router. On a site it also passes the failures that the router observed to the control state machine, and
// schedules the router's next tick.
func (n *Node) stepRouter(ev router.Event) []router.Decision {
	ds := n.router.Step(n.localTime(), ev)
	if n.w.site == nil {
		return ds
	}
	if f, known := n.router.Failures(n.localTime()); known {
		n.later(0, func() { n.step(control.FailuresObserved{Failures: f}) })
	}
	n.scheduleTick()
	return ds
}

// scheduleTick schedules a tick for when the router needs one, unless an earlier one is scheduled.
func (n *Node) scheduleTick() {
	wait := router.MaxLoopSleep
	if at, known := n.router.NextTick(n.localTime()); known {
		wait = min(max(at-n.localTime(), time.Millisecond), wait)
	}
	at := n.w.Now + wait
	if n.nextWake > n.w.Now && n.nextWake <= at {
		return
	}
	n.nextWake = at
	n.later(wait, func() {
		if n.w.Now >= n.nextWake && n.nextWake > 0 {
			n.nextWake = 0
			n.handleDecisions(n.stepRouter(router.Tick{}))
		}
	})
}

// repairDisk rewrites the whole state after a disk failure, until that succeeds.
func (n *Node) repairDisk() {
	n.repairing = true
	n.later(500*time.Millisecond, func() {
		if n.journal.Recover() != nil {
			n.repairDisk()
			return
		}
		n.repairing = false
		n.step(control.Persisted{Repaired: true})
	})
}

// closeConnections closes all connections of a node whose process ended. After a power loss, the peers are not notified.
func (n *Node) closeConnections() {
	for _, name := range sortedKeys(n.requests) {
		t := n.requests[name]
		if !n.poweredOff {
			t.nodeStopped()
		}
	}
	if !n.poweredOff {
		for _, name := range sortedKeys(n.pool) {
			for _, k := range n.pool[name].idle {
				k.close()
			}
		}
	}
	n.requests, n.pool, n.nextWake = map[string]*proxyRequest{}, pool{}, 0
}
