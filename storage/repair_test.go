package storage_test

import (
	"testing"

	"github.com/mallowbridge/mallowbridge/sim/disk"
)

func TestFullDiskIsRepaired(t *testing.T) {
	for seed := range uint64(20) {
		d := disk.New(seed)
		v, _, err := load(d)
		if err != nil || v.Rotate([]byte("a")) != nil || v.Append([][]byte{[]byte("b")}) != nil {
			t.Fatal(err)
		}
		d.Full = true
		if v.Append([][]byte{[]byte("c")}) == nil || v.Recover([]byte("a b c")) == nil {
			t.Fatal("a full disk took a write")
		}
		d.Full = false
		if v.Append([][]byte{[]byte("d")}) == nil {
			t.Fatal("a write was taken before the vault was mended")
		}
		if err = v.Recover([]byte("a b c")); err != nil {
			t.Fatal(err)
		}
		if err = v.Append([][]byte{[]byte("d")}); err != nil {
			t.Fatal(err)
		}
		d.PowerLoss()
		_, all, err := load(d)
		if err != nil || len(all) != 4 {
			t.Fatalf("seed %d: %v, %v", seed, all, err)
		}
	}
}
