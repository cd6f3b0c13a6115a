package chunk

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/gravitational/trace"
)

// The causes of a DeltaError, besides parts that lie outside the base.
var (
	ErrWrongBase    = errors.New("made for another document")
	ErrTooLong      = errors.New("too long")
	ErrHashMismatch = errors.New("the result has another hash")
)

// Delta describes a document by what differs from another, the base: it holds the parts that the base lacks, and where in the base the
// others are. It reads without the boundaries that made it. Its fields are part of the format on disk.
type Delta struct {
	Base  []byte
	Sum   []byte
	Parts []Part
}

// Part is the next bytes of a document: New where there are any, else Length bytes of the base from From on.
type Part struct {
	From, Length int
	New          []byte
}

// DeltaError says why a delta makes no document.
type DeltaError struct{ Cause error }

func (e *DeltaError) Error() string { return "bad delta: " + e.Cause.Error() }

func sum(body []byte) []byte {
	name := NameOf(body)
	return name[:]
}

// Unwrap gives the cause.
func (e *DeltaError) Unwrap() error { return e.Cause }

// Index knows where the chunks of a document are, so that differences from it can be made.
type Index struct {
	body   []byte
	sum    []byte
	places map[Name]int
}

// NewIndex reads a document, which must not change afterwards.
func NewIndex(body []byte) *Index {
	x := &Index{body: body, sum: sum(body), places: map[Name]int{}}
	at := 0
	for _, data := range Split(body) {
		x.places[NameOf(data)] = at
		at += len(data)
	}
	return x
}

// SameDocument tells whether the index is of this very document in memory.
func (x *Index) SameDocument(body []byte) bool {
	return len(x.body) == len(body) && (len(body) == 0 || &x.body[0] == &body[0])
}

// Diff makes the delta that takes the index's document to next, and the index of that.
func (x *Index) Diff(next []byte) (Delta, *Index) {
	if x.SameDocument(next) {
		return Delta{Base: x.sum, Sum: x.sum, Parts: []Part{{Length: len(next)}}}, x
	}
	then := &Index{body: next, sum: sum(next), places: map[Name]int{}}
	d := Delta{Base: x.sum, Sum: then.sum}
	at := 0
	for _, data := range Split(next) {
		name := NameOf(data)
		then.places[name] = at
		at += len(data)
		from, known := x.places[name]
		if !known {
			d.fresh(next[:at], len(data))
			continue
		}
		d.copied(from, len(data))
	}
	return d, then
}

// fresh adds the last bytes of what was read so far, in one part with new bytes right before them.
func (d *Delta) fresh(read []byte, length int) {
	if last := len(d.Parts) - 1; last >= 0 && len(d.Parts[last].New) > 0 {
		d.Parts[last].New = read[len(read)-length-len(d.Parts[last].New):]
		return
	}
	d.Parts = append(d.Parts, Part{New: read[len(read)-length:]})
}

// copied adds bytes of the base, in one part with those right before them.
func (d *Delta) copied(from, length int) {
	if last := len(d.Parts) - 1; last >= 0 && len(d.Parts[last].New) == 0 && d.Parts[last].From+d.Parts[last].Length == from {
		d.Parts[last].Length += length
		return
	}
	d.Parts = append(d.Parts, Part{From: from, Length: length})
}

// Apply makes the document of its base. The error is a *DeltaError where it is another base, a part lies outside it, or the result
// isn't what the delta was made of.
func (d Delta) Apply(base []byte) ([]byte, error) {
	if !bytes.Equal(d.Base, sum(base)) {
		return nil, trace.Wrap(&DeltaError{Cause: ErrWrongBase})
	}
	size := 0
	for i, p := range d.Parts {
		if p.From < 0 || p.Length < 0 || p.From > len(base) || p.Length > len(base)-p.From {
			return nil, trace.Wrap(&DeltaError{Cause: fmt.Errorf("part %d lies outside the base", i)})
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
	if !bytes.Equal(d.Sum, sum(next)) {
		return nil, trace.Wrap(&DeltaError{Cause: ErrHashMismatch})
	}
	return next, nil
}
