package daemon

import (
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/router"
)

const prefillQueue = 64

// forwardPrefill passes a long prompt on to the owner of control state, unless that is busy: the message is worth nothing later.
func (h *Daemon) forwardPrefill(p router.Prefill) {
	select {
	case h.prefills <- p:
	default:
	}
}

// collectPrefills takes all that wait into one message.
func (h *Daemon) collectPrefills(first router.Prefill) control.Prefills {
	var ps control.Prefills
	ps.Rows = []router.Prefill{first}
	for range len(h.prefills) {
		ps.Rows = append(ps.Rows, <-h.prefills)
	}
	return ps
}
