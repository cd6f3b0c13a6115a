package storage_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/mallowbridge/mallowbridge/sim/disk"
	"github.com/mallowbridge/mallowbridge/storage"
)

func load(d *disk.Disk) (*storage.Store, []string, error) {
	v, contents, err := storage.Open(d, 300)
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
	return v, all, nil
}

func write(d *disk.Disk, n int) int {
	v, all, err := load(d)
	if err != nil {
		return 0
	}
	if v.Empty() && v.Rotate(nil) != nil {
		return 0
	}
	var acked int
	for i := range n {
		e := fmt.Sprintf("entry-%03d", i)
		all = append(all, e)
		if err = v.Append([][]byte{[]byte(e)}); err == nil && v.Full() {
			err = v.Rotate(bytes.Join(byteses(all), []byte(" ")))
		}
		if err != nil {
			return acked
		}
		acked++
	}
	return acked
}

func byteses(ss []string) [][]byte {
	var bs [][]byte
	for _, s := range ss {
		bs = append(bs, []byte(s))
	}
	return bs
}

func TestPowerLossAtEachWrite(t *testing.T) {
	const n = 40
	complete := disk.New(1)
	write(complete, n)
	if complete.Writes < 90 {
		t.Fatalf("only %d writes: the test no longer covers turns", complete.Writes)
	}
	for seed := range uint64(6) {
		for powerLost := range complete.Writes {
			d := disk.New(seed)
			d.PowerLossAfter = powerLost
			acked := write(d, n)
			d.PowerLoss()
			_, got, err := load(d)
			if err != nil {
				t.Fatalf("seed %d, cut at %d: %v", seed, powerLost, err)
			}
			if len(got) < acked || len(got) > acked+1 {
				t.Fatalf("seed %d, cut at %d: %d acknowledged, %d read", seed, powerLost, acked, len(got))
			}
			for i, e := range got {
				if e != fmt.Sprintf("entry-%03d", i) {
					t.Fatalf("seed %d, cut at %d: entry %d reads %q", seed, powerLost, i, e)
				}
			}
		}
	}
}

func TestEachDamagedByteIsDetectedOrTolerated(t *testing.T) {
	const n = 40
	for _, name := range []string{"slot0", "slot1", "log0", "log1"} {
		complete := disk.New(1)
		write(complete, n)
		for at := range complete.Size(name) {
			d := disk.New(1)
			write(d, n)
			d.FlipBit(name, at)
			_, got, err := load(d)
			var bad *storage.UnreadableError
			if errors.As(err, &bad) {
				if bad.File == "" {
					t.Fatalf("%s at %d: nameless", name, at)
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
	v, _, err := load(d)
	if err != nil {
		t.Fatal(err)
	}
	d.FailSync = true
	if v.Append([][]byte{[]byte("lost")}) == nil {
		t.Fatal("a failed sync was taken for a good one")
	}
	d.FailSync = false
	var broken *storage.WriteFailedError
	if err = v.Append([][]byte{[]byte("more")}); !errors.As(err, &broken) {
		t.Fatalf("wrote on after a failed sync: %v", err)
	}
	if err = v.Rotate([]byte("x")); !errors.As(err, &broken) {
		t.Fatalf("turned slots after a failed sync: %v", err)
	}
}

func TestFolderKeepsWhatWasWritten(t *testing.T) {
	path := t.TempDir()
	for round := range 3 {
		f, err := storage.OpenFolder(path)
		if err != nil {
			t.Fatal(err)
		}
		v, contents, err := storage.Open(f, 64)
		if err != nil {
			t.Fatal(err)
		}
		if round == 0 {
			if !v.Empty() || v.Rotate([]byte("s0")) != nil || v.Append([][]byte{[]byte("a"), []byte("b")}) != nil {
				t.Fatal("first round")
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
				t.Fatal("write")
			}
		}
		v, _, err := storage.Open(d, 300)
		var bad *storage.UnreadableError
		if err != nil && !errors.As(err, &bad) {
			t.Fatalf("an untyped error: %v", err)
		}
		if err == nil && !v.Empty() && v.Append([][]byte{[]byte("x")}) != nil {
			t.Fatal("opened, yet it takes no entry")
		}
	})
}
