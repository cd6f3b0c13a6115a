package control

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/mallowbridge/mallowbridge/config"
)

// TestStatusShowsNoKeys: the document of a platform may hold secrets, the product's own is part of the status.
func TestStatusShowsNoKeys(t *testing.T) {
	for _, platform := range []bool{false, true} {
		l := newLone()
		l.n.value = value(1)
		if platform {
			l.n.config.Read = func([]byte) (config.Config, error) { return config.Config{}, nil }
		}
		text, err := json.Marshal(l.n.Status(l.now))
		if err != nil {
			t.Fatal(err)
		}
		if bytes.Contains(text, []byte("offers")) == platform {
			t.Errorf("platform %v: %s", platform, text)
		}
	}
}
