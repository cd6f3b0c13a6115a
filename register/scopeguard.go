package register

import "github.com/mallowbridge/mallowbridge/internal/fingerprint"

// ScopeGuard detects whether an order on a scope was applied since the guard was set. The zero ScopeGuard is not set. An operation contains
// its guard by value, so that a clone of a proposer has guards of its own.
type ScopeGuard struct {
	set           bool
	latest        OrderStamp
	appliedOrders uint64
}

// Set records the latest order of the scope, unless the guard is set already.
func (g *ScopeGuard) Set(cur *Value, scope string) {
	if g.set {
		return
	}
	*g = ScopeGuard{set: true, latest: cur.LatestOrder(scope), appliedOrders: cur.AppliedOrders}
}

// Holds reports whether no order was applied on the scope since Set. It returns false too if MaxLoggedOrders orders or more were applied, since
// the log may then have dropped one on the scope.
func (g *ScopeGuard) Holds(cur *Value, scope string) bool {
	return cur.LatestOrder(scope) == g.latest && cur.AppliedOrders-g.appliedOrders < MaxLoggedOrders
}

func (g *ScopeGuard) appendFingerprint(b []byte) []byte {
	b = append(b, fingerprint.BoolByte(g.set), fingerprint.BoolByte(g.latest.Known))
	b = append(b, g.latest.ID[:]...)
	return fingerprint.AppendUvarints(b, g.latest.Version, g.appliedOrders)
}

// GuardedChange is a Change that may run several times with the same guard. The guard is the only state that it keeps between runs.
type GuardedChange func(cur *Value, guard *ScopeGuard) (*Value, error)

// unguarded converts a change that needs no guard. It returns nil for nil.
func unguarded(change Change) GuardedChange {
	if change == nil {
		return nil
	}
	return func(cur *Value, _ *ScopeGuard) (*Value, error) { return change(cur) }
}
