package main

import (
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/daemon"
	"github.com/mallowbridge/mallowbridge/router"
)

// readyWithin bounds how long awaitReady waits, readyPoll is how often it looks.
const (
	readyWithin = 700 * time.Millisecond
	readyPoll   = 20 * time.Millisecond
)

// awaitReady leaves the first connections after a start in the listener's queue until they can be served, or refused for good.
func awaitReady(t *tomb.Tomb, h *daemon.Daemon) {
	end := time.After(readyWithin)
	tick := time.NewTicker(readyPoll)
	defer tick.Stop()
	for readiness(h, &atomic.Bool{}) != "" {
		select {
		case <-t.Dying():
			return
		case <-end:
			return
		case <-tick.C:
		}
	}
}

// readiness tells why requests should be sent elsewhere, or "".
func readiness(h *daemon.Daemon, retired *atomic.Bool) string {
	if retired.Load() {
		return "draining"
	}
	var why string
	h.RouterLoop.Inspect(func(r *router.Router) { why = r.NotReady(daemon.Clock()) })
	return why
}
