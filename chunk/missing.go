package chunk

import "slices"

// AddedChunks are the segments and chunks of one document that another lacks, or none where they have more than so many bytes together, or
// aren't all in the store.
func (s *Store) AddedChunks(m, base *Manifest, bytes int) [][]byte {
	if _, err := s.Document(base); err != nil {
		return nil
	}
	had := map[Name]bool{}
	for _, name := range s.open(base).all() {
		had[name] = true
	}
	if _, err := s.Document(m); err != nil {
		return nil
	}
	var chunks [][]byte
	for _, name := range s.open(m).all() {
		if had[name] {
			continue
		}
		had[name] = true
		data := s.chunks[name].data
		if bytes -= len(data); bytes < 0 {
			return nil
		}
		chunks = append(chunks, data)
	}
	return chunks
}

// all are the names of a document's segments and chunks.
func (d *document) all() []Name { return slices.Concat(d.segments, d.names) }

// DocumentWith takes chunks in as far as the document lacks them, and returns it as Body does.
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
