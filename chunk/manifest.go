package chunk

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/gravitational/trace"
)

// NameBytes is the length of a Name.
const NameBytes = 16

// MaxDocument is the maximum size in bytes of a document that a manifest or a delta may describe.
const MaxDocument = 4 << 20

// Name identifies a chunk or a segment: the first 128 bits of the SHA-256 hash of its bytes.
type Name [NameBytes]byte

// NameOf returns the name of a chunk or a segment.
func NameOf(data []byte) Name {
	sum := sha256.Sum256(data)
	return Name(sum[:NameBytes])
}

// A segment lists at most maxSegmentChunks chunks. It ends earlier after a name whose first byte is zero under segmentMask, on average after 32
// names, so that inserting a chunk changes only one or two segments.
const (
	maxSegmentChunks = 64
	segmentMask      = 1<<5 - 1
)

// Manifest describes a document in a message. Its fields are part of the format between nodes.
//
// A segment is the concatenated names of consecutive chunks. Segments are fetched by name like chunks, so that a manifest is small and a
// change of the document costs one or two segments.
type Manifest struct {
	// Size is the size of the document in bytes.
	Size int
	// Segments are the concatenated names of the document's segments, in order.
	Segments []byte
	// Fresh are segments and chunks that are sent along because the receiver probably lacks them.
	Fresh [][]byte
}

// ManifestError means that a manifest is invalid.
type ManifestError struct{ Cause error }

func (e *ManifestError) Error() string { return "bad manifest: " + e.Cause.Error() }

// Check returns a *ManifestError if no document can have this manifest.
func (m *Manifest) Check() error {
	count := len(m.Segments) / NameBytes
	switch {
	case len(m.Segments)%NameBytes != 0:
		return trace.Wrap(&ManifestError{Cause: fmt.Errorf("segment names have %d bytes, which is not a multiple of %d", len(m.Segments), NameBytes)})
	case m.Size < 1 || m.Size > MaxDocument:
		return trace.Wrap(&ManifestError{Cause: fmt.Errorf("document size of %d bytes: must be 1 to %d", m.Size, MaxDocument)})
	case m.Size < count || m.Size > count*maxSegmentChunks*MaxChunk:
		return trace.Wrap(&ManifestError{Cause: fmt.Errorf("document size of %d bytes is impossible with %d segments", m.Size, count)})
	}
	return nil
}

// Unwrap returns the cause.
func (e *ManifestError) Unwrap() error { return e.Cause }

// Key identifies the manifest: it is the hash of the fields that Equal compares.
func (m *Manifest) Key() Name {
	size := binary.BigEndian.AppendUint64(nil, uint64(m.Size))
	return NameOf(append(size, m.Segments...))
}

// splitNames splits concatenated names.
func splitNames(joined []byte) []Name {
	names := make([]Name, 0, len(joined)/NameBytes)
	for ; len(joined) >= NameBytes; joined = joined[NameBytes:] {
		names = append(names, Name(joined))
	}
	return names
}

// splitSegments splits the concatenated names of chunks into segments.
func splitSegments(joined []byte) [][]byte {
	start := 0
	var segments [][]byte
	for offset := 0; offset < len(joined); offset += NameBytes {
		end := offset + NameBytes
		if joined[offset]&segmentMask == 0 || end-start == maxSegmentChunks*NameBytes || end == len(joined) {
			segments = append(segments, joined[start:end])
			start = end
		}
	}
	return segments
}

// Equal reports whether two manifests describe the same document in the same segments. It ignores Fresh.
func (m *Manifest) Equal(other *Manifest) bool {
	return m.Size == other.Size && bytes.Equal(m.Segments, other.Segments)
}
