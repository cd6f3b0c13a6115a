package register

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

// promiseTo answers the prepare that the proposer has just sent to a disk.
func promiseTo(p *Proposer, requestID uint64, v *Value) {
	for _, disk := range []string{"a", "b", "c"} {
		p.OnPromise(0, Promise{RequestID: requestID, Disk: disk, OK: true, Accepted: Ballot{N: uint64(v.AppliedOrders), By: "x"}, Value: v})
	}
}

func fencedOn(scope string) GuardedChange {
	return func(cur *Value, fence *ScopeGuard) (*Value, error) {
		fence.Set(cur, scope)
		if !fence.Holds(cur, scope) {
			return nil, &ScopeConflictError{Scope: scope}
		}
		cur.LogScoped(scope, "mine", false)
		return cur, nil
	}
}

// What one copy read sets its own fence only: the first read one value and the copy another, and each goes by its own.
func TestProposerClonesHaveTheirOwnFences(t *testing.T) {
	first := &Value{Fleet: "f", Voters: []Voter{{Disk: "a"}, {Disk: "b"}, {Disk: "c"}}}
	later := first.Clone()
	later.LogScoped("z", "theirs", false)
	p := NewProposer("p", 1).Clone()
	p.LearnVoters(first)
	p.SubmitGuarded(0, time.Hour, 1, fencedOn("z"))
	sends, _ := p.TakeOutput()
	requestID := sends[0].Msg.(Prepare).RequestID
	early, overdue := p.Clone(), p.Clone()
	promiseTo(early, requestID, first)
	if bytes.Equal(early.current.appendFingerprint(nil), p.current.appendFingerprint(nil)) {
		t.Error("a fence doesn't show in the fingerprint")
	}
	promiseTo(overdue, requestID, later)
	if overdue.phase != accepting {
		t.Error("a copy regards the fence of another")
	}
	early.FireTimer()
	early.FireTimer()
	sends, _ = early.TakeOutput()
	promiseTo(early, sends[len(sends)-1].Msg.(Prepare).RequestID, later)
	_, results := early.TakeOutput()
	var fenced *ScopeConflictError
	if len(results) != 1 || !errors.As(results[0].Err, &fenced) {
		t.Errorf("an order was taken behind the fence: %+v", results)
	}
}
