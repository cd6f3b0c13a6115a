package control

import (
	"bytes"
	"encoding/json"
	"testing"
)

// TestStatusShowsNoKeys checks that the status contains the product's own document, but not that of a platform, which may contain secrets.
func TestStatusShowsNoKeys(t *testing.T) {
	for _, platform := range []bool{false, true} {
		l := newLoneNode()
		l.n.value = value(1)
		l.n.config.HidesDocument = platform
		text, err := json.Marshal(l.n.Status(l.now))
		if err != nil {
			t.Fatal(err)
		}
		if bytes.Contains(text, []byte("offers")) == platform {
			t.Errorf("platform %v: %s", platform, text)
		}
	}
}
