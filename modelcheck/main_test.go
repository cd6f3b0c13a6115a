package modelcheck

import (
	"os"
	"runtime/debug"
	"testing"
)

// TestMain collects garbage less often: explorations allocate much and keep most of it for a level only.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}
