package daemon

import (
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

// recoverInterval is the time between two attempts to repair the journal after a failed write.
const recoverInterval = 500 * time.Millisecond

// readReplicaList reads the platform's list of replicas and passes it to the control loop.
func (d *Daemon) readReplicaList() error {
	rows, err := d.Settings.Platform.ListReplicas()
	d.submit(control.ListRead{Rows: rows, Err: err})
	return nil
}

// forwardReports passes the router's reports of failing replicas to the control loop, which publishes them to the other nodes, and its requests
// for tenants' quotas, which the control loop decides together with the owners of the quotas.
func (d *Daemon) forwardReports() error {
	for {
		select {
		case <-d.Tomb.Dying():
			return nil
		case f := <-d.RouterLoop.Failures:
			d.submit(control.FailuresObserved{Failures: f})
		case q := <-d.RouterLoop.QuotaRequests:
			d.submit(control.QuotaRequested{Request: q})
		}
	}
}

// persist appends the control loop's writes to the journal and reports when they are durable. After a failed write it tries to repair the
// journal until that succeeds.
func (d *Daemon) persist() error {
	var repair <-chan time.Time
	for {
		select {
		case <-d.Tomb.Dying():
			return nil
		case writes := <-d.writes:
			writes = d.withQueued(writes)
			err := d.journal.Append(writes)
			d.submit(control.Persisted{Seq: writes[len(writes)-1].Seq, Err: err})
			if err != nil {
				repair = time.After(recoverInterval)
			}
		case <-repair:
			repair = time.After(recoverInterval)
			if d.journal.Recover() == nil {
				repair = nil
				d.submit(control.Persisted{Repaired: true})
			}
		}
	}
}

// withQueued appends the writes that are waiting, so that one sync makes all of them durable.
func (d *Daemon) withQueued(writes []control.LogWrite) []control.LogWrite {
	for {
		select {
		case next := <-d.writes:
			writes = append(writes, next...)
		default:
			return writes
		}
	}
}
