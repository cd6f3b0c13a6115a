package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// Violation is an invalid part of a document.
type Violation struct {
	// Path is where the violation is, for example "$.services[0].name".
	Path string `json:"path"`
	// Value is what the document contains there, quoted or described.
	Value string `json:"value"`
	// Requirement is what the value must be; it follows the words "must be".
	Requirement string `json:"bound"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: must be %s", v.Path, v.Value, v.Requirement)
}

// InvalidError is the error for an invalid document. Violations are all violations that were found.
type InvalidError struct {
	Violations []Violation
}

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, v := range e.Violations {
		lines[i] = v.String()
	}
	return strings.Join(lines, "; ")
}

// newInvalidError returns an *InvalidError with a single violation.
func newInvalidError(path, value, requirement string) error {
	return trace.Wrap(&InvalidError{Violations: []Violation{{Path: path, Value: value, Requirement: requirement}}})
}

// jsonValue is a parsed JSON value. Numbers keep their text, and no object has a key twice.
type jsonValue struct {
	// kind is 'o' for an object, 'a' for a list, 's' for a string, 'n' for a number, 'b' for a boolean, '0' for null and 0 for an
	// absent value.
	kind byte
	// text is the string, or the text of a number or boolean.
	text string
	// keys are the keys of an object, in the order of values, which are the values of an object or list.
	keys   []string
	values []jsonValue
}

// maxDepth is the maximum nesting depth of objects and lists in a document.
const maxDepth = 16

// parseJSON parses a document that consists of one JSON value.
func parseJSON(raw []byte) (jsonValue, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	t, err := parseValue(dec, "$", 0)
	if err != nil {
		return jsonValue{}, err
	}
	if _, end := dec.Token(); end != io.EOF {
		return jsonValue{}, newInvalidError("$", "data after the value", "one JSON value")
	}
	return t, nil
}

// parseValue parses the next value; path is its path in the document, depth the number of objects and lists around it.
func parseValue(dec *json.Decoder, path string, depth int) (jsonValue, error) {
	var t jsonValue
	if depth > maxDepth {
		return t, newInvalidError(path, fmt.Sprintf("nested %d deep", depth), fmt.Sprintf("at most %d deep", maxDepth))
	}
	tok, err := dec.Token()
	if err != nil {
		return t, newInvalidError(path, err.Error(), "JSON")
	}
	switch v := tok.(type) {
	case json.Delim:
		if v == '{' {
			return parseObject(dec, path, depth)
		}
		return parseList(dec, path, depth)
	case string:
		return jsonValue{kind: 's', text: v}, nil
	case json.Number:
		return jsonValue{kind: 'n', text: v.String()}, nil
	case bool:
		return jsonValue{kind: 'b', text: strconv.FormatBool(v)}, nil
	}
	return jsonValue{kind: '0', text: "null"}, nil
}

// parseObject parses an object after its opening brace.
func parseObject(dec *json.Decoder, path string, depth int) (jsonValue, error) {
	var t jsonValue
	t.kind = 'o'
	seen := map[string]bool{}
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return t, newInvalidError(path, err.Error(), "JSON")
		}
		key, _ := tok.(string)
		if seen[key] {
			return t, newInvalidError(path+"."+key, "twice", "named once")
		}
		seen[key] = true
		value, err := parseValue(dec, path+"."+key, depth+1)
		if err != nil {
			return t, err
		}
		t.keys, t.values = append(t.keys, key), append(t.values, value)
	}
	if _, err := dec.Token(); err != nil {
		return t, newInvalidError(path, err.Error(), "JSON")
	}
	return t, nil
}

// parseList parses a list after its opening bracket.
func parseList(dec *json.Decoder, path string, depth int) (jsonValue, error) {
	var t jsonValue
	t.kind = 'a'
	for dec.More() {
		value, err := parseValue(dec, fmt.Sprintf("%s[%d]", path, len(t.values)), depth+1)
		if err != nil {
			return t, err
		}
		t.values = append(t.values, value)
	}
	if _, err := dec.Token(); err != nil {
		return t, newInvalidError(path, err.Error(), "JSON")
	}
	return t, nil
}

// describe returns the value as a violation names it: a string, number or boolean quoted, a list or object by its number of elements or fields.
func (t jsonValue) describe() string {
	switch t.kind {
	case 0:
		return "missing"
	case 'o':
		return fmt.Sprintf("object of %d fields", len(t.keys))
	case 'a':
		return fmt.Sprintf("list of %d elements", len(t.values))
	}
	if len(t.text) > 40 {
		return strconv.Quote(t.text[:40]) + "..."
	}
	return strconv.Quote(t.text)
}
