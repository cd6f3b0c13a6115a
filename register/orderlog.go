package register

import (
	"bytes"
	"encoding/binary"
)

// OrderLog is the packed log of the orders that are not in EditLog, oldest first: puts of a document by version, evacuations, and changes of
// voters. An entry consists of the hash of the order's scope, twice the version after the order (plus one if the order raised the
// version), and the order's hash. There are at most MaxLoggedOrders entries.
type OrderLog []byte

// OrderStamp identifies the latest order of a scope. The zero OrderStamp means that the log has none.
type OrderStamp struct {
	ID      OrderHash
	Version uint64
	Known   bool
}

// scopePut is the scope of puts of a document, scopeOther the scope of orders that have none of their own.
const (
	scopePut   = "put"
	scopeOther = ""
)

// loggedOrder is a decoded entry of an OrderLog.
type loggedOrder struct {
	scope   [scopeHashBytes]byte
	version uint64
	// raised means that the order raised the version, to version.
	raised bool
	id     OrderHash
	// bytes is the length of the encoded entry.
	bytes int
}

// hashScope returns the hash of a scope's name.
func hashScope(name string) [scopeHashBytes]byte {
	orderHash := HashOrder("scope " + name)
	var scopeHash [scopeHashBytes]byte
	copy(scopeHash[:], orderHash[:])
	return scopeHash
}

// first decodes the oldest entry. It returns false if there is none or the log is damaged.
func (l OrderLog) first() (loggedOrder, bool) {
	var o loggedOrder
	if len(l) < scopeHashBytes {
		return o, false
	}
	copy(o.scope[:], l)
	packed, n := binary.Uvarint(l[scopeHashBytes:])
	at := scopeHashBytes + n
	if n <= 0 || len(l) < at+orderHashBytes {
		return o, false
	}
	o.version, o.raised, o.bytes = packed/2, packed%2 == 1, at+orderHashBytes
	copy(o.id[:], l[at:])
	return o, true
}

func (l OrderLog) all() []loggedOrder {
	var list []loggedOrder
	for {
		o, ok := l.first()
		if !ok {
			return list
		}
		list = append(list, o)
		l = l[o.bytes:]
	}
}

// Len returns the number of entries.
func (l OrderLog) Len() int { return len(l.all()) }

// with returns a copy of the log with another entry. It drops the oldest entry if there would be more than MaxLoggedOrders.
func (l OrderLog) with(scope, id string, version uint64, raised bool) OrderLog {
	kept := l
	if l.Len() >= MaxLoggedOrders {
		oldest, _ := l.first()
		kept = l[oldest.bytes:]
	}
	scopeHash, orderHash := hashScope(scope), HashOrder(id)
	packed := 2 * version
	if raised {
		packed++
	}
	var longer OrderLog
	longer = append(bytes.Clone(kept), scopeHash[:]...)
	longer = binary.AppendUvarint(longer, packed)
	return append(longer, orderHash[:]...)
}

// AppliedAt returns the version after the order with this id and true, if the order is known to have been applied.
func (v *Value) AppliedAt(id string) (uint64, bool) {
	orderHash := HashOrder(id)
	for _, o := range v.OrderLog.all() {
		if o.id == orderHash {
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

// LogUnscoped logs an order without a scope that raised the version to its current value.
func (v *Value) LogUnscoped(id string) { v.logOrder(scopeOther, id, true) }

// LogPut logs that the order with this id put the current document and raised the version.
func (v *Value) LogPut(id string) { v.logOrder(scopePut, id, true) }

// LogScoped logs an order on a scope. raised says whether the order raised the version to its current value or left it unchanged.
func (v *Value) LogScoped(scope, id string, raised bool) { v.logOrder("on "+scope, id, raised) }

func (v *Value) logOrder(scope, id string, raised bool) {
	v.OrderLog = v.OrderLog.with(scope, id, v.Version, raised)
	v.AppliedOrders++
	v.dropLegacyOrder()
}

// LatestOrder returns the latest order of a scope. If a later call returns another one, an order on the scope was applied in between.
func (v *Value) LatestOrder(scope string) OrderStamp {
	scopeHash := hashScope("on " + scope)
	var s OrderStamp
	for _, o := range v.OrderLog.all() {
		if o.scope == scopeHash {
			s = OrderStamp{ID: o.id, Version: o.version, Known: true}
		}
	}
	return s
}

// PutRejection returns the error for a put that expects another version than the current one and is not known to have been applied: a
// ConflictError if it can't have been applied, a BaseTooOldError if that is unknown.
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

// versionBefore returns the version before the order was applied. All later versions were made by this order or by later entries.
func (o loggedOrder) versionBefore() uint64 {
	if o.raised {
		return o.version - 1
	}
	return o.version
}

// inLegacyOrders reports whether an older build logged an order with this id.
func (v *Value) inLegacyOrders(id string) bool {
	for _, o := range v.LegacyOrders {
		if o.ID == id {
			return true
		}
	}
	return false
}

// dropLegacyOrder removes the oldest legacy order. It is called for each order that is applied, so that all legacy orders are gone in the end.
func (v *Value) dropLegacyOrder() {
	if len(v.LegacyOrders) > 0 {
		v.LegacyOrders = v.LegacyOrders[1:]
	}
}
