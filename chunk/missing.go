package chunk

import "slices"

// AddedChunks returns the segments and chunks of the document m that the document base does not have. It returns nil if they have more than
// maxBytes bytes in total or if one of the documents is not complete in the store.
func (s *Store) AddedChunks(m, base *Manifest, maxBytes int) [][]byte {
	if _, err := s.Document(base); err != nil {
		return nil
	}
	seen := map[Name]bool{}
	for _, name := range s.lookUp(base).allNames() {
		seen[name] = true
	}
	if _, err := s.Document(m); err != nil {
		return nil
	}
	var chunks [][]byte
	for _, name := range s.lookUp(m).allNames() {
		if seen[name] {
			continue
		}
		seen[name] = true
		data := s.chunks[name].data
		if maxBytes -= len(data); maxBytes < 0 {
			return nil
		}
		chunks = append(chunks, data)
	}
	return chunks
}

// allNames returns the names of a document's segments and chunks.
func (d *document) allNames() []Name { return slices.Concat(d.segments, d.names) }

// DocumentWith adds those chunks that the document lacks and returns the document or an error like Document. It tries twice, because the
// names of the missing chunks are known only once all segments are present.
func (s *Store) DocumentWith(m *Manifest, chunks [][]byte) ([]byte, error) {
	body, err := s.Document(m)
	for range 2 {
		if err == nil || len(chunks) == 0 {
			return body, err
		}
		for _, data := range chunks {
			s.Put(data)
		}
		body, err = s.Document(m)
	}
	return body, err
}
