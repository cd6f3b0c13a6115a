package modelcheck

import (
	"os"
	"runtime/debug"
	"testing"
)

// TestMain makes garbage collection less frequent, because explorations allocate much memory and keep most of it only for one level.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}
