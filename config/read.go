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

// Violation is one thing wrong with a document: where, what stands there, and what it must be.
type Violation struct {
	// Path is as in "$.services[0].name".
	Path        string `json:"path"`
	Value       string `json:"value"`
	Requirement string `json:"bound"`
}

func (f Violation) String() string {
	return fmt.Sprintf("%s: %s: must be %s", f.Path, f.Value, f.Requirement)
}

// InvalidError is a document that cannot be taken, with all violations that were found.
type InvalidError struct {
	Violations []Violation
}

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, f := range e.Violations {
		lines[i] = f.String()
	}
	return strings.Join(lines, "; ")
}

func flawed(path, val, bound string) error {
	return trace.Wrap(&InvalidError{Violations: []Violation{{Path: path, Value: val, Requirement: bound}}})
}

// tree is a JSON value as it was written, with doubled keys refused.
type tree struct {
	kind byte
	str  string
	keys []string
	kids []tree
}

const maxDepth = 16

func parse(raw []byte) (tree, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	t, err := grow(dec, "$", 0)
	if err != nil {
		return tree{}, err
	}
	if _, end := dec.Token(); end != io.EOF {
		return tree{}, flawed("$", "more after the value", "one JSON value")
	}
	return t, nil
}

func grow(dec *json.Decoder, path string, depth int) (tree, error) {
	var t tree
	if depth > maxDepth {
		return t, flawed(path, "nested", fmt.Sprintf("at most %d deep", maxDepth))
	}
	tok, err := dec.Token()
	if err != nil {
		return t, flawed(path, err.Error(), "JSON")
	}
	switch v := tok.(type) {
	case json.Delim:
		if v == '{' {
			return growObject(dec, path, depth)
		}
		return growList(dec, path, depth)
	case string:
		return tree{kind: 's', str: v}, nil
	case json.Number:
		return tree{kind: 'n', str: v.String()}, nil
	case bool:
		return tree{kind: 'b', str: strconv.FormatBool(v)}, nil
	}
	return tree{kind: '0', str: "null"}, nil
}

func growObject(dec *json.Decoder, path string, depth int) (tree, error) {
	var t tree
	t.kind = 'o'
	seen := map[string]bool{}
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return t, flawed(path, err.Error(), "JSON")
		}
		key, _ := tok.(string)
		if seen[key] {
			return t, flawed(path+"."+key, "twice", "named once")
		}
		seen[key] = true
		kid, err := grow(dec, path+"."+key, depth+1)
		if err != nil {
			return t, err
		}
		t.keys, t.kids = append(t.keys, key), append(t.kids, kid)
	}
	if _, err := dec.Token(); err != nil {
		return t, flawed(path, err.Error(), "JSON")
	}
	return t, nil
}

func growList(dec *json.Decoder, path string, depth int) (tree, error) {
	var t tree
	t.kind = 'a'
	for dec.More() {
		kid, err := grow(dec, fmt.Sprintf("%s[%d]", path, len(t.kids)), depth+1)
		if err != nil {
			return t, err
		}
		t.kids = append(t.kids, kid)
	}
	if _, err := dec.Token(); err != nil {
		return t, flawed(path, err.Error(), "JSON")
	}
	return t, nil
}

func (t tree) show() string {
	switch t.kind {
	case 0:
		return "missing"
	case 'o':
		return fmt.Sprintf("object of %d", len(t.keys))
	case 'a':
		return fmt.Sprintf("list of %d", len(t.kids))
	}
	if len(t.str) > 40 {
		return strconv.Quote(t.str[:40]) + "..."
	}
	return strconv.Quote(t.str)
}
