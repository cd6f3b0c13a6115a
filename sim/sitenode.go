package sim

import (
	"net/http"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/proxy"
	"github.com/mallowbridge/mallowbridge/router"
)

const (
	openWithin = 700 * time.Millisecond
	openPoll   = 20 * time.Millisecond
)

// accept leaves connections after a start in the listener's queue until they can be served, or for long enough.
func (n *Node) accept(do func()) {
	if n.serving {
		do()
		return
	}
	n.acceptQueue = append(n.acceptQueue, do)
}

// schedule is how processes at a site shut down.
var schedule = proxy.ShutdownSchedule{Grace: grace}

// takeAttempt begins a client's request, or refuses it as a proxy does that shuts down.
func (n *Node) takeAttempt(c *clientAttempt) {
	if !n.shuttingDown || schedule.Admits(n.w.Now-n.shutdownAt, c.timeout) {
		c.proxied = n.begin(c)
		return
	}
	n.w.site.report.Reasons["shutting down"]++
	n.w.site.rules.refused(c, n)
	c.send(n, func() { c.ended(http.StatusServiceUnavailable, refusedAfter) })
}

// refusedAfter is the Retry-After of a process that shuts down.
const refusedAfter = 10 * time.Millisecond

func (n *Node) open(from time.Duration) {
	if n.router.NotReady(n.local()) != "" && n.w.Now-from < openWithin {
		n.later(openPoll, func() { n.open(from) })
		return
	}
	n.serving = true
	door := n.acceptQueue
	n.acceptQueue = nil
	for _, do := range door {
		do()
	}
}

// turn gives the router an event and sees to it that it is woken when it needs the time.
func (n *Node) turn(ev router.Event) []router.Decision {
	ds := n.router.Step(n.local(), ev)
	if n.w.site == nil {
		return ds
	}
	if f, known := n.router.Failures(n.local()); known {
		n.later(0, func() { n.step(control.FailuresObserved{Failures: f}) })
	}
	n.arm()
	return ds
}

func (n *Node) arm() {
	wait := router.MaxLoopSleep
	if at, known := n.router.NextTick(n.local()); known {
		wait = min(max(at-n.local(), time.Millisecond), wait)
	}
	at := n.w.Now + wait
	if n.wakes > n.w.Now && n.wakes <= at {
		return
	}
	n.wakes = at
	n.later(wait, func() {
		if n.w.Now >= n.wakes && n.wakes > 0 {
			n.wakes = 0
			n.decide(n.turn(router.Tick{}))
		}
	})
}

// repairDisk writes everything anew after a failure, until the disk takes it.
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

// halt ends what runs at a node whose process ends; without power nobody is told.
func (n *Node) halt() {
	for _, name := range sortedKeys(n.requests) {
		t := n.requests[name]
		if !n.dark {
			t.orphan()
		}
	}
	if !n.dark {
		for _, name := range sortedKeys(n.pool) {
			for _, k := range n.pool[name].idle {
				k.close()
			}
		}
	}
	n.requests, n.pool, n.wakes = map[string]*proxyRequest{}, pool{}, 0
}
