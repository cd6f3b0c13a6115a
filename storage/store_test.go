package storage_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/mallowbridge/mallowbridge/sim/disk"
	"github.com/mallowbridge/mallowbridge/storage"
)

// load opens the disk and returns all entries: those in the snapshot, separated by spaces, and those in the log.
func load(d *disk.Disk) (*storage.Store, []string, error) {
	store, contents, err := storage.Open(d, 300)
	if err != nil {
		return nil, nil, err
	}
	var all []string
	for _, s := range bytes.Fields(contents.Snapshot) {
		all = append(all, string(s))
	}
	for _, e := range contents.Entries {
		all = append(all, string(e))
	}
	return store, all, nil
}

// write appends n entries, rotating when the log is full, until a write fails. It returns the number of acknowledged entries.
func write(d *disk.Disk, n int) int {
	store, all, err := load(d)
	if err != nil {
		return 0
	}
	if store.Empty() && store.Rotate(nil) != nil {
		return 0
	}
	var acked int
	for i := range n {
		e := fmt.Sprintf("entry-%03d", i)
		all = append(all, e)
		if err = store.Append([][]byte{[]byte(e)}); err == nil && store.Full() {
			err = store.Rotate(bytes.Join(toByteSlices(all), []byte(" ")))
		}
		if err != nil {
			return acked
		}
		acked++
	}
	return acked
}

func toByteSlices(ss []string) [][]byte {
	var bs [][]byte
	for _, s := range ss {
		bs = append(bs, []byte(s))
	}
	return bs
}

func TestPowerLossAtEachWrite(t *testing.T) {
	const n = 40
	intact := disk.New(1)
	write(intact, n)
	if intact.Writes < 90 {
		t.Fatalf("only %d writes: the test no longer covers rotations", intact.Writes)
	}
	for seed := range uint64(6) {
		for failingWrite := range intact.Writes {
			d := disk.New(seed)
			d.PowerLossAfter = failingWrite
			acked := write(d, n)
			d.PowerLoss()
			_, got, err := load(d)
			if err != nil {
				t.Fatalf("seed %d, power loss at write %d: %v", seed, failingWrite, err)
			}
			if len(got) < acked || len(got) > acked+1 {
				t.Fatalf("seed %d, power loss at write %d: %d acknowledged, %d read", seed, failingWrite, acked, len(got))
			}
			for i, e := range got {
				if e != fmt.Sprintf("entry-%03d", i) {
					t.Fatalf("seed %d, power loss at write %d: entry %d reads %q", seed, failingWrite, i, e)
				}
			}
		}
	}
}

func TestEachDamagedByteIsDetectedOrTolerated(t *testing.T) {
	const n = 40
	for _, name := range []string{"slot0", "slot1", "log0", "log1"} {
		intact := disk.New(1)
		write(intact, n)
		for at := range intact.Size(name) {
			d := disk.New(1)
			write(d, n)
			d.FlipBit(name, at)
			_, got, err := load(d)
			var bad *storage.UnreadableError
			if errors.As(err, &bad) {
				if bad.File == "" {
					t.Fatalf("%s damaged at %d: the error has no file name", name, at)
				}
				continue
			}
			if err != nil || len(got) < n-1 {
				t.Fatalf("%s damaged at %d: read %d of %d, %v", name, at, len(got), n, err)
			}
			for i, e := range got {
				if e != fmt.Sprintf("entry-%03d", i) {
					t.Fatalf("%s damaged at %d: entry %d reads %q", name, at, i, e)
				}
			}
		}
	}
}

func TestNothingIsWrittenAfterAFailedSync(t *testing.T) {
	d := disk.New(1)
	write(d, 3)
	store, _, err := load(d)
	if err != nil {
		t.Fatal(err)
	}
	d.FailSync = true
	if store.Append([][]byte{[]byte("lost")}) == nil {
		t.Fatal("Append succeeded although the sync failed")
	}
	d.FailSync = false
	var broken *storage.WriteFailedError
	if err = store.Append([][]byte{[]byte("more")}); !errors.As(err, &broken) {
		t.Fatalf("Append after a failed sync: %v", err)
	}
	if err = store.Rotate([]byte("x")); !errors.As(err, &broken) {
		t.Fatalf("Rotate after a failed sync: %v", err)
	}
}

func TestFolderKeepsWrittenData(t *testing.T) {
	path := t.TempDir()
	for round := range 3 {
		f, err := storage.OpenFolder(path)
		if err != nil {
			t.Fatal(err)
		}
		store, contents, err := storage.Open(f, 64)
		if err != nil {
			t.Fatal(err)
		}
		if round == 0 {
			if !store.Empty() || store.Rotate([]byte("s0")) != nil || store.Append([][]byte{[]byte("a"), []byte("b")}) != nil {
				t.Fatal("the new folder is not empty or cannot be written")
			}
			continue
		}
		if string(contents.Snapshot) != "s0" || len(contents.Entries) != 2 || string(contents.Entries[1]) != "b" {
			t.Fatalf("round %d read %q", round, contents)
		}
	}
}

func FuzzOpen(f *testing.F) {
	d := disk.New(1)
	write(d, 12)
	var raws [4][]byte
	for i, name := range []string{"slot0", "slot1", "log0", "log1"} {
		raws[i], _, _ = d.Read(name)
	}
	f.Add(raws[0], raws[1], raws[2], raws[3])
	f.Fuzz(func(t *testing.T, s0, s1, l0, l1 []byte) {
		d := disk.New(1)
		for name, raw := range map[string][]byte{"slot0": s0, "slot1": s1, "log0": l0, "log1": l1} {
			if len(raw) > 0 && d.Write(name, raw) != nil {
				t.Fatal("the simulated disk failed a write")
			}
		}
		store, _, err := storage.Open(d, 300)
		var bad *storage.UnreadableError
		if err != nil && !errors.As(err, &bad) {
			t.Fatalf("Open returned %v, not an UnreadableError", err)
		}
		if err == nil && !store.Empty() && store.Append([][]byte{[]byte("x")}) != nil {
			t.Fatal("Append failed after a successful Open")
		}
	})
}
