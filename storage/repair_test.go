package storage_test

import (
	"testing"

	"github.com/mallowbridge/mallowbridge/sim/disk"
)

// TestRecoverAfterFullDisk checks that after a failed write to a full disk all writes fail until Recover has written the whole state again.
func TestRecoverAfterFullDisk(t *testing.T) {
	for seed := range uint64(20) {
		d := disk.New(seed)
		store, _, err := load(d)
		if err != nil || store.Rotate([]byte("a")) != nil || store.Append([][]byte{[]byte("b")}) != nil {
			t.Fatal(err)
		}
		d.Full = true
		if store.Append([][]byte{[]byte("c")}) == nil || store.Recover([]byte("a b c")) == nil {
			t.Fatal("a write to a full disk succeeded")
		}
		d.Full = false
		if store.Append([][]byte{[]byte("d")}) == nil {
			t.Fatal("Append succeeded after a failed write and before Recover")
		}
		if err = store.Recover([]byte("a b c")); err != nil {
			t.Fatal(err)
		}
		if err = store.Append([][]byte{[]byte("d")}); err != nil {
			t.Fatal(err)
		}
		d.PowerLoss()
		_, all, err := load(d)
		if err != nil || len(all) != 4 {
			t.Fatalf("seed %d: %v, %v", seed, all, err)
		}
	}
}
