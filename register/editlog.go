package register

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
)

// MaxLoggedOrders bounds each of the two lists of orders in a Value. Changes are taken one after another, each in at least two rounds of
// messages, and a storm of operators takes about 20 a second; answers may be lost for 20 s. So an order that is sent again may have
// been followed by 400 others; the next power of two is kept. An entry of the documents' list takes 6 bytes and the revision (8 bytes
// below revision 16,384), so the list takes 4 KB of each message that carries a value, and less in a fleet that has seen fewer changes.
const MaxLoggedOrders = 512

const (
	fingerprintBytes = 6
	scopeBytes       = 4
)

// OrderHash is a short hash of an order's id. It is compared with the few entries of one list only; that two of 512 orders agree by
// accident has a probability of 2^-39 a comparison with the whole list, and of 2^-48 with the one entry of a revision.
type OrderHash [fingerprintBytes]byte

// HashOrder hashes an order's id.
func HashOrder(id string) OrderHash {
	sum := sha256.Sum256([]byte(id))
	var f OrderHash
	copy(f[:], sum[:])
	return f
}

// EditLog is the packed memory of the orders that made the last documents, oldest first: for each the revision that it built on
// (uvarint) and its fingerprint. Revisions rise strictly, so there is at most one entry for a revision.
type EditLog []byte

// BaseTooOldError says that an order builds on a revision that is older than the memory of orders: it may have been taken, or not.
type BaseTooOldError struct {
	// Base is the revision that the order builds on, Current the one in place.
	Base, Current uint64
}

func (*BaseTooOldError) Error() string {
	return "the order builds on a revision whose successor is no longer remembered"
}

// ScopeConflictError says that another order on the same subject was taken after this one had begun. This one changed nothing.
type ScopeConflictError struct{ Scope string }

func (e *ScopeConflictError) Error() string {
	return "another order for " + e.Scope + " was taken meanwhile and nothing was changed"
}

// each calls see with the entries, oldest first, until it returns false.
func (c EditLog) each(see func(base uint64, f OrderHash) bool) {
	for len(c) > 0 {
		base, n := binary.Uvarint(c)
		if n <= 0 || len(c) < n+fingerprintBytes {
			return
		}
		if !see(base, OrderHash(c[n:n+fingerprintBytes])) {
			return
		}
		c = c[n+fingerprintBytes:]
	}
}

// Len is the number of entries.
func (c EditLog) Len() int {
	var n int
	c.each(func(uint64, OrderHash) bool {
		n++
		return true
	})
	return n
}

// Contains tells whether the order with this id made a document on the revision base, as far as that is remembered.
func (c EditLog) Contains(base uint64, id string) bool {
	f := HashOrder(id)
	var yes bool
	c.each(func(at uint64, g OrderHash) bool {
		yes = at == base && f == g
		return !yes
	})
	return yes
}

// Covers tells whether whatever was made on the revision base, and on each later one, is remembered.
func (c EditLog) Covers(base uint64) bool {
	var yes bool
	c.each(func(oldest uint64, _ OrderHash) bool {
		yes = oldest <= base
		return false
	})
	return yes
}

// with returns the list with one entry more, the oldest one left out when there are too many. It never shares memory with c.
func (c EditLog) with(base uint64, id string) EditLog {
	rest := c
	if c.Len() >= MaxLoggedOrders {
		_, n := binary.Uvarint(c)
		rest = c[n+fingerprintBytes:]
	}
	f := HashOrder(id)
	longer := binary.AppendUvarint(bytes.Clone(rest), base)
	return append(longer, f[:]...)
}

// LogEdit remembers that the order with this id made the present document on the revision base.
func (v *Value) LogEdit(base uint64, id string) {
	v.EditLog = v.EditLog.with(base, id)
	v.dropLegacyOrder()
}

// AppliedEdit tells whether the order with this id, on the revision base, is known to have been taken. Ids that older builds kept count too.
func (v *Value) AppliedEdit(base uint64, id string) bool {
	return v.EditLog.Contains(base, id) || v.appliedBefore(id)
}

// EditRejection is the error for an order on the revision base that is not the current one and isn't known to have been taken: a
// ConflictError where it can't have been taken, a ForgottenError where that isn't known.
func (v *Value) EditRejection(base, current uint64) error {
	if base >= current || v.EditLog.Covers(base) {
		return &ConflictError{Version: current}
	}
	return &BaseTooOldError{Base: base, Current: current}
}
