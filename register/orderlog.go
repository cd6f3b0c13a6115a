package register

import (
	"bytes"
	"encoding/binary"
)

// OrderLog is the packed memory of the orders that aren't edits of the document, oldest first: changes of the product's own call by
// versions, evacuations, changes of voters. For each: its scope's hash, twice the version that it left (plus one if it raised it) and its
// fingerprint. The list holds KeptOrders entries at most.
type OrderLog []byte

// An OrderStamp tells the newest order of a scope from any other. The zero OrderStamp says that none is remembered.
type OrderStamp struct {
	ID      OrderHash
	Version uint64
	Known   bool
}

// scopePut holds the product's own changes of the document, scopeOther what has no scope of its own.
const (
	scopePut   = "put"
	scopeOther = ""
)

type loggedOrder struct {
	scope   [scopeBytes]byte
	version uint64
	raised  bool
	id      OrderHash
	bytes   int
}

func scopeOf(name string) [scopeBytes]byte {
	f := HashOrder("scope " + name)
	var hash [scopeBytes]byte
	copy(hash[:], f[:])
	return hash
}

func (r OrderLog) first() (loggedOrder, bool) {
	var o loggedOrder
	if len(r) < scopeBytes {
		return o, false
	}
	copy(o.scope[:], r)
	packed, n := binary.Uvarint(r[scopeBytes:])
	at := scopeBytes + n
	if n <= 0 || len(r) < at+fingerprintBytes {
		return o, false
	}
	o.version, o.raised, o.bytes = packed/2, packed%2 == 1, at+fingerprintBytes
	copy(o.id[:], r[at:])
	return o, true
}

func (r OrderLog) all() []loggedOrder {
	var list []loggedOrder
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
func (r OrderLog) Len() int { return len(r.all()) }

func (r OrderLog) with(scope, id string, version uint64, raised bool) OrderLog {
	rest := r
	if r.Len() >= MaxLoggedOrders {
		oldest, _ := r.first()
		rest = r[oldest.bytes:]
	}
	hash, f := scopeOf(scope), HashOrder(id)
	packed := 2 * version
	if raised {
		packed++
	}
	var longer OrderLog
	longer = append(bytes.Clone(rest), hash[:]...)
	longer = binary.AppendUvarint(longer, packed)
	return append(longer, f[:]...)
}

// AppliedAt gives the version that the order with this id left, if it is known to have been taken.
func (v *Value) AppliedAt(id string) (uint64, bool) {
	f := HashOrder(id)
	for _, o := range v.OrderLog.all() {
		if o.id == f {
			return o.version, true
		}
	}
	for _, o := range v.LegacyOrders {
		if o.ID == id {
			return o.Version, true
		}
	}
	return 0, false
}

// LogUnscoped remembers an order of no scope that raised the version to its present value.
func (v *Value) LogUnscoped(id string) { v.logOrder(scopeOther, id, true) }

// LogPut remembers that the order with this id made the present document, by versions.
func (v *Value) LogPut(id string) { v.logOrder(scopePut, id, true) }

// LogScoped remembers an order on a scope, which raised the version to its present value or left it as it was.
func (v *Value) LogScoped(scope, id string, raised bool) { v.logOrder("on "+scope, id, raised) }

func (v *Value) logOrder(scope, id string, raised bool) {
	v.OrderLog = v.OrderLog.with(scope, id, v.Version, raised)
	v.AppliedOrders++
	v.dropLegacyOrder()
}

// LatestOrder tells the newest order of a scope: another one was taken since if it differs later.
func (v *Value) LatestOrder(scope string) OrderStamp {
	hash := scopeOf("on " + scope)
	var s OrderStamp
	for _, o := range v.OrderLog.all() {
		if o.scope == hash {
			s = OrderStamp{ID: o.id, Version: o.version, Known: true}
		}
	}
	return s
}

// PutRejection is the error for a change by versions that expects a version which isn't the current one and isn't known to have been taken.
func (v *Value) PutRejection(expect uint64) error {
	conflict := &ConflictError{Version: v.Version}
	if expect >= v.Version {
		return conflict
	}
	if oldest, ok := v.OrderLog.first(); ok && oldest.versionBefore() <= expect {
		return conflict
	}
	return &BaseTooOldError{Base: expect, Current: v.Version}
}

// versionBefore is the version that was current when the order was taken: all later versions were made by it or by later entries.
func (o loggedOrder) versionBefore() uint64 {
	if o.raised {
		return o.version - 1
	}
	return o.version
}

// appliedBefore looks an order up among the ids that older builds kept.
func (v *Value) appliedBefore(id string) bool {
	for _, o := range v.LegacyOrders {
		if o.ID == id {
			return true
		}
	}
	return false
}

// dropLegacyOrder lets an id that an older build kept go for each order that is taken now.
func (v *Value) dropLegacyOrder() {
	if len(v.LegacyOrders) > 0 {
		v.LegacyOrders = v.LegacyOrders[1:]
	}
}
