package register

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

// promiseTo passes a proposer the promises of all three disks, which have accepted v.
func promiseTo(p *Proposer, requestID uint64, v *Value) {
	for _, disk := range []string{"a", "b", "c"} {
		p.OnPromise(0, Promise{RequestID: requestID, Disk: disk, OK: true, Accepted: Ballot{N: uint64(v.AppliedOrders), By: "x"}, Value: v})
	}
}

func guardedOn(scope string) GuardedChange {
	return func(cur *Value, guard *ScopeGuard) (*Value, error) {
		guard.Set(cur, scope)
		if !guard.Holds(cur, scope) {
			return nil, &ScopeConflictError{Scope: scope}
		}
		cur.LogScoped(scope, "mine", false)
		return cur, nil
	}
}

// Two clones of a proposer read different values. Each sets only its own guard and must not be affected by that of the other.
func TestProposerClonesHaveTheirOwnGuards(t *testing.T) {
	first := &Value{Fleet: "f", Voters: []Voter{{Disk: "a"}, {Disk: "b"}, {Disk: "c"}}}
	later := first.Clone()
	later.LogScoped("z", "theirs", false)
	p := NewProposer("p", 1).Clone()
	p.LearnVoters(first)
	p.SubmitGuarded(0, time.Hour, 1, guardedOn("z"))
	sends, _ := p.TakeOutput()
	requestID := sends[0].Msg.(Prepare).RequestID
	early, late := p.Clone(), p.Clone()
	promiseTo(early, requestID, first)
	if bytes.Equal(early.current.appendFingerprint(nil), p.current.appendFingerprint(nil)) {
		t.Error("the fingerprint does not include the guard")
	}
	promiseTo(late, requestID, later)
	if late.phase != accepting {
		t.Error("a clone uses the guard of another")
	}
	early.FireTimer()
	early.FireTimer()
	sends, _ = early.TakeOutput()
	promiseTo(early, sends[len(sends)-1].Msg.(Prepare).RequestID, later)
	_, results := early.TakeOutput()
	var conflict *ScopeConflictError
	if len(results) != 1 || !errors.As(results[0].Err, &conflict) {
		t.Errorf("the guard did not detect the other order: %+v", results)
	}
}
