package main

import (
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/daemon"
	"github.com/mallowbridge/mallowbridge/router"
)

// readyWithin is how long awaitReady waits at most, and readyPollInterval is how often it checks.
const (
	readyWithin       = 700 * time.Millisecond
	readyPollInterval = 20 * time.Millisecond
)

// awaitReady waits until the node is ready or readyWithin has passed. The connections of a node that has just started wait in the listener's queue in
// the meantime, so that the first requests are not rejected only because the node is still starting.
func awaitReady(t *tomb.Tomb, h *daemon.Daemon) {
	timeout := time.After(readyWithin)
	tick := time.NewTicker(readyPollInterval)
	defer tick.Stop()
	for readiness(h, &atomic.Bool{}) != "" {
		select {
		case <-t.Dying():
			return
		case <-timeout:
			return
		case <-tick.C:
		}
	}
}

// readiness returns the reason why requests should be sent to other nodes, or an empty string if the node is ready.
func readiness(h *daemon.Daemon, draining *atomic.Bool) string {
	if draining.Load() {
		return "draining"
	}
	var reason string
	h.RouterLoop.Inspect(func(r *router.Router) { reason = r.NotReady(daemon.Clock()) })
	return reason
}
