package register

// Fence tells whether an order on a scope was taken since it was set. The zero Fence is not set. It is part of an operation, so that a
// copied proposer has its own.
type Fence struct {
	set    bool
	newest Stamp
	taken  uint64
}

// Set notes the newest order of the scope, unless that is noted already.
func (f *Fence) Set(cur *Value, scope string) {
	if f.set {
		return
	}
	*f = Fence{set: true, newest: cur.Newest(scope), taken: cur.Taken}
}

// Stands tells whether nothing was taken on the scope. Where so much was taken that an order may be forgotten, it falls.
func (f *Fence) Stands(cur *Value, scope string) bool {
	return cur.Newest(scope) == f.newest && cur.Taken-f.taken < KeptOrders
}

func (f *Fence) appendFingerprint(b []byte) []byte {
	b = append(b, bit(f.set), bit(f.newest.Some))
	b = append(b, f.newest.ID[:]...)
	return appendNumbers(b, f.newest.Mark, f.taken)
}

// A FencedChange is a Change that keeps a fence from one run to the next, and nothing else.
type FencedChange func(cur *Value, fence *Fence) (*Value, error)

// unfenced is a change that needs no fence; none stays none.
func unfenced(change Change) FencedChange {
	if change == nil {
		return nil
	}
	return func(cur *Value, _ *Fence) (*Value, error) { return change(cur) }
}
