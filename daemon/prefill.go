package daemon

import (
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/router"
)

// prefillQueueLength is the maximum number of prefill reports that wait for the control loop.
const prefillQueueLength = 64

// forwardPrefill passes the router's report of a long prompt to the control loop, which sends it to the other nodes. If the queue is full, the
// report is dropped, because a delayed report is useless.
func (d *Daemon) forwardPrefill(p router.Prefill) {
	select {
	case d.prefills <- p:
	default:
	}
}

// collectPrefills returns one message with the first report and all others that are waiting.
func (d *Daemon) collectPrefills(first router.Prefill) control.Prefills {
	var ps control.Prefills
	ps.Rows = []router.Prefill{first}
	for range len(d.prefills) {
		ps.Rows = append(ps.Rows, <-d.prefills)
	}
	return ps
}
