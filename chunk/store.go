package chunk

import (
	"fmt"

	"github.com/gravitational/trace"
)

// MissingError names the chunks that a document still lacks.
type MissingError struct{ Names []Name }

func (e *MissingError) Error() string {
	return fmt.Sprintf("%d chunks are missing", len(e.Names))
}

// SizeError says that the chunks of a manifest don't add up to its size.
type SizeError struct{ Bytes, Want int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("the chunks have %d bytes together, not %d", e.Bytes, e.Want)
}

type storedChunk struct {
	data []byte
	uses int
}

// document is one that a store knows: names are its chunks, once its segments are here.
type document struct {
	key      Name
	manifest *Manifest
	segments []Name
	names    []Name
	body     []byte
}

// Store holds the chunks of the documents that were used last, and the segments that name them. Those that several documents share are
// held once; those that no document in the store has are not kept.
type Store struct {
	documents int
	bodies    int
	bytes     int
	bodyBytes int
	chunks    map[Name]*storedChunk
	recent    []*document
}

// NewStore makes a store that keeps the chunks of the most recently used documents: that many, fewer where their chunks together
// exceed the number of bytes, two in any case. Of as many as bodies it keeps the whole document too.
func NewStore(documents, bodies, bytes int) *Store {
	return &Store{documents: max(documents, 2), bodies: bodies, bytes: bytes, chunks: map[Name]*storedChunk{}}
}

// Add takes a document in, if it isn't yet, and returns its manifest. The bytes must not change afterwards.
func (s *Store) Add(body []byte) *Manifest { return s.manifest(body, Split) }

// AddFine is Manifest for a short list, in fine chunks.
func (s *Store) AddFine(list []byte) *Manifest { return s.manifest(list, SplitFine) }

func (s *Store) manifest(body []byte, split func(document []byte) [][]byte) *Manifest {
	if len(body) == 0 {
		return &Manifest{}
	}
	for i, d := range s.recent {
		if len(d.body) == len(body) && &d.body[0] == &body[0] {
			s.touch(i)
			return d.manifest
		}
	}
	chunks := split(body)
	joined := make([]byte, 0, len(chunks)*NameBytes)
	for _, data := range chunks {
		name := NameOf(data)
		joined = append(joined, name[:]...)
	}
	m := &Manifest{Size: len(body)}
	parts := segments(joined)
	for _, part := range parts {
		name := NameOf(part)
		m.Segments = append(m.Segments, name[:]...)
	}
	d := s.open(m)
	for i, part := range parts {
		s.put(d.segments[i], part)
	}
	s.expand(d)
	for i, data := range chunks {
		s.put(d.names[i], data)
	}
	d.body = body
	s.shrink()
	return d.manifest
}

// Document returns the document that a manifest stands for. Errors are *ManifestError, *SizeError, and *MissingError; after the last the
// store takes in what is missing: segments first, and chunks once all segments are here.
func (s *Store) Document(m *Manifest) ([]byte, error) {
	if err := m.Check(); err != nil {
		return nil, err
	}
	d := s.open(m)
	if d.body != nil {
		return d.body, nil
	}
	if missing := s.missing(d.segments); len(missing) > 0 {
		return nil, trace.Wrap(&MissingError{Names: missing})
	}
	s.expand(d)
	if missing := s.missing(d.names); len(missing) > 0 {
		return nil, trace.Wrap(&MissingError{Names: missing})
	}
	size := 0
	for _, name := range d.names {
		size += len(s.chunks[name].data)
	}
	if size != m.Size {
		s.drop(len(s.recent) - 1)
		return nil, trace.Wrap(&SizeError{Bytes: size, Want: m.Size})
	}
	body := make([]byte, 0, size)
	for _, name := range d.names {
		body = append(body, s.chunks[name].data...)
	}
	d.body = body
	s.shrink()
	return body, nil
}

func (s *Store) missing(of []Name) []Name {
	seen := map[Name]bool{}
	var names []Name
	for _, name := range of {
		if s.chunks[name].data == nil && !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	return names
}

// Put takes in a chunk or a segment that some document of the store lacks, and tells whether it was one.
func (s *Store) Put(data []byte) bool {
	if len(data) == 0 || len(data) > MaxChunk {
		return false
	}
	return s.put(NameOf(data), data)
}

func (s *Store) put(name Name, data []byte) bool {
	entry := s.chunks[name]
	if entry == nil || entry.data != nil {
		return false
	}
	entry.data = append(make([]byte, 0, len(data)), data...)
	s.bodyBytes += len(data)
	s.shrink()
	return true
}

// Get returns a chunk or a segment, or nothing.
func (s *Store) Get(name Name) []byte {
	if entry := s.chunks[name]; entry != nil {
		return entry.data
	}
	return nil
}

// StoredBytes is how many bytes of chunks and segments the store holds.
func (s *Store) StoredBytes() int { return s.bodyBytes }

// open makes a document the most recent one.
func (s *Store) open(m *Manifest) *document {
	key := m.Key()
	for i, d := range s.recent {
		if d.key == key {
			s.touch(i)
			return d
		}
	}
	d := &document{key: key, manifest: m, segments: splitNames(m.Segments)}
	s.recent = append(s.recent, d)
	s.use(d.segments)
	s.shrink()
	return d
}

// expand reads the names of the document's chunks in its segments, which are all here.
func (s *Store) expand(d *document) {
	if d.names != nil {
		return
	}
	for _, segment := range d.segments {
		d.names = append(d.names, splitNames(s.chunks[segment].data)...)
	}
	s.use(d.names)
}

func (s *Store) use(names []Name) {
	for _, name := range names {
		if s.chunks[name] == nil {
			s.chunks[name] = &storedChunk{}
		}
		s.chunks[name].uses++
	}
}

func (s *Store) release(names []Name) {
	for _, name := range names {
		entry := s.chunks[name]
		entry.uses--
		if entry.uses == 0 {
			s.bodyBytes -= len(entry.data)
			delete(s.chunks, name)
		}
	}
}

func (s *Store) touch(at int) {
	d := s.recent[at]
	s.recent = append(append(s.recent[:at:at], s.recent[at+1:]...), d)
}

func (s *Store) shrink() {
	for len(s.recent) > s.documents || (s.bodyBytes > s.bytes && len(s.recent) > 2) {
		s.drop(0)
	}
	for _, d := range s.recent[:max(0, len(s.recent)-s.bodies)] {
		d.body = nil
	}
}

func (s *Store) drop(at int) {
	d := s.recent[at]
	s.recent = append(s.recent[:at:at], s.recent[at+1:]...)
	s.release(d.segments)
	s.release(d.names)
}
