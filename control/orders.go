package control

import (
	"bytes"
	"errors"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

const (
	// OperationTimeout is how long an operator's call is tried after it arrived, where it says nothing else: callers leave after a second without
	// an answer, and what takes effect later could undo what they ordered elsewhere since.
	OperationTimeout = 850 * time.Millisecond
	// timeoutPerKiB is added for each KiB of a call's body: callers wait longer for large ones.
	timeoutPerKiB = time.Millisecond
)

// Deadline is when a call that arrived at arrived, with a body of size bytes, may last take effect.
func Deadline(arrived time.Duration, size int) time.Duration {
	return arrived + OperationTimeout + time.Duration(size>>10)*timeoutPerKiB
}

// order proposes an operator's order, to be offered before its deadline or not at all; the proposer ends what comes too late.
func (n *Node) order(now time.Duration, c Command, change register.Change, done completion) {
	n.proposer.Submit(now, orderUntil(now, c), n.operations.addFor(now, c.ID, done), change)
}

// fencedOrder is order for a change that keeps a fence.
func (n *Node) fencedOrder(now time.Duration, c Command, change register.GuardedChange, done completion) {
	n.proposer.SubmitGuarded(now, orderUntil(now, c), n.operations.addFor(now, c.ID, done), change)
}

// cancel ends an order whose caller has left.
func (n *Node) cancel(now time.Duration, c Cancel) {
	if id, ok := n.operations.of(c.ID); ok {
		n.proposer.Cancel(now, id)
	}
}

func orderUntil(now time.Duration, c Command) time.Duration {
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
		if cur.AppliedEdit(op.BaseVersion, op.ID) {
			return nil, nil
		}
		body, err := op.Apply(cur.Document)
		var conflict *register.ConflictError
		if errors.As(err, &conflict) {
			return nil, cur.EditRejection(op.BaseVersion, conflict.Version)
		}
		if err != nil {
			return nil, err
		}
		if len(body) > 0 && bytes.Equal(body, cur.Document) {
			return nil, nil
		}
		cur.Version++
		cur.Document = body
		cur.LogEdit(op.BaseVersion, op.ID)
		return cur, nil
	}
}

// evacuateChange sets a fence at its first reading of a majority, and is refused once another order on the zone was taken. An order that
// changes nothing is remembered all the same: whoever heard that it was confirmed must not be overtaken by an older one.
func evacuateChange(op Evacuate) register.GuardedChange {
	return func(cur *register.Value, fence *register.ScopeGuard) (*register.Value, error) {
		if _, done := cur.AppliedAt(op.ID); done {
			return nil, nil
		}
		fence.Set(cur, op.Zone)
		if !fence.Holds(cur, op.Zone) {
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
