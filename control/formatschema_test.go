package control_test

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// gobReader decodes the integers and strings of a gob stream, as documented in package encoding/gob.
type gobReader struct {
	t   *testing.T
	raw []byte
}

func (r *gobReader) take(n int) []byte {
	if n > len(r.raw) {
		r.t.Fatalf("the gob stream ends early: %d of %d bytes", len(r.raw), n)
	}
	b := r.raw[:n]
	r.raw = r.raw[n:]
	return b
}

func (r *gobReader) uint() uint64 {
	first := r.take(1)[0]
	if first < 0x80 {
		return uint64(first)
	}
	var long [8]byte
	n := int(-int8(first))
	copy(long[8-n:], r.take(n))
	return binary.BigEndian.Uint64(long[:])
}

func (r *gobReader) int() int64 {
	u := r.uint()
	if u&1 != 0 {
		return ^int64(u >> 1)
	}
	return int64(u >> 1)
}

func (r *gobReader) string() string { return string(r.take(int(r.uint()))) }

// fields decodes a struct's field numbers, until the end of the struct, and calls read for each.
func (r *gobReader) fields(read func(field int)) {
	for field := 0; ; {
		delta := int(r.uint())
		if delta == 0 {
			return
		}
		field += delta
		read(field)
	}
}

// gobType is a type that a stream defines: names are the field names of a struct, ids the types of its fields or elements.
type gobType struct {
	kind  string
	names []string
	ids   []int64
}

// gobKinds maps the fields of gob's wireType to the kinds of types they define.
var gobKinds = map[int]string{1: "array", 2: "slice", 3: "struct", 4: "map", 5: "encoder", 6: "binary", 7: "text"}

func (r *gobReader) definition() gobType {
	var def gobType
	r.fields(func(kind int) {
		def.kind = gobKinds[kind]
		r.fields(func(field int) {
			switch {
			case field == 1:
				r.fields(func(common int) { r.common(common) })
			case kind == 3:
				r.structFields(&def)
			default:
				def.ids = append(def.ids, r.int())
			}
		})
	})
	return def
}

func (r *gobReader) common(field int) {
	if field == 1 {
		_ = r.string()
	} else {
		_ = r.int()
	}
}

func (r *gobReader) structFields(def *gobType) {
	for range r.uint() {
		name, id := "", int64(0)
		r.fields(func(field int) {
			if field == 1 {
				name = r.string()
			} else {
				id = r.int()
			}
		})
		def.names, def.ids = append(def.names, name), append(def.ids, id)
	}
}

// The type numbers of gob's basic types.
const (
	gobBool      = 1
	gobInt       = 2
	gobUint      = 3
	gobFloat     = 4
	gobBytes     = 5
	gobString    = 6
	gobInterface = 8
)

// gobStream decodes a stream message by message. The embedded reader has the rest of the current message, and rest the messages after it.
// It records the defined types by number and the names of the types in interfaces.
type gobStream struct {
	*gobReader
	rest  *gobReader
	types map[int64]gobType
	names map[string]bool
}

// sequence decodes type definitions, which may span messages, and returns the type number of the value that follows them.
func (s *gobStream) sequence() int64 {
	for {
		if len(s.raw) == 0 {
			s.raw = s.rest.take(int(s.rest.uint()))
		}
		id := s.int()
		if id >= 0 {
			return id
		}
		s.types[-id] = s.definition()
		if len(s.raw) > 0 {
			_ = s.uint()
		}
	}
}

// topLevelValue decodes a top-level value. All but structs follow a zero byte.
func (s *gobStream) topLevelValue(id int64) {
	if s.types[id].kind != "struct" && s.uint() != 0 {
		s.t.Fatal("a top-level value does not follow a zero byte")
	}
	s.value(id)
}

func (s *gobStream) value(id int64) {
	switch id {
	case gobBool, gobInt, gobUint, gobFloat:
		_ = s.uint()
		return
	case gobBytes, gobString:
		_ = s.string()
		return
	case gobInterface:
		s.interfaceValue()
		return
	}
	def, known := s.types[id]
	if !known {
		s.t.Fatalf("type %d is not defined", id)
	}
	switch def.kind {
	case "struct":
		s.fields(func(field int) { s.value(def.ids[field-1]) })
	case "array":
		for range s.uint() {
			s.value(def.ids[0])
		}
	case "slice", "map":
		for range s.uint() {
			for _, part := range def.ids {
				s.value(part)
			}
		}
	default:
		_ = s.string()
	}
}

// interfaceValue decodes the value in an interface.
func (s *gobStream) interfaceValue() {
	name := s.string()
	if name == "" {
		return
	}
	s.names[name] = true
	id := s.sequence()
	_ = s.uint()
	s.topLevelValue(id)
}

// schema returns the types that a gob stream defines and the names of those in interfaces. Each type is expanded to its basic types, and
// the result is sorted, because the numbers of types and the names of structs differ between processes and do not matter to a reader.
func schema(t *testing.T, raw []byte) []string {
	t.Helper()
	stream := &gobStream{gobReader: &gobReader{t: t}, rest: &gobReader{t: t, raw: raw}, types: map[int64]gobType{}, names: map[string]bool{}}
	for len(stream.rest.raw) > 0 {
		stream.topLevelValue(stream.sequence())
	}
	all := map[string]bool{}
	for name := range stream.names {
		all["name "+name] = true
	}
	for id := range stream.types {
		all[describeType(stream.types, id, nil)] = true
	}
	return slices.Sorted(maps.Keys(all))
}

func describeType(types map[int64]gobType, id int64, within []int64) string {
	def, known := types[id]
	switch {
	case slices.Contains(within, id):
		return "..."
	case !known:
		return fmt.Sprint(id)
	}
	var parts []string
	for i, part := range def.ids {
		text := describeType(types, part, append(within, id))
		if def.kind == "struct" {
			text = def.names[i] + " " + text
		}
		parts = append(parts, text)
	}
	return def.kind + "{" + strings.Join(parts, ", ") + "}"
}
