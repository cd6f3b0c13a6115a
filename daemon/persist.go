package daemon

import (
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

const mendEvery = 500 * time.Millisecond

func (h *Daemon) list() (err error) {
	rows, err := h.S.Host.List()
	h.submit(control.ListRead{Rows: rows, Err: err})
	return nil
}

// failures hands what the market says of failing replicas to control, which tells the other nodes.
func (h *Daemon) failures() (err error) {
	for {
		select {
		case <-h.T.Dying():
			return nil
		case f := <-h.Desk.Failures:
			h.submit(control.Failed{Failures: f})
		}
	}
}

func (h *Daemon) persist() (err error) {
	var mend <-chan time.Time
	for {
		select {
		case <-h.T.Dying():
			return nil
		case ws := <-h.writes:
			for more := true; more; {
				select {
				case next := <-h.writes:
					ws = append(ws, next...)
				default:
					more = false
				}
			}
			err := h.journal.Append(ws)
			h.submit(control.Persisted{Ticket: ws[len(ws)-1].Ticket, Err: err})
			if err != nil {
				mend = time.After(mendEvery)
			}
		case <-mend:
			mend = time.After(mendEvery)
			if h.journal.Recover() == nil {
				mend = nil
				h.submit(control.Persisted{Mended: true})
			}
		}
	}
}
