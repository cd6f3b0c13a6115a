package control

import (
	"bytes"
	"encoding/json"
	"testing"
)

// TestStatusShowsNoKeys: the document of a platform may hold secrets, the product's own is part of the status.
func TestStatusShowsNoKeys(t *testing.T) {
	for _, platform := range []bool{false, true} {
		l := newLone()
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
