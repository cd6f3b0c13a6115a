package config

import (
	"fmt"
	"strconv"

	"github.com/gravitational/trace"
)

// Decoder reads an object of a document field by field. It collects violations instead of stopping at the first one: an invalid value adds
// a violation and reads as the default. The decoders of nested objects add to the same violations. The caller calls Close after the last field,
// which makes every field that was not read a violation, and then Err on the decoder of the document.
type Decoder struct {
	// path is the path of the value in the document.
	path  string
	value jsonValue
	// used are the keys that were read.
	used       map[string]bool
	violations *[]Violation
}

// NewDecoder parses a JSON document and returns a decoder of its top-level object. Its errors are *InvalidError.
func NewDecoder(raw []byte) (*Decoder, error) {
	value, err := parseJSON(raw)
	if err != nil {
		return nil, err
	}
	return &Decoder{path: "$", value: value, used: map[string]bool{}, violations: &[]Violation{}}, nil
}

// AddViolation adds a violation: the value at path must meet the requirement.
func (d *Decoder) AddViolation(path, value, requirement string) {
	*d.violations = append(*d.violations, Violation{Path: path, Value: value, Requirement: requirement})
}

// FieldPath returns the path of a field.
func (d *Decoder) FieldPath(key string) string { return d.path + "." + key }

// lookup returns the value of a field and marks it as read. It returns false if the field is absent.
func (d *Decoder) lookup(key string) (jsonValue, bool) {
	d.used[key] = true
	for i, k := range d.value.keys {
		if k == key {
			return d.value.values[i], true
		}
	}
	return jsonValue{}, false
}

// String reads a string of at most maxBytes bytes. If it is required, it must be present and not empty.
func (d *Decoder) String(key string, required bool, maxBytes int) string {
	value, ok := d.lookup(key)
	if !ok && !required {
		return ""
	}
	if !ok || value.kind != 's' || len(value.text) > maxBytes || (required && value.text == "") {
		d.AddViolation(d.FieldPath(key), value.describe(), fmt.Sprintf("a string of 1 to %d bytes", maxBytes))
		return ""
	}
	return value.text
}

// Number reads a number from least to most. It returns def if the field is absent or invalid.
func (d *Decoder) Number(key string, def, least, most float64) float64 {
	value, ok := d.lookup(key)
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(value.text, 64)
	if value.kind != 'n' || err != nil || n < least || n > most {
		d.AddViolation(d.FieldPath(key), value.describe(), fmt.Sprintf("a number from %g to %g", least, most))
		return def
	}
	return n
}

// Int reads a whole number from least to most. It returns def if the field is absent or invalid.
func (d *Decoder) Int(key string, def, least, most int) int {
	f := d.Number(key, float64(def), float64(least), float64(most))
	if f != float64(int(f)) {
		d.AddViolation(d.FieldPath(key), fmt.Sprint(f), "a whole number")
		return def
	}
	return int(f)
}

// Bool reads true or false. It returns def if the field is absent.
func (d *Decoder) Bool(key string, def bool) bool {
	value, ok := d.lookup(key)
	if !ok {
		return def
	}
	if value.kind != 'b' {
		d.AddViolation(d.FieldPath(key), value.describe(), "true or false")
	}
	return value.text == "true"
}

// Object returns a decoder of a nested object. An absent object reads as one without fields.
func (d *Decoder) Object(key string) *Decoder {
	value, ok := d.lookup(key)
	if ok && value.kind != 'o' {
		d.AddViolation(d.FieldPath(key), value.describe(), "an object")
	}
	return &Decoder{path: d.FieldPath(key), value: value, used: map[string]bool{}, violations: d.violations}
}

// List returns the decoders of the elements of a list of least to most elements. An absent list reads as an empty one.
func (d *Decoder) List(key string, least, most int) []*Decoder {
	value, _ := d.lookup(key)
	if len(value.values) < least || len(value.values) > most || (value.kind != 'a' && value.kind != 0) {
		d.AddViolation(d.FieldPath(key), value.describe(), fmt.Sprintf("a list of %d to %d elements", least, most))
		return nil
	}
	var elements []*Decoder
	for i, element := range value.values {
		elements = append(elements, &Decoder{path: fmt.Sprintf("%s[%d]", d.FieldPath(key), i), value: element, used: map[string]bool{}, violations: d.violations})
	}
	return elements
}

// StringElement reads the value itself, an element of a list, as a string of 1 to maxBytes bytes.
func (d *Decoder) StringElement(maxBytes int) string {
	if d.value.kind != 's' || d.value.text == "" || len(d.value.text) > maxBytes {
		d.AddViolation(d.path, d.value.describe(), fmt.Sprintf("a string of 1 to %d bytes", maxBytes))
	}
	return d.value.text
}

// Close adds a violation for each field that was not read, and one if the value is not an object.
func (d *Decoder) Close() {
	if d.value.kind != 'o' && d.value.kind != 0 {
		d.AddViolation(d.path, d.value.describe(), "an object")
	}
	for _, k := range d.value.keys {
		if !d.used[k] {
			d.AddViolation(d.FieldPath(k), "unknown", "a known field")
		}
	}
}

// Err returns an *InvalidError with all violations so far, or nil if there are none.
func (d *Decoder) Err() error {
	if len(*d.violations) == 0 {
		return nil
	}
	return trace.Wrap(&InvalidError{Violations: *d.violations})
}
