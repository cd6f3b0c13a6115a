package config

import (
	"bytes"

	"github.com/go-json-experiment/json/jsontext"
)

// ListItem is an object in a list of a document. Successive documents share the items whose bytes are equal, so that such an item is parsed
// only once: Route and Service cache the result of parsing it and are nil until then.
type ListItem struct {
	Raw     []byte
	Route   *Route
	Service *Service
	// generation is the number of the last call of SplitCache.Routes that returned the item.
	generation uint64
}

// Field is a field of a document's top-level object.
type Field struct {
	Name  string
	Value []byte
	// List is set if the value is a list that contains only objects. Items are these objects.
	List  bool
	Items []*ListItem
}

// Document is a document that was split into its top-level fields.
type Document struct {
	raw    []byte
	Fields []Field
}

// Field returns the field with the given name, nil if there is none.
func (d *Document) Field(name string) *Field {
	for i := range d.Fields {
		if d.Fields[i].Name == name {
			return &d.Fields[i]
		}
	}
	return nil
}

// SplitCache splits successive documents into fields and list items. It compares each document with the previous one byte by byte, so that
// only the items that differ are parsed. It is not safe for concurrent use.
type SplitCache struct {
	previous *Document
	routes   routeCache
}

// documentScanner splits a document and reuses the items of the previous document in cache.
type documentScanner struct {
	cache  *SplitCache
	raw    []byte
	offset int
	// ok is false once the document turned out to be malformed.
	ok bool
}

// Split splits a document. It returns false if the document is not a JSON object or contains a field twice. The caller must not modify raw
// afterwards: a document in the same memory as the previous one is assumed to be equal to it.
func (c *SplitCache) Split(raw []byte) (*Document, bool) {
	if c.previous != nil && len(raw) > 0 && len(c.previous.raw) == len(raw) && &c.previous.raw[0] == &raw[0] {
		return c.previous, true
	}
	scanner := &documentScanner{cache: c, raw: raw, ok: true}
	doc := &Document{raw: raw}
	scanner.readObject(doc)
	if !scanner.ok {
		return nil, false
	}
	c.previous = doc
	return doc, true
}

func (s *documentScanner) skipSpace() {
	for s.offset < len(s.raw) {
		switch s.raw[s.offset] {
		case ' ', '\t', '\r', '\n':
			s.offset++
		default:
			return
		}
	}
}

// consume skips white space and the byte b. It returns false if another byte follows.
func (s *documentScanner) consume(b byte) bool {
	s.skipSpace()
	if s.offset >= len(s.raw) || s.raw[s.offset] != b {
		return false
	}
	s.offset++
	return true
}

// readValue reads one complete JSON value.
func (s *documentScanner) readValue() []byte {
	s.skipSpace()
	dec := jsontext.NewDecoder(bytes.NewBuffer(s.raw[s.offset:]))
	value, err := dec.ReadValue()
	if err != nil {
		s.ok = false
		return nil
	}
	s.offset += int(dec.InputOffset())
	return value
}

// readObject reads the whole document into doc.
func (s *documentScanner) readObject(doc *Document) {
	s.ok = s.consume('{')
	if s.ok && s.consume('}') {
		s.readEnd()
		return
	}
	seen := map[string]bool{}
	for s.ok {
		f := s.readField()
		if s.ok = s.ok && !seen[f.Name]; !s.ok {
			return
		}
		seen[f.Name] = true
		doc.Fields = append(doc.Fields, f)
		if s.consume('}') {
			break
		}
		s.ok = s.consume(',')
	}
	s.readEnd()
}

// readEnd checks that nothing but white space follows.
func (s *documentScanner) readEnd() {
	s.skipSpace()
	s.ok = s.ok && s.offset == len(s.raw)
}

// readField reads a field: its items if the value is a list of objects, otherwise only its value.
func (s *documentScanner) readField() Field {
	quoted := s.readValue()
	var f Field
	if !s.ok || len(quoted) == 0 || quoted[0] != '"' {
		s.ok = false
		return f
	}
	name, err := jsontext.AppendUnquote(nil, quoted)
	if s.ok = err == nil && s.consume(':'); !s.ok {
		return f
	}
	f.Name = string(name)
	s.skipSpace()
	from := s.offset
	if s.offset < len(s.raw) && s.raw[s.offset] == '[' {
		if f.Items, f.List = s.readList(f.Name); f.List {
			f.Value = s.raw[from:s.offset]
			return f
		}
		s.offset = from
	}
	f.Value = s.readValue()
	return f
}

// listScan is the state of reading a list of objects. Most of its items are expected to equal those of the previous document's list, in the
// same order, except for a few that were replaced, added or removed.
type listScan struct {
	// previous are the items of the previous document's list of the same name, and next is the index of the one that is expected next.
	previous []*ListItem
	next     int
	// misses is the number of items that were not found at next.
	misses int
	// indexByContent maps the bytes of each previous item to its index. It is built after maxSequentialMisses misses.
	indexByContent map[string]int
}

// maxSequentialMisses is how many items are taken to be new before items are also looked up by their bytes among all previous ones.
const maxSequentialMisses = 8

// readList reads the items of the list in the field with the given name. It returns false if the list contains anything but objects.
func (s *documentScanner) readList(name string) ([]*ListItem, bool) {
	l := &listScan{}
	if s.cache.previous != nil {
		if f := s.cache.previous.Field(name); f != nil {
			l.previous = f.Items
		}
	}
	items := make([]*ListItem, 0, len(l.previous)+1)
	s.offset++
	if s.consume(']') {
		return items, true
	}
	for {
		it := s.readItem(l)
		if it == nil {
			return nil, false
		}
		items = append(items, it)
		if s.consume(']') {
			return items, true
		}
		if !s.consume(',') {
			return nil, false
		}
	}
}

// readItem reads the next object. It first compares it with the two items that may follow in the previous document, because one may have been
// removed, and then looks it up among all previous items. It returns nil if no valid object follows.
func (s *documentScanner) readItem(l *listScan) *ListItem {
	s.skipSpace()
	if s.offset >= len(s.raw) || s.raw[s.offset] != '{' {
		return nil
	}
	for i := l.next; i < min(l.next+2, len(l.previous)); i++ {
		if raw := l.previous[i].Raw; bytes.HasPrefix(s.raw[s.offset:], raw) {
			s.offset += len(raw)
			l.next = i + 1
			return l.previous[i]
		}
	}
	value := s.readValue()
	if !s.ok {
		s.ok = true
		return nil
	}
	if it := l.lookup(value); it != nil {
		return it
	}
	return &ListItem{Raw: bytes.Clone(value)}
}

// lookup returns the previous item with the given bytes, nil if there is none or there were few misses so far.
func (l *listScan) lookup(raw []byte) *ListItem {
	if l.misses++; l.misses <= maxSequentialMisses {
		return nil
	}
	if l.indexByContent == nil {
		l.indexByContent = make(map[string]int, len(l.previous))
		for i, it := range l.previous {
			l.indexByContent[string(it.Raw)] = i
		}
	}
	i, ok := l.indexByContent[string(raw)]
	if !ok {
		return nil
	}
	l.next = i + 1
	return l.previous[i]
}
