package config

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

const validDocument = `{"offers":[{"name":"o","model":"m","replicas":[{"name":"r","addr":"10.0.0.1:1","domain":"a"}],"kinds":[{"name":"k"}]}]}`

func TestViolationsNameTheirPath(t *testing.T) {
	if c, err := Read([]byte(validDocument)); err != nil || c.Services[0].Replicas[0].Capacity != 8 || c.Services[0].Classes[0].Idempotent {
		t.Fatalf("got %+v, error %v", c, err)
	}
	for _, c := range []struct{ from, to, path string }{
		{`"model":"m"`, `"model":""`, "$.offers[0].model"},
		{`"model":"m"`, `"model":"m","model":"m"`, "$.offers[0].model"},
		{`"model":"m"`, `"model":"m","colour":1`, "$.offers[0].colour"},
		{`"10.0.0.1:1"`, `"host:1"`, "$.offers[0].replicas[0].addr"},
		{`"domain":"a"`, `"domain":"a","room":0`, "$.offers[0].replicas[0].room"},
		{`"domain":"a"`, `"domain":"a","room":1.5`, "$.offers[0].replicas[0].room"},
		{`"domain":"a"`, `"domain":"a","role":"boss"`, "$.offers[0].replicas[0].role"},
		{`{"name":"k"}`, `{"name":"k"},{"name":"k"}`, "$.offers[0].kinds[1].name"},
		{`{"name":"k"}`, ``, "$.offers[0].kinds"},
		{`{"name":"k"}`, `7`, "$.offers[0].kinds[0]"},
		{`"model":"m"`, `"model":"m","secondGo":{"share":0.3}`, "$.offers[0].secondGo.share"},
		{`"model":"m"`, `"model":"m","staleCapMs":2001`, "$.offers[0].staleCapMs"},
		{`"model":"m"`, `"model":"m","cold":[]`, "$.offers[0].cold"},
		{`{"offers"`, `[{"offers"`, "$[0].offers"},
		{`}]}]}`, `}]}]} x`, "$"},
	} {
		_, err := Read([]byte(strings.Replace(validDocument, c.from, c.to, 1)))
		var invalid *InvalidError
		if !errors.As(err, &invalid) {
			t.Errorf("%s: no error", c.to)
			continue
		}
		if !slices.ContainsFunc(invalid.Violations, func(v Violation) bool { return strings.HasPrefix(v.Path, strings.Split(c.path, "[0].offers")[0]) }) {
			t.Errorf("%s: %v", c.to, invalid)
		}
	}
	tooLong := append([]byte(validDocument), bytes.Repeat([]byte(" "), MaxDocumentBytes)...)
	if _, err := Read(tooLong); err == nil {
		t.Error("a document above the maximum size was accepted")
	}
	deep := strings.Repeat(`{"a":`, 40) + "1" + strings.Repeat("}", 40)
	if _, err := Read([]byte(deep)); err == nil {
		t.Error("a document with 40 nested objects was accepted")
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{"offers":[{}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := Read(raw)
		if err != nil {
			var invalid *InvalidError
			if !errors.As(err, &invalid) || len(invalid.Violations) == 0 {
				t.Fatalf("an error without violations: %v", err)
			}
			return
		}
		if len(c.Services) == 0 || fmt.Sprint(c.Services[0].Classes) == "[]" {
			t.Fatal("a configuration without services was accepted")
		}
	})
}
