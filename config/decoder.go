package config

import (
	"fmt"
	"strconv"

	"github.com/gravitational/trace"
)

// Decoder reads one object of a document field by field and collects violations instead of stopping at the first; what is invalid reads as
// its default. The decoders of parts share the violations. Fields that nobody read are violations when it is closed.
type Decoder struct {
	path       string
	t          tree
	used       map[string]bool
	violations *[]Violation
}

// NewDecoder parses a JSON document; the error is an *InvalidError.
func NewDecoder(raw []byte) (*Decoder, error) {
	t, err := parse(raw)
	if err != nil {
		return nil, err
	}
	return &Decoder{path: "$", t: t, used: map[string]bool{}, violations: &[]Violation{}}, nil
}

// AddViolation adds a violation.
func (d *Decoder) AddViolation(path, val, bound string) {
	*d.violations = append(*d.violations, Violation{Path: path, Value: val, Requirement: bound})
}

// FieldPath is the path of a field.
func (d *Decoder) FieldPath(key string) string { return d.path + "." + key }

func (d *Decoder) find(key string) (tree, bool) {
	d.used[key] = true
	for i, k := range d.t.keys {
		if k == key {
			return d.t.kids[i], true
		}
	}
	return tree{}, false
}

// String reads a string of at most most bytes, which must be there and not empty if needed.
func (d *Decoder) String(key string, need bool, most int) string {
	t, ok := d.find(key)
	if !ok && !need {
		return ""
	}
	if !ok || t.kind != 's' || len(t.str) > most || (need && t.str == "") {
		d.AddViolation(d.FieldPath(key), t.show(), fmt.Sprintf("a string of 1 to %d bytes", most))
		return ""
	}
	return t.str
}

// Number reads a number from least to most, or def where it is absent.
func (d *Decoder) Number(key string, def, least, most float64) float64 {
	t, ok := d.find(key)
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(t.str, 64)
	if t.kind != 'n' || err != nil || n < least || n > most {
		d.AddViolation(d.FieldPath(key), t.show(), fmt.Sprintf("a number from %g to %g", least, most))
		return def
	}
	return n
}

// Int reads a whole number from least to most, or def where it is absent.
func (d *Decoder) Int(key string, def, least, most int) int {
	f := d.Number(key, float64(def), float64(least), float64(most))
	if f != float64(int(f)) {
		d.AddViolation(d.FieldPath(key), fmt.Sprint(f), "a whole number")
		return def
	}
	return int(f)
}

// Bool reads true or false, or def where it is absent.
func (d *Decoder) Bool(key string, def bool) bool {
	t, ok := d.find(key)
	if !ok {
		return def
	}
	if t.kind != 'b' {
		d.AddViolation(d.FieldPath(key), t.show(), "true or false")
	}
	return t.str == "true"
}

// Object reads an object; an absent one has no fields.
func (d *Decoder) Object(key string) *Decoder {
	t, ok := d.find(key)
	if ok && t.kind != 'o' {
		d.AddViolation(d.FieldPath(key), t.show(), "an object")
	}
	return &Decoder{path: d.FieldPath(key), t: t, used: map[string]bool{}, violations: d.violations}
}

// List reads a list of min to max elements; an absent one is empty.
func (d *Decoder) List(key string, least, most int) []*Decoder {
	t, _ := d.find(key)
	if len(t.kids) < least || len(t.kids) > most || (t.kind != 'a' && t.kind != 0) {
		d.AddViolation(d.FieldPath(key), t.show(), fmt.Sprintf("a list of %d to %d", least, most))
		return nil
	}
	var subs []*Decoder
	for i, kid := range t.kids {
		subs = append(subs, &Decoder{path: fmt.Sprintf("%s[%d]", d.FieldPath(key), i), t: kid, used: map[string]bool{}, violations: d.violations})
	}
	return subs
}

// StringElement reads a list's element that is a string of 1 to max bytes.
func (d *Decoder) StringElement(most int) string {
	if d.t.kind != 's' || d.t.str == "" || len(d.t.str) > most {
		d.AddViolation(d.path, d.t.show(), fmt.Sprintf("a string of 1 to %d bytes", most))
	}
	return d.t.str
}

// Close adds a violation for each field that was not read.
func (d *Decoder) Close() {
	if d.t.kind != 'o' && d.t.kind != 0 {
		d.AddViolation(d.path, d.t.show(), "an object")
	}
	for _, k := range d.t.keys {
		if !d.used[k] {
			d.AddViolation(d.FieldPath(k), "unknown", "a known field")
		}
	}
}

// Err is an *InvalidError with all violations so far, or nil.
func (d *Decoder) Err() error {
	if len(*d.violations) == 0 {
		return nil
	}
	return trace.Wrap(&InvalidError{Violations: *d.violations})
}
