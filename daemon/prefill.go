package daemon

import (
	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/control"
)

const prefillQueue = 64

// placed passes a long prompt on to the owner of control state, unless that is busy: the news are worth nothing later.
func (h *Daemon) placed(p mallowbridge.Prefill) {
	select {
	case h.prefills <- p:
	default:
	}
}

// gather takes all that wait into one message.
func (h *Daemon) gather(first mallowbridge.Prefill) (ps control.Prefills) {
	ps.Rows = []mallowbridge.Prefill{first}
	for range len(h.prefills) {
		ps.Rows = append(ps.Rows, <-h.prefills)
	}
	return ps
}
