package chunk

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestDeltaYieldsTheDocument(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	body := routes(2500, -1)
	index := NewIndex(nil)
	for range 40 {
		d, nextIndex := index.Diff(body)
		next, err := d.Apply(index.body)
		if err != nil || !bytes.Equal(next, body) {
			t.Fatal(err)
		}
		index = nextIndex
		body = slices.Clone(body)
		for range 1 + rng.IntN(3) {
			at, n := rng.IntN(len(body)), rng.IntN(2000)
			switch rng.IntN(3) {
			case 0:
				body = slices.Insert(body, at, randomBytes(rng.Uint64(), n)...)
			case 1:
				body = slices.Delete(body, at, min(at+n, len(body)))
			case 2:
				body = append(slices.Clone(body[at:]), body[:at]...)
			}
		}
	}
}

func TestDeltaOfOneRouteIsSmall(t *testing.T) {
	base := routes(2500, -1)
	d, _ := NewIndex(base).Diff(routes(2500, 1250))
	added := 0
	for _, p := range d.Parts {
		added += len(p.New)
	}
	if added > len(base)/20 {
		t.Errorf("the delta has %d new bytes of %d", added, len(base))
	}
}

func TestDeltaOfAnotherBaseIsRejected(t *testing.T) {
	base := routes(50, -1)
	d, _ := NewIndex(base).Diff(routes(50, 7))
	var bad *DeltaError
	if _, err := d.Apply(routes(50, 8)); !errors.As(err, &bad) {
		t.Errorf("applied to another base: %v", err)
	}
	d.Parts = append(d.Parts, Part{From: len(base), Length: 1})
	if _, err := d.Apply(base); !errors.As(err, &bad) {
		t.Errorf("a part outside of the base: %v", err)
	}
}

// FuzzDelta applies deltas with arbitrary parts: the result is a DeltaError, or a document with the delta's hash.
func FuzzDelta(f *testing.F) {
	base := routes(60, -1)
	f.Add(0, 100, 50, 20, []byte("new"), true)
	f.Add(-1, 1<<40, 0, 0, []byte{}, false)
	f.Fuzz(func(t *testing.T, from, length, second, most int, added []byte, valid bool) {
		d := Delta{Base: hashOf(base), Sum: hashOf(added), Parts: []Part{{From: from, Length: length}, {New: added}, {From: second, Length: most}}}
		if valid {
			d.Parts = []Part{{New: added}}
		}
		next, err := d.Apply(base)
		var bad *DeltaError
		if err != nil && !errors.As(err, &bad) {
			t.Fatalf("Apply returned a %T: %v", err, err)
		}
		if err == nil && !bytes.Equal(hashOf(next), d.Sum) {
			t.Fatal("the document does not have the hash that the delta states")
		}
	})
}
