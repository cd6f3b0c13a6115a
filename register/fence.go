package register

import "github.com/mallowbridge/mallowbridge/internal/fingerprint"

// ScopeGuard tells whether an order on a scope was taken since it was set. The zero ScopeGuard is not set. It is part of an operation, so that a
// copied proposer has its own.
type ScopeGuard struct {
	set           bool
	latest        OrderStamp
	appliedOrders uint64
}

// Set notes the newest order of the scope, unless that is noted already.
func (f *ScopeGuard) Set(cur *Value, scope string) {
	if f.set {
		return
	}
	*f = ScopeGuard{set: true, latest: cur.LatestOrder(scope), appliedOrders: cur.AppliedOrders}
}

// Holds tells whether nothing was taken on the scope. Where so much was taken that an order may be forgotten, it falls.
func (f *ScopeGuard) Holds(cur *Value, scope string) bool {
	return cur.LatestOrder(scope) == f.latest && cur.AppliedOrders-f.appliedOrders < MaxLoggedOrders
}

func (f *ScopeGuard) appendFingerprint(b []byte) []byte {
	b = append(b, fingerprint.BoolByte(f.set), fingerprint.BoolByte(f.latest.Known))
	b = append(b, f.latest.ID[:]...)
	return fingerprint.AppendUvarints(b, f.latest.Version, f.appliedOrders)
}

// A GuardedChange is a Change that keeps a fence from one run to the next, and nothing else.
type GuardedChange func(cur *Value, fence *ScopeGuard) (*Value, error)

// unfenced is a change that needs no fence; none stays none.
func unfenced(change Change) GuardedChange {
	if change == nil {
		return nil
	}
	return func(cur *Value, _ *ScopeGuard) (*Value, error) { return change(cur) }
}
