package register

import (
	"encoding/binary"

	"github.com/gravitational/trace"
)

const (
	// MaxInlineDocument is the size up to which a document travels whole.
	MaxInlineDocument = 4 << 10
	// MaxInlineLogs is the size up to which the memory of orders does.
	MaxInlineLogs = 512
)

// Complete tells that the value has its document and its memory of orders, not manifests of them.
func (v *Value) Complete() bool { return v.DocumentManifest == nil && v.LogManifest == nil }

// OrderLogError says that bytes are no memory of orders.
type OrderLogError struct{ Bytes int }

func (*OrderLogError) Error() string { return "bad memory of orders" }

// EncodeOrderLogs is the memory of orders in one piece.
func (v *Value) EncodeOrderLogs() []byte {
	raw := binary.AppendUvarint(make([]byte, 0, len(v.EditLog)+len(v.OrderLog)+binary.MaxVarintLen64), uint64(len(v.EditLog)))
	return append(append(raw, v.EditLog...), v.OrderLog...)
}

// DecodeOrderLogs is the reverse of OrderLogs. The error is a *OrderLogError.
func (v *Value) DecodeOrderLogs(raw []byte) error {
	length, n := binary.Uvarint(raw)
	if n <= 0 || length > uint64(len(raw)-n) {
		return trace.Wrap(&OrderLogError{Bytes: len(raw)})
	}
	edits, recent := raw[n:n+int(length):n+int(length)], raw[n+int(length):]
	v.EditLog, v.OrderLog = nil, nil
	if len(edits) > 0 {
		v.EditLog = edits
	}
	if len(recent) > 0 {
		v.OrderLog = recent
	}
	return nil
}
