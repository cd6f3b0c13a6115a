package chunk

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// routes returns a configuration document with the given number of routes; the route at index changed has another timeout.
func routes(count, changed int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"revision":%d,"routes":[`, changed+2)
	for i := range count {
		timeout := 1000
		if i == changed {
			timeout = 2000
		}
		fmt.Fprintf(&b, `{"name":"route-%06d","hostname":"site.example","pathPrefix":"/area/%d/part/%d/","routeType":"safe","timeoutMs":%d,"targetService":"service-%d"},`,
			i, i%37, i*7919, timeout, i%5)
	}
	b.WriteString(`{}]}`)
	return b.Bytes()
}

func randomBytes(seed uint64, size int) []byte {
	rng := rand.New(rand.NewPCG(seed, 1))
	document := make([]byte, size)
	for i := range document {
		document[i] = byte(rng.Uint32())
	}
	return document
}

// fetchMissing copies the missing segments and chunks from one store to another, in reverse order, until the document is complete. It returns
// their total size and number.
func fetchMissing(t *testing.T, from, to *Store, m *Manifest, document []byte) (fetchedBytes, chunks int) {
	t.Helper()
	for {
		body, err := to.Document(m)
		var missing *MissingError
		if !errors.As(err, &missing) {
			if err != nil || !bytes.Equal(body, document) {
				t.Fatalf("%d bytes of %d, %v", len(body), len(document), err)
			}
			return fetchedBytes, chunks
		}
		for _, name := range slices.Backward(missing.Names) {
			if !to.Put(from.Get(name)) {
				t.Fatal("Put refused a missing chunk")
			}
			fetchedBytes, chunks = fetchedBytes+len(from.Get(name)), chunks+1
		}
	}
}

func TestChunksJoinToTheDocument(t *testing.T) {
	for _, size := range []int{0, 1, minChunk, minChunk + 1, MaxChunk, MaxChunk + 1, 300000} {
		for _, document := range [][]byte{randomBytes(1, size), make([]byte, size)} {
			chunks := Split(document)
			if !bytes.Equal(bytes.Join(chunks, nil), document) {
				t.Fatalf("the chunks of a document of %d bytes differ from it", size)
			}
			for i, data := range chunks {
				if len(data) > MaxChunk || (len(data) < minChunk && i < len(chunks)-1) {
					t.Errorf("document of %d bytes: chunk %d has %d bytes", size, i, len(data))
				}
			}
		}
	}
}

func TestChangedRouteMakesFewNewChunks(t *testing.T) {
	base := routes(2500, -1)
	s := NewStore(4, 4, 8<<20)
	old := s.Add(base)
	for _, changed := range []int{0, 1250, 2499} {
		next := routes(2500, changed)
		from := NewStore(4, 4, 8<<20)
		m := from.Add(next)
		bytes, chunks := fetchMissing(t, from, s, m, next)
		if bytes > old.Size/50 || chunks > 10 {
			t.Errorf("a change of route %d makes %d new chunks, with %d of %d bytes", changed, chunks, bytes, old.Size)
		}
	}
	if mean := old.Size / len(Split(base)); mean < 2<<10 || mean > 4<<10 {
		t.Errorf("chunks have %d bytes on average, want 2048 to 4096", mean)
	}
	if len(old.Segments) > 512 {
		t.Errorf("the segment names of a manifest have %d bytes, want at most 512", len(old.Segments))
	}
}

func TestFetchedDocumentIsTheSame(t *testing.T) {
	from, to := NewStore(4, 4, 8<<20), NewStore(4, 4, 8<<20)
	document := routes(300, -1)
	m := from.Add(document)
	if _, chunks := fetchMissing(t, from, to, m, document); chunks != len(Split(document))+len(m.Segments)/NameBytes {
		t.Errorf("%d segments and chunks were fetched", chunks)
	}
	if to.Put([]byte("nobody asked for this")) {
		t.Error("Put accepted a chunk of no document")
	}
}

func TestBadManifestsHaveTypedErrors(t *testing.T) {
	s := NewStore(8, 4, 8<<20)
	good := s.Add(routes(1000, -1))
	var manifest *ManifestError
	var missing *MissingError
	var size *SizeError
	for _, c := range []struct {
		what  string
		m     Manifest
		wants any
	}{
		{"empty", Manifest{}, &manifest},
		{"a truncated name", Manifest{Size: good.Size, Segments: good.Segments[:len(good.Segments)-1]}, &manifest},
		{"size above the maximum", Manifest{Size: MaxDocument + 1, Segments: good.Segments}, &manifest},
		{"more than the chunks can hold", Manifest{Size: maxSegmentChunks*MaxChunk + 1, Segments: good.Segments[:NameBytes]}, &manifest},
		{"a negative size", Manifest{Size: -1, Segments: good.Segments}, &manifest},
		{"an unknown chunk", Manifest{Size: good.Size, Segments: append(bytes.Repeat([]byte{7}, NameBytes), good.Segments[NameBytes:]...)}, &missing},
		{"wrong size", Manifest{Size: good.Size - 1, Segments: good.Segments}, &size},
	} {
		if body, err := s.Document(&c.m); body != nil || !errors.As(err, c.wants) {
			t.Errorf("%s: %d bytes, %v", c.what, len(body), err)
		}
	}
}

// TestStoreKeepsWhatWasUsedLast checks that the store keeps the documents used last and removes chunks that none of them refers to.
func TestStoreKeepsWhatWasUsedLast(t *testing.T) {
	s := NewStore(3, 1, 1<<20)
	kept := routes(500, -1)
	m := s.Add(kept)
	for i := range 50 {
		s.Add(randomBytes(uint64(i), 200000))
		if body, err := s.Document(m); err != nil || !bytes.Equal(body, kept) {
			t.Fatalf("after %d other documents: %v", i, err)
		}
		if s.StoredBytes() > 1<<20 {
			t.Fatalf("the store has %d bytes, more than its limit", s.StoredBytes())
		}
	}
	if s.Add(routes(500, 7)); s.Get(s.recent[0].names[0]) == nil {
		t.Error("a chunk that two documents share was removed")
	}
	for i := range 3 {
		s.Add(randomBytes(uint64(100+i), 1000))
		if body, err := s.Document(s.recent[0].manifest); err != nil || s.recent[len(s.recent)-1].manifest.Size != len(body) {
			t.Errorf("a document in the store lacks chunks: %v", err)
		}
	}
	for i := range 3 {
		s.Add(randomBytes(uint64(200+i), 1000))
	}
	sum := 0
	for _, entry := range s.chunks {
		sum += len(entry.data)
	}
	if _, err := s.Document(m); err == nil || sum != 3000+3*NameBytes {
		t.Errorf("%d bytes are left, reading the removed document: %v", sum, err)
	}
}

// FuzzBody requests documents for arbitrary manifests from a store with one document: an error has a declared type, and a document consists of
// the manifest's chunks.
func FuzzBody(f *testing.F) {
	document := routes(60, -1)
	names := NewStore(2, 2, 1<<20).Add(document).Segments
	f.Add(len(document), names)
	f.Add(len(document), append(slices.Clone(names[NameBytes:]), names[:NameBytes]...))
	f.Add(1, names[:3])
	f.Add(len(document)*2, append(slices.Clone(names), names...))
	f.Fuzz(func(t *testing.T, size int, names []byte) {
		s := NewStore(4, 4, 1<<20)
		s.Add(document)
		m := &Manifest{Size: size, Segments: names}
		body, err := s.Document(m)
		var manifest *ManifestError
		var missing *MissingError
		var wrong *SizeError
		switch {
		case err == nil:
		case errors.As(err, &manifest), errors.As(err, &missing), errors.As(err, &wrong):
			return
		default:
			t.Fatalf("Document returned a %T: %v", err, err)
		}
		if len(body) != size {
			t.Fatalf("the document has %d bytes, want %d", len(body), size)
		}
		at := 0
		for _, segment := range splitNames(names) {
			for _, name := range splitNames(s.Get(segment)) {
				data := s.Get(name)
				if !bytes.HasPrefix(body[at:], data) {
					t.Fatalf("the document differs from the manifest's chunk at offset %d", at)
				}
				at += len(data)
			}
		}
	})
}
