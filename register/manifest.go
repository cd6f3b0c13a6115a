package register

import (
	"encoding/binary"
	"fmt"

	"github.com/gravitational/trace"
)

const (
	// MaxInlineDocument is the maximum size in bytes of a document that is sent in a message without a manifest.
	MaxInlineDocument = 4 << 10
	// MaxInlineLogs is the same for the encoded order logs.
	MaxInlineLogs = 512
)

// Complete reports whether the value has its document and its order logs, not manifests of them.
func (v *Value) Complete() bool { return v.DocumentManifest == nil && v.LogManifest == nil }

// OrderLogError means that Bytes bytes are not a valid encoding of EditLog and OrderLog.
type OrderLogError struct{ Bytes int }

func (e *OrderLogError) Error() string {
	return fmt.Sprintf("the order logs (%d bytes) have an invalid encoding", e.Bytes)
}

// EncodeOrderLogs returns EditLog, preceded by its length as a uvarint, and OrderLog as one byte slice.
func (v *Value) EncodeOrderLogs() []byte {
	raw := binary.AppendUvarint(make([]byte, 0, len(v.EditLog)+len(v.OrderLog)+binary.MaxVarintLen64), uint64(len(v.EditLog)))
	return append(append(raw, v.EditLog...), v.OrderLog...)
}

// DecodeOrderLogs sets EditLog and OrderLog from the result of EncodeOrderLogs, whose memory they share. The error is a *OrderLogError.
func (v *Value) DecodeOrderLogs(raw []byte) error {
	length, n := binary.Uvarint(raw)
	if n <= 0 || length > uint64(len(raw)-n) {
		return trace.Wrap(&OrderLogError{Bytes: len(raw)})
	}
	edits, orders := raw[n:n+int(length):n+int(length)], raw[n+int(length):]
	v.EditLog, v.OrderLog = nil, nil
	if len(edits) > 0 {
		v.EditLog = edits
	}
	if len(orders) > 0 {
		v.OrderLog = orders
	}
	return nil
}
