package daemon

import (
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

const recoverEvery = 500 * time.Millisecond

func (h *Daemon) readList() error {
	rows, err := h.Settings.Platform.ListReplicas()
	h.submit(control.ListRead{Rows: rows, Err: err})
	return nil
}

// forwardReports hands the router's reports of failing replicas to control, which publishes them to the other nodes, and its requests for
// tenants' quotas, which control decides with their owners.
func (h *Daemon) forwardReports() error {
	for {
		select {
		case <-h.Tomb.Dying():
			return nil
		case f := <-h.RouterLoop.Failures:
			h.submit(control.FailuresObserved{Failures: f})
		case q := <-h.RouterLoop.QuotaRequests:
			h.submit(control.QuotaRequested{Request: q})
		}
	}
}

func (h *Daemon) persist() error {
	var repair <-chan time.Time
	for {
		select {
		case <-h.Tomb.Dying():
			return nil
		case writes := <-h.writes:
			writes = h.withQueued(writes)
			err := h.journal.Append(writes)
			h.submit(control.Persisted{Seq: writes[len(writes)-1].Seq, Err: err})
			if err != nil {
				repair = time.After(recoverEvery)
			}
		case <-repair:
			repair = time.After(recoverEvery)
			if h.journal.Recover() == nil {
				repair = nil
				h.submit(control.Persisted{Repaired: true})
			}
		}
	}
}

// withQueued adds the writes that have come meanwhile, so that one sync serves them all.
func (h *Daemon) withQueued(writes []control.LogWrite) []control.LogWrite {
	for {
		select {
		case next := <-h.writes:
			writes = append(writes, next...)
		default:
			return writes
		}
	}
}
