package register

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// MaxLoggedOrders is the maximum number of entries of EditLog and of OrderLog. Changes are applied one after another, each in at least two
// rounds of messages, and a burst of operator requests reaches about 20 a second. Responses may be lost for 20 s, so that 400 other
// orders may have been applied before an order is sent again; 512 is the next power of two. An entry of EditLog takes 6 bytes and the
// revision (8 bytes in total below revision 16,384), so that the log takes 4 KB of each message that contains a value, and less in a fleet
// that has had fewer changes.
const MaxLoggedOrders = 512

const (
	orderHashBytes = 6
	scopeHashBytes = 4
)

// OrderHash is a short hash of an order's id. It is compared with the entries of one log only. The probability of a false match is 2^-39 for a
// comparison with a whole log of 512 orders, and 2^-48 for a comparison with the only entry of a revision.
type OrderHash [orderHashBytes]byte

// HashOrder returns the hash of an order's id.
func HashOrder(id string) OrderHash {
	digest := sha256.Sum256([]byte(id))
	var hash OrderHash
	copy(hash[:], digest[:])
	return hash
}

// EditLog is the packed log of the orders that made the last documents, oldest first. An entry consists of the revision that the order
// was based on (uvarint) and the order's hash. Revisions are strictly increasing, so that a revision has at most one entry.
type EditLog []byte

// BaseTooOldError means that an order is based on a revision (or version) that the log of applied orders no longer covers. It is therefore
// unknown whether the order was applied.
type BaseTooOldError struct {
	// Base is the revision that the order is based on, Current the current revision. For a put, both are versions of the register.
	Base, Current uint64
}

func (e *BaseTooOldError) Error() string {
	return fmt.Sprintf("the request is based on version %d, which the log of applied requests no longer covers; the current version is %d", e.Base, e.Current)
}

// ScopeConflictError means that another order on the same scope was applied after this one first read the register. This one changed
// nothing.
type ScopeConflictError struct{ Scope string }

func (e *ScopeConflictError) Error() string {
	return "another request for " + e.Scope + " was applied in the meantime, so this request changed nothing"
}

// each calls visit with each entry, oldest first, until visit returns false.
func (l EditLog) each(visit func(base uint64, hash OrderHash) bool) {
	for len(l) > 0 {
		base, n := binary.Uvarint(l)
		if n <= 0 || len(l) < n+orderHashBytes {
			return
		}
		if !visit(base, OrderHash(l[n:n+orderHashBytes])) {
			return
		}
		l = l[n+orderHashBytes:]
	}
}

// Len returns the number of entries.
func (l EditLog) Len() int {
	var n int
	l.each(func(uint64, OrderHash) bool {
		n++
		return true
	})
	return n
}

// Contains reports whether the log has an entry for the order with this id on the revision base.
func (l EditLog) Contains(base uint64, id string) bool {
	hash := HashOrder(id)
	var found bool
	l.each(func(entryBase uint64, logged OrderHash) bool {
		found = entryBase == base && hash == logged
		return !found
	})
	return found
}

// Covers reports whether the log still has all orders that were applied on the revision base and on later ones.
func (l EditLog) Covers(base uint64) bool {
	var found bool
	l.each(func(oldestBase uint64, _ OrderHash) bool {
		found = oldestBase <= base
		return false
	})
	return found
}

// with returns a copy of the log with another entry. It drops the oldest entry if there would be more than MaxLoggedOrders.
func (l EditLog) with(base uint64, id string) EditLog {
	kept := l
	if l.Len() >= MaxLoggedOrders {
		_, n := binary.Uvarint(l)
		kept = l[n+orderHashBytes:]
	}
	hash := HashOrder(id)
	longer := binary.AppendUvarint(bytes.Clone(kept), base)
	return append(longer, hash[:]...)
}

// LogEdit logs that the order with this id made the current document from the revision base.
func (v *Value) LogEdit(base uint64, id string) {
	v.EditLog = v.EditLog.with(base, id)
	v.dropLegacyOrder()
}

// AppliedEdit reports whether the order with this id, on the revision base, is known to have been applied. It also checks the ids logged by older
// builds.
func (v *Value) AppliedEdit(base uint64, id string) bool {
	return v.EditLog.Contains(base, id) || v.inLegacyOrders(id)
}

// EditRejection returns the error for an order on the revision base that can't be applied to the current revision and is not known to have been
// applied: a ConflictError if it can't have been applied, a BaseTooOldError if that is unknown.
func (v *Value) EditRejection(base, current uint64) error {
	if base >= current || v.EditLog.Covers(base) {
		return &ConflictError{Version: current}
	}
	return &BaseTooOldError{Base: base, Current: current}
}
