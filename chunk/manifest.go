package chunk

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/gravitational/trace"
)

// NameBytes is the length of a chunk's name.
const NameBytes = 16

// MaxDocument bounds the size in bytes of a document that a manifest may describe.
const MaxDocument = 4 << 20

// Name is the first 128 bits of the SHA-256 of a chunk.
type Name [NameBytes]byte

// NameOf names a chunk.
func NameOf(data []byte) Name {
	sum := sha256.Sum256(data)
	return Name(sum[:NameBytes])
}

// segmentMost is the most chunks that a segment names; it ends early after a name whose first byte has the low bits clear, on average
// after 32.
const (
	segmentMost = 64
	segmentMask = 1<<5 - 1
)

// Manifest stands for a document: its size in bytes, and the names of its segments, joined in order. A segment is the joined names of
// consecutive chunks; it is fetched by its name as chunks are, so that a manifest is small and a change costs one or two segments. Fresh
// are chunks that come with a message, as the receiver probably lacks them. The fields are part of the format between nodes.
type Manifest struct {
	Size     int
	Segments []byte
	Fresh    [][]byte
}

// ManifestError says that a manifest describes no document.
type ManifestError struct{ Cause error }

func (e *ManifestError) Error() string { return "bad manifest: " + e.Cause.Error() }

// Check returns a *ManifestError where the manifest can't describe a document.
func (m *Manifest) Check() error {
	count := len(m.Segments) / NameBytes
	switch {
	case len(m.Segments)%NameBytes != 0:
		return trace.Wrap(&ManifestError{Cause: fmt.Errorf("%d bytes of names", len(m.Segments))})
	case m.Size < 1 || m.Size > MaxDocument:
		return trace.Wrap(&ManifestError{Cause: fmt.Errorf("%d bytes in all", m.Size)})
	case m.Size < count || m.Size > count*segmentMost*MaxChunk:
		return trace.Wrap(&ManifestError{Cause: fmt.Errorf("%d bytes in %d segments", m.Size, count)})
	}
	return nil
}

// Unwrap gives the cause.
func (e *ManifestError) Unwrap() error { return e.Cause }

// Key is the same for manifests that are the same.
func (m *Manifest) Key() Name {
	size := binary.BigEndian.AppendUint64(nil, uint64(m.Size))
	return NameOf(append(size, m.Segments...))
}

// splitNames divides joined names.
func splitNames(joined []byte) []Name {
	names := make([]Name, 0, len(joined)/NameBytes)
	for ; len(joined) >= NameBytes; joined = joined[NameBytes:] {
		names = append(names, Name(joined))
	}
	return names
}

// segments divides the joined names of chunks.
func segments(joined []byte) [][]byte {
	from := 0
	var parts [][]byte
	for at := 0; at < len(joined); at += NameBytes {
		end := at + NameBytes
		if joined[at]&segmentMask == 0 || end-from == segmentMost*NameBytes || end == len(joined) {
			parts = append(parts, joined[from:end])
			from = end
		}
	}
	return parts
}

// Equal tells whether two manifests are the same.
func (m *Manifest) Equal(other *Manifest) bool {
	return m.Size == other.Size && bytes.Equal(m.Segments, other.Segments)
}
