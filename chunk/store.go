package chunk

import "github.com/gravitational/trace"

// storedChunk is a chunk or a segment. Its data is nil until it was received.
type storedChunk struct {
	data []byte
	// references counts the references from documents.
	references int
}

// document is a document of a store, which may lack some of its segments and chunks.
type document struct {
	key      Name
	manifest *Manifest
	segments []Name
	// names are the names of the chunks; nil until all segments were present and read.
	names []Name
	// body is the assembled document; nil if it is not assembled or not kept.
	body []byte
}

// Store holds the segments and chunks of the most recently used documents. A chunk that several documents share is held once; a chunk that
// no document of the store refers to is removed.
type Store struct {
	// maxDocuments, maxBodies and maxBytes are the limits given to NewStore.
	maxDocuments int
	maxBodies    int
	maxBytes     int
	// storedBytes is the total size of the held segments and chunks.
	storedBytes int
	chunks      map[Name]*storedChunk
	// recent lists the documents, the most recently used one last.
	recent []*document
}

// NewStore returns a store that keeps the segments and chunks of the most recently used documents: up to maxDocuments, and fewer if they have
// more than maxBytes bytes in total, but always two. For the last maxBodies documents it also keeps the assembled document.
func NewStore(maxDocuments, maxBodies, maxBytes int) *Store {
	return &Store{maxDocuments: max(maxDocuments, 2), maxBodies: maxBodies, maxBytes: maxBytes, chunks: map[Name]*storedChunk{}}
}

// Add adds a document to the store and returns its manifest. The bytes must not change afterwards.
func (s *Store) Add(body []byte) *Manifest { return s.add(body, Split) }

// AddFine is like Add for a short list, which it cuts into fine chunks (see SplitFine).
func (s *Store) AddFine(list []byte) *Manifest { return s.add(list, SplitFine) }

// add cuts a document with split and adds it. It returns early if a kept document is the same memory as body.
func (s *Store) add(body []byte, split func(document []byte) [][]byte) *Manifest {
	if len(body) == 0 {
		return &Manifest{}
	}
	for i, d := range s.recent {
		if len(d.body) == len(body) && &d.body[0] == &body[0] {
			s.markUsed(i)
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
	parts := splitSegments(joined)
	for _, part := range parts {
		name := NameOf(part)
		m.Segments = append(m.Segments, name[:]...)
	}
	d := s.lookUp(m)
	for i, part := range parts {
		s.put(d.segments[i], part)
	}
	s.readSegments(d)
	for i, data := range chunks {
		s.put(d.names[i], data)
	}
	d.body = body
	s.evict()
	return d.manifest
}

// Document returns the document that a manifest describes. The error is a *ManifestError, a *SizeError or a *MissingError. After a
// *MissingError, Put accepts the missing data: segments first, and then, after another call that has found all segments, chunks.
func (s *Store) Document(m *Manifest) ([]byte, error) {
	if err := m.Check(); err != nil {
		return nil, err
	}
	d := s.lookUp(m)
	if d.body != nil {
		return d.body, nil
	}
	if missing := s.missing(d.segments); len(missing) > 0 {
		return nil, trace.Wrap(&MissingError{Names: missing})
	}
	s.readSegments(d)
	if missing := s.missing(d.names); len(missing) > 0 {
		return nil, trace.Wrap(&MissingError{Names: missing})
	}
	size := 0
	for _, name := range d.names {
		size += len(s.chunks[name].data)
	}
	if size != m.Size {
		s.remove(len(s.recent) - 1)
		return nil, trace.Wrap(&SizeError{Bytes: size, Want: m.Size})
	}
	body := make([]byte, 0, size)
	for _, name := range d.names {
		body = append(body, s.chunks[name].data...)
	}
	d.body = body
	s.evict()
	return body, nil
}

// missing returns those of the names that the store has no data for, each once.
func (s *Store) missing(wanted []Name) []Name {
	seen := map[Name]bool{}
	var names []Name
	for _, name := range wanted {
		if s.chunks[name].data == nil && !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	return names
}

// Put adds a chunk or a segment that some document of the store lacks. It reports whether it was added.
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
	s.storedBytes += len(data)
	s.evict()
	return true
}

// Get returns a chunk or a segment, or nil if the store does not hold it.
func (s *Store) Get(name Name) []byte {
	if entry := s.chunks[name]; entry != nil {
		return entry.data
	}
	return nil
}

// StoredBytes is the total size of the segments and chunks in the store, in bytes.
func (s *Store) StoredBytes() int { return s.storedBytes }

// lookUp returns the document of a manifest, which becomes the most recently used one. It adds the document if it is new.
func (s *Store) lookUp(m *Manifest) *document {
	key := m.Key()
	for i, d := range s.recent {
		if d.key == key {
			s.markUsed(i)
			return d
		}
	}
	d := &document{key: key, manifest: m, segments: splitNames(m.Segments)}
	s.recent = append(s.recent, d)
	s.retain(d.segments)
	s.evict()
	return d
}

// readSegments reads the names of the document's chunks from its segments, which must all be present.
func (s *Store) readSegments(d *document) {
	if d.names != nil {
		return
	}
	for _, segment := range d.segments {
		d.names = append(d.names, splitNames(s.chunks[segment].data)...)
	}
	s.retain(d.names)
}

// retain counts a reference to each of the names.
func (s *Store) retain(names []Name) {
	for _, name := range names {
		if s.chunks[name] == nil {
			s.chunks[name] = &storedChunk{}
		}
		s.chunks[name].references++
	}
}

// release removes a reference to each of the names, and the chunks that no longer have one.
func (s *Store) release(names []Name) {
	for _, name := range names {
		entry := s.chunks[name]
		entry.references--
		if entry.references == 0 {
			s.storedBytes -= len(entry.data)
			delete(s.chunks, name)
		}
	}
}

// markUsed makes the document at an index of recent the most recently used one.
func (s *Store) markUsed(at int) {
	d := s.recent[at]
	s.recent = append(append(s.recent[:at:at], s.recent[at+1:]...), d)
}

// evict removes the least recently used documents that exceed the limits.
func (s *Store) evict() {
	for len(s.recent) > s.maxDocuments || (s.storedBytes > s.maxBytes && len(s.recent) > 2) {
		s.remove(0)
	}
	for _, d := range s.recent[:max(0, len(s.recent)-s.maxBodies)] {
		d.body = nil
	}
}

// remove removes the document at an index of recent, and the chunks that only this document refers to.
func (s *Store) remove(at int) {
	d := s.recent[at]
	s.recent = append(s.recent[:at:at], s.recent[at+1:]...)
	s.release(d.segments)
	s.release(d.names)
}
