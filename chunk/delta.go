package chunk

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/gravitational/trace"
)

// The causes of a DeltaError, in addition to a part outside the base.
var (
	ErrWrongBase    = errors.New("the base does not have the hash that the delta requires")
	ErrTooLong      = errors.New("the document is longer than the maximum")
	ErrHashMismatch = errors.New("the result does not have the hash that the delta states")
)

// Delta describes a document by its differences from another document, the base: it contains the bytes that the base lacks, and the positions in
// the base of the other bytes. Apply does not depend on where Split cuts. The fields are part of the format on disk.
type Delta struct {
	// Base and Sum are the hashes (NameOf) of the base and of the document.
	Base []byte
	Sum  []byte
	// Parts make up the document, in order.
	Parts []Part
}

// Part is the next bytes of a document: New if it is not empty, otherwise Length bytes of the base at offset From.
type Part struct {
	From, Length int
	New          []byte
}

// DeltaError means that a delta can't be applied.
type DeltaError struct{ Cause error }

func (e *DeltaError) Error() string { return "bad delta: " + e.Cause.Error() }

// hashOf returns the hash of a document.
func hashOf(body []byte) []byte {
	name := NameOf(body)
	return name[:]
}

// Unwrap returns the cause.
func (e *DeltaError) Unwrap() error { return e.Cause }

// Index holds the offsets of a document's chunks, in order to compute deltas from it.
type Index struct {
	body    []byte
	hash    []byte
	offsets map[Name]int
}

// NewIndex returns the index of a document, which must not change afterwards.
func NewIndex(body []byte) *Index {
	x := &Index{body: body, hash: hashOf(body), offsets: map[Name]int{}}
	offset := 0
	for _, data := range Split(body) {
		x.offsets[NameOf(data)] = offset
		offset += len(data)
	}
	return x
}

// SameDocument reports whether body is the same memory as the index's document.
func (x *Index) SameDocument(body []byte) bool {
	return len(x.body) == len(body) && (len(body) == 0 || &x.body[0] == &body[0])
}

// Diff returns the delta from the index's document to next, and the index of next.
func (x *Index) Diff(next []byte) (Delta, *Index) {
	if x.SameDocument(next) {
		return Delta{Base: x.hash, Sum: x.hash, Parts: []Part{{Length: len(next)}}}, x
	}
	nextIndex := &Index{body: next, hash: hashOf(next), offsets: map[Name]int{}}
	d := Delta{Base: x.hash, Sum: nextIndex.hash}
	offset := 0
	for _, data := range Split(next) {
		name := NameOf(data)
		nextIndex.offsets[name] = offset
		offset += len(data)
		from, inBase := x.offsets[name]
		if !inBase {
			d.appendNew(next[:offset], len(data))
			continue
		}
		d.appendCopied(from, len(data))
	}
	return d, nextIndex
}

// appendNew appends the last length bytes of read as new bytes, merged with the previous part if that is new bytes too.
func (d *Delta) appendNew(read []byte, length int) {
	if last := len(d.Parts) - 1; last >= 0 && len(d.Parts[last].New) > 0 {
		d.Parts[last].New = read[len(read)-length-len(d.Parts[last].New):]
		return
	}
	d.Parts = append(d.Parts, Part{New: read[len(read)-length:]})
}

// appendCopied appends bytes of the base, merged with the previous part if that ends where they begin.
func (d *Delta) appendCopied(from, length int) {
	if last := len(d.Parts) - 1; last >= 0 && len(d.Parts[last].New) == 0 && d.Parts[last].From+d.Parts[last].Length == from {
		d.Parts[last].Length += length
		return
	}
	d.Parts = append(d.Parts, Part{From: from, Length: length})
}

// Apply returns the document that the delta describes. The error is a *DeltaError if the base is not the delta's, a part lies outside it, the
// document would exceed MaxDocument, or the result does not have the hash Sum.
func (d Delta) Apply(base []byte) ([]byte, error) {
	if !bytes.Equal(d.Base, hashOf(base)) {
		return nil, trace.Wrap(&DeltaError{Cause: ErrWrongBase})
	}
	size := 0
	for i, p := range d.Parts {
		if p.From < 0 || p.Length < 0 || p.From > len(base) || p.Length > len(base)-p.From {
			return nil, trace.Wrap(&DeltaError{Cause: fmt.Errorf("part %d, %d bytes at offset %d, lies outside the base of %d bytes", i, p.Length, p.From, len(base))})
		}
		if size += len(p.New) + p.Length; size > MaxDocument {
			return nil, trace.Wrap(&DeltaError{Cause: ErrTooLong})
		}
	}
	next := make([]byte, 0, size)
	for _, p := range d.Parts {
		if len(p.New) > 0 {
			next = append(next, p.New...)
			continue
		}
		next = append(next, base[p.From:p.From+p.Length]...)
	}
	if !bytes.Equal(d.Sum, hashOf(next)) {
		return nil, trace.Wrap(&DeltaError{Cause: ErrHashMismatch})
	}
	return next, nil
}
