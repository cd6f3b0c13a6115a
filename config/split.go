package config

import (
	"bytes"

	"github.com/go-json-experiment/json/jsontext"
)

// ListItem is one object of a list of a document. Documents that were split one after the other share items whose bytes are the same, so
// what was read of an item need not be read again: Route and Service are for whoever reads such, and nil until then.
type ListItem struct {
	Raw        []byte
	Route      *Route
	Service    *Service
	generation uint64
}

// Field is one field of a document's object. List tells that its value is a list of nothing but objects; these are its Items.
type Field struct {
	Name  string
	Value []byte
	List  bool
	Items []*ListItem
}

// Document is a document in parts.
type Document struct {
	raw    []byte
	Fields []Field
}

// Field finds a field by its name.
func (s *Document) Field(name string) *Field {
	for i := range s.Fields {
		if s.Fields[i].Name == name {
			return &s.Fields[i]
		}
	}
	return nil
}

// SplitCache remembers the document that was split and read last. One that is like it is split by comparing bytes, and only the items that
// differ are read. It has one owner.
type SplitCache struct {
	last   *Document
	routes remembered
}

// scanner walks over a document whose parts are known from the last one, or read anew.
type scanner struct {
	memo *SplitCache
	raw  []byte
	at   int
	good bool
}

// Split divides a document, or tells that it can't: it is no JSON object, or names a field twice.
func (m *SplitCache) Split(raw []byte) (*Document, bool) {
	if m.last != nil && len(raw) > 0 && len(m.last.raw) == len(raw) && &m.last.raw[0] == &raw[0] {
		return m.last, true
	}
	scan := &scanner{memo: m, raw: raw, good: true}
	s := &Document{raw: raw}
	scan.object(s)
	if !scan.good {
		return nil, false
	}
	m.last = s
	return s, true
}

func (c *scanner) space() {
	for c.at < len(c.raw) {
		switch c.raw[c.at] {
		case ' ', '\t', '\r', '\n':
			c.at++
		default:
			return
		}
	}
}

// take reads one byte after any space.
func (c *scanner) take(b byte) bool {
	c.space()
	if c.at >= len(c.raw) || c.raw[c.at] != b {
		return false
	}
	c.at++
	return true
}

// value reads one whole JSON value.
func (c *scanner) value() []byte {
	c.space()
	dec := jsontext.NewDecoder(bytes.NewBuffer(c.raw[c.at:]))
	value, err := dec.ReadValue()
	if err != nil {
		c.good = false
		return nil
	}
	c.at += int(dec.InputOffset())
	return value
}

func (c *scanner) object(s *Document) {
	c.good = c.take('{')
	if c.good && c.take('}') {
		c.end()
		return
	}
	seen := map[string]bool{}
	for c.good {
		f := c.field()
		if c.good = c.good && !seen[f.Name]; !c.good {
			return
		}
		seen[f.Name] = true
		s.Fields = append(s.Fields, f)
		if c.take('}') {
			break
		}
		c.good = c.take(',')
	}
	c.end()
}

func (c *scanner) end() {
	c.space()
	c.good = c.good && c.at == len(c.raw)
}

func (c *scanner) field() Field {
	quoted := c.value()
	var f Field
	if !c.good || len(quoted) == 0 || quoted[0] != '"' {
		c.good = false
		return f
	}
	name, err := jsontext.AppendUnquote(nil, quoted)
	if c.good = err == nil && c.take(':'); !c.good {
		return f
	}
	f.Name = string(name)
	c.space()
	from := c.at
	if c.at < len(c.raw) && c.raw[c.at] == '[' {
		if f.Items, f.List = c.list(f.Name); f.List {
			f.Value = c.raw[from:c.at]
			return f
		}
		c.at = from
	}
	f.Value = c.value()
	return f
}

// list is a list of objects as it is read: before are the items that the last document's list of that name had, of which most are
// expected again, in the same order but for some that were replaced, added or removed.
type list struct {
	before []*ListItem
	next   int
	misses int
	places map[string]int
}

// missesMost is how many items may be new before all of the last document's are looked up by their bytes.
const missesMost = 8

// list reads the items; it gives up where something else than objects stands in the list.
func (c *scanner) list(name string) ([]*ListItem, bool) {
	l := &list{}
	if c.memo.last != nil {
		if f := c.memo.last.Field(name); f != nil {
			l.before = f.Items
		}
	}
	items := make([]*ListItem, 0, len(l.before)+1)
	c.at++
	if c.take(']') {
		return items, true
	}
	for {
		it := c.item(l)
		if it == nil {
			return nil, false
		}
		items = append(items, it)
		if c.take(']') {
			return items, true
		}
		if !c.take(',') {
			return nil, false
		}
	}
}

// item reads the next object: the one that followed in the last document, the one after that, another of them, or a new one.
func (c *scanner) item(l *list) *ListItem {
	c.space()
	if c.at >= len(c.raw) || c.raw[c.at] != '{' {
		return nil
	}
	for i := l.next; i < min(l.next+2, len(l.before)); i++ {
		if raw := l.before[i].Raw; bytes.HasPrefix(c.raw[c.at:], raw) {
			c.at += len(raw)
			l.next = i + 1
			return l.before[i]
		}
	}
	value := c.value()
	if !c.good {
		c.good = true
		return nil
	}
	if it := l.known(value); it != nil {
		return it
	}
	return &ListItem{Raw: bytes.Clone(value)}
}

func (l *list) known(raw []byte) *ListItem {
	if l.misses++; l.misses <= missesMost {
		return nil
	}
	if l.places == nil {
		l.places = make(map[string]int, len(l.before))
		for i, it := range l.before {
			l.places[string(it.Raw)] = i
		}
	}
	at, ok := l.places[string(raw)]
	if !ok {
		return nil
	}
	l.next = at + 1
	return l.before[at]
}
