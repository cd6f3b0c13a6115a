package register

import (
	"encoding/binary"

	"github.com/gravitational/trace"
)

const (
	// WholeBytes is the size up to which a document travels whole.
	WholeBytes = 4 << 10
	// WholeMemory is the size up to which the memory of orders does.
	WholeMemory = 512
)

// Whole tells that the value has its document and its memory of orders, not manifests of them.
func (v *Value) Whole() bool { return v.Parts == nil && v.Orders == nil }

// MemoryError says that bytes are no memory of orders.
type MemoryError struct{ Bytes int }

func (e *MemoryError) Error() string { return "bad memory of orders" }

// Memory is the memory of orders in one piece.
func (v *Value) Memory() []byte {
	raw := binary.AppendUvarint(make([]byte, 0, len(v.Edits)+len(v.Recent)+binary.MaxVarintLen64), uint64(len(v.Edits)))
	return append(append(raw, v.Edits...), v.Recent...)
}

// SetMemory is the reverse of Memory. The error is a *MemoryError.
func (v *Value) SetMemory(raw []byte) error {
	length, n := binary.Uvarint(raw)
	if n <= 0 || length > uint64(len(raw)-n) {
		return trace.Wrap(&MemoryError{Bytes: len(raw)})
	}
	edits, recent := raw[n:n+int(length):n+int(length)], raw[n+int(length):]
	v.Edits, v.Recent = nil, nil
	if len(edits) > 0 {
		v.Edits = edits
	}
	if len(recent) > 0 {
		v.Recent = recent
	}
	return nil
}
