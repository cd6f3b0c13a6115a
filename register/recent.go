package register

import (
	"bytes"
	"encoding/binary"
)

// Recent is the packed memory of the orders that aren't edits of the document, oldest first: changes of the product's own call by
// marks, evacuations, changes of voters. For each: its scope's hash, twice the mark that it left (plus one if it raised it) and its
// fingerprint. The list holds KeptOrders entries at most.
type Recent []byte

// A Stamp tells the newest order of a scope from any other. The zero Stamp says that none is remembered.
type Stamp struct {
	ID   Fingerprint
	Mark uint64
	Some bool
}

// scopePut holds the product's own changes of the document, scopeOther what has no scope of its own.
const (
	scopePut   = "put"
	scopeOther = ""
)

type recentOrder struct {
	scope  [scopeBytes]byte
	mark   uint64
	raised bool
	id     Fingerprint
	bytes  int
}

func scopeOf(name string) [scopeBytes]byte {
	f := FingerprintOf("scope " + name)
	var hash [scopeBytes]byte
	copy(hash[:], f[:])
	return hash
}

func (r Recent) first() (recentOrder, bool) {
	var o recentOrder
	if len(r) < scopeBytes {
		return o, false
	}
	copy(o.scope[:], r)
	packed, n := binary.Uvarint(r[scopeBytes:])
	at := scopeBytes + n
	if n <= 0 || len(r) < at+fingerprintBytes {
		return o, false
	}
	o.mark, o.raised, o.bytes = packed/2, packed%2 == 1, at+fingerprintBytes
	copy(o.id[:], r[at:])
	return o, true
}

func (r Recent) all() []recentOrder {
	var list []recentOrder
	for {
		o, ok := r.first()
		if !ok {
			return list
		}
		list = append(list, o)
		r = r[o.bytes:]
	}
}

// Len is the number of entries.
func (r Recent) Len() int { return len(r.all()) }

func (r Recent) with(scope, id string, mark uint64, raised bool) Recent {
	rest := r
	if r.Len() >= KeptOrders {
		oldest, _ := r.first()
		rest = r[oldest.bytes:]
	}
	hash, f := scopeOf(scope), FingerprintOf(id)
	packed := 2 * mark
	if raised {
		packed++
	}
	var longer Recent
	longer = append(bytes.Clone(rest), hash[:]...)
	longer = binary.AppendUvarint(longer, packed)
	return append(longer, f[:]...)
}

// Done gives the mark that the order with this id left, if it is known to have been taken.
func (v *Value) Done(id string) (uint64, bool) {
	f := FingerprintOf(id)
	for _, o := range v.Recent.all() {
		if o.id == f {
			return o.mark, true
		}
	}
	for _, o := range v.Ops {
		if o.ID == id {
			return o.Mark, true
		}
	}
	return 0, false
}

// Note remembers an order of no scope that raised the mark to its present value.
func (v *Value) Note(id string) { v.take(scopeOther, id, true) }

// TakePut remembers that the order with this id made the present document, by marks.
func (v *Value) TakePut(id string) { v.take(scopePut, id, true) }

// TakeScoped remembers an order on a scope, which raised the mark to its present value or left it as it was.
func (v *Value) TakeScoped(scope, id string, raised bool) { v.take("on "+scope, id, raised) }

func (v *Value) take(scope, id string, raised bool) {
	v.Recent = v.Recent.with(scope, id, v.Mark, raised)
	v.Taken++
	v.dropOldOp()
}

// Newest tells the newest order of a scope: another one was taken since if it differs later.
func (v *Value) Newest(scope string) Stamp {
	hash := scopeOf("on " + scope)
	var s Stamp
	for _, o := range v.Recent.all() {
		if o.scope == hash {
			s = Stamp{ID: o.id, Mark: o.mark, Some: true}
		}
	}
	return s
}

// PutRefusal is the error for a change by marks that expects a mark which isn't the current one and isn't known to have been taken.
func (v *Value) PutRefusal(expect uint64) error {
	conflict := &ConflictError{Mark: v.Mark}
	if expect >= v.Mark {
		return conflict
	}
	if oldest, ok := v.Recent.first(); ok && oldest.before() <= expect {
		return conflict
	}
	return &ForgottenError{Base: expect, Current: v.Mark}
}

// before is the mark that was current when the order was taken: all later marks were made by it or by later entries.
func (o recentOrder) before() uint64 {
	if o.raised {
		return o.mark - 1
	}
	return o.mark
}

// tookBefore looks an order up among the ids that older builds kept.
func (v *Value) tookBefore(id string) bool {
	for _, o := range v.Ops {
		if o.ID == id {
			return true
		}
	}
	return false
}

// dropOldOp lets an id that an older build kept go for each order that is taken now.
func (v *Value) dropOldOp() {
	if len(v.Ops) > 0 {
		v.Ops = v.Ops[1:]
	}
}
