package control

import (
	"bytes"
	"errors"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

const (
	// OperationTimeout is how long after its arrival an operator request is attempted, unless it has a deadline. Clients give up after a
	// second without a response, and a request that takes effect later could undo what the operator did through another node in the
	// meantime.
	OperationTimeout = 850 * time.Millisecond
	// timeoutPerKiB is added for each KiB of a request's body: clients wait longer for large ones.
	timeoutPerKiB = time.Millisecond
)

// Deadline returns the latest time at which a request may take effect that arrived at arrived with a body of size bytes.
func Deadline(arrived time.Duration, size int) time.Duration {
	return arrived + OperationTimeout + time.Duration(size>>10)*timeoutPerKiB
}

// submitRequest submits the change of an operator request. The proposer starts it before the request's deadline or fails it.
func (n *Node) submitRequest(now time.Duration, c Command, change register.Change, done completion) {
	n.proposer.Submit(now, requestDeadline(now, c), n.operations.addFor(now, c.ID, done), change)
}

// submitGuardedRequest is submitRequest for a change that keeps a scope guard.
func (n *Node) submitGuardedRequest(now time.Duration, c Command, change register.GuardedChange, done completion) {
	n.proposer.SubmitGuarded(now, requestDeadline(now, c), n.operations.addFor(now, c.ID, done), change)
}

// cancel cancels an operator request whose client has disconnected.
func (n *Node) cancel(now time.Duration, c Cancel) {
	if id, ok := n.operations.operationFor(c.ID); ok {
		n.proposer.Cancel(now, id)
	}
}

func requestDeadline(now time.Duration, c Command) time.Duration {
	if c.Deadline != 0 {
		return c.Deadline
	}
	return Deadline(now, 0)
}

func putChange(op Put) register.Change {
	return func(cur *register.Value) (*register.Value, error) {
		if _, done := cur.AppliedAt(op.ID); done {
			return nil, nil
		}
		if cur.Version != op.ExpectedVersion {
			return nil, cur.PutRejection(op.ExpectedVersion)
		}
		cur.Version++
		cur.Document = op.Document
		cur.LogPut(op.ID)
		return cur, nil
	}
}

func editChange(op Edit) register.Change {
	return func(cur *register.Value) (*register.Value, error) {
		if cur.AppliedEdit(op.BaseRevision, op.ID) {
			return nil, nil
		}
		body, err := op.Apply(cur.Document)
		var conflict *register.ConflictError
		if errors.As(err, &conflict) {
			return nil, cur.EditRejection(op.BaseRevision, conflict.Version)
		}
		if err != nil {
			return nil, err
		}
		if len(body) > 0 && bytes.Equal(body, cur.Document) {
			return nil, nil
		}
		cur.Version++
		cur.Document = body
		cur.LogEdit(op.BaseRevision, op.ID)
		return cur, nil
	}
}

// evacuateChange returns a change that sets its scope guard when it first reads a majority, and that is rejected if another request for the
// zone has been applied since. A request that changes nothing is logged all the same: once it is confirmed to its client, an older request
// must not take effect after it.
func evacuateChange(op Evacuate) register.GuardedChange {
	return func(cur *register.Value, guard *register.ScopeGuard) (*register.Value, error) {
		if _, done := cur.AppliedAt(op.ID); done {
			return nil, nil
		}
		guard.Set(cur, op.Zone)
		if !guard.Holds(cur, op.Zone) {
			return nil, &register.ScopeConflictError{Scope: op.Zone}
		}
		at := slices.Index(cur.EvacuatedZones, op.Zone)
		changes := (at >= 0) == op.Restore
		switch {
		case !changes:
		case op.Restore:
			cur.EvacuatedZones = slices.Delete(cur.EvacuatedZones, at, at+1)
			cur.Version++
		default:
			cur.EvacuatedZones = append(cur.EvacuatedZones, op.Zone)
			cur.Version++
		}
		cur.LogScoped(op.Zone, op.ID, changes)
		return cur, nil
	}
}
