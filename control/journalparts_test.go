package control_test

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/sim/disk"
	"github.com/mallowbridge/mallowbridge/storage"
)

var texts = map[int][]byte{}

// text returns a document of about 45 KB in which one line depends on the number. If the number is a multiple of 8, it returns 600 KiB of
// random bytes instead, which have nothing in common with the other documents.
func text(number int) (raw []byte) {
	if raw = texts[number]; raw != nil {
		return raw
	}
	defer func() { texts[number] = raw }()
	if number%8 == 0 {
		raw = make([]byte, 600<<10)
		_, _ = rand.NewChaCha8([32]byte{byte(number)}).Read(raw)
		return raw
	}
	var b bytes.Buffer
	for i := range 1000 {
		if i == number*61%1000 {
			fmt.Fprintf(&b, "changed by %d,", number)
		}
		fmt.Fprintf(&b, `{"line":%d,"part":"of the document %d"},`, i, i*i)
	}
	return b.Bytes()
}

func accepted(number int) []control.LogWrite {
	ballot := register.Ballot{N: uint64(number), By: "p"}
	v := &register.Value{Version: uint64(number), Document: text(number)}
	return []control.LogWrite{{Seq: 1, Entry: control.Promised{Ballot: ballot}}, {Seq: 2, Entry: control.AcceptedEntry{Ballot: ballot, Value: v}}}
}

// opened opens the disk and returns its journal and the number of the last accepted document.
func opened(t *testing.T, d *disk.Disk) (*control.Journal, int) {
	t.Helper()
	k, err := control.OpenJournal(d, "disk")
	if err != nil {
		t.Fatal(err)
	}
	v := k.State().Register.Value
	if v == nil {
		return k, 0
	}
	if !bytes.Equal(v.Document, text(int(v.Version))) {
		t.Fatalf("document %d differs after a restart", v.Version)
	}
	if v.DocumentManifest != nil {
		t.Error("the value from the disk has a manifest")
	}
	return k, int(v.Version)
}

// TestPowerIsLostAtEachWrite loses power at each write in turn. Every acknowledged write must survive, with both the chunks and the vote.
func TestPowerIsLostAtEachWrite(t *testing.T) {
	const changes = 20
	rotated := false
	for cut := 1; cut < 2*changes+20; cut++ {
		d := disk.New(uint64(cut))
		k, _ := opened(t, d)
		d.PowerLossAfter = d.Writes + cut
		kept := 0
		for i := 1; i <= changes; i++ {
			if k.Append(accepted(i)) != nil {
				break
			}
			kept = i
		}
		d.PowerLoss()
		k, number := opened(t, d)
		if number < kept || number > kept+1 {
			t.Fatalf("power lost at write %d: read document %d, but %d was acknowledged", cut, number, kept)
		}
		if err := k.Append(accepted(changes + 1)); err != nil {
			t.Fatal(err)
		}
		if _, number = opened(t, d); number != changes+1 {
			t.Fatalf("power lost at write %d: read document %d after another change", cut, number)
		}
		rotated = rotated || d.Size("slot0") > 0 && d.Size("slot1") > 0
	}
	if !rotated {
		t.Error("the log was never rotated: the test proves little")
	}
}

func TestFullDiskLosesNothingAcknowledged(t *testing.T) {
	d := disk.New(1)
	k, _ := opened(t, d)
	for i := 1; i <= 5; i++ {
		if err := k.Append(accepted(i)); err != nil {
			t.Fatal(err)
		}
	}
	d.Full = true
	var broken *storage.WriteFailedError
	if err := k.Append(accepted(6)); !errors.As(err, &broken) {
		t.Fatalf("append to a full disk: %v", err)
	}
	if err := k.Append(accepted(7)); !errors.As(err, &broken) {
		t.Fatalf("append after a failed write: %v", err)
	}
	d.Full = false
	if err := k.Recover(); err != nil {
		t.Fatal(err)
	}
	if err := k.Append(accepted(8)); err != nil {
		t.Fatal(err)
	}
	if _, number := opened(t, d); number != 8 {
		t.Errorf("read document %d", number)
	}
}

// TestDiskHoldsOnlyChanges checks that the log grows only by what changes and that the disk's size stays within a few times that of the
// document.
func TestDiskHoldsOnlyChanges(t *testing.T) {
	d := disk.New(1)
	k, _ := opened(t, d)
	size := func() int {
		var bytes int
		for _, name := range []string{"slot0", "slot1", "log0", "log1"} {
			bytes += d.Size(name)
		}
		return bytes
	}
	if err := k.Append(accepted(1)); err != nil {
		t.Fatal(err)
	}
	before := size()
	if err := k.Append(accepted(2)); err != nil {
		t.Fatal(err)
	}
	if grown := size() - before; grown > len(text(1))/4 {
		t.Errorf("a change of one line writes %d bytes", grown)
	}
	most := 0
	for i := 3; i < 1000; i++ {
		if err := k.Append(accepted(i)); err != nil {
			t.Fatal(err)
		}
		most = max(most, size())
	}
	// The bound is two slots of one document each, and two logs of a mebibyte each with the entry that fills them.
	if bound := 2*2*len(text(8)) + 2<<20; most > bound+bound/20 {
		t.Errorf("%d bytes on disk, more than %d", most, bound)
	}
	if _, number := opened(t, d); number != 999 {
		t.Errorf("read document %d", number)
	}
}

// TestDiskOfTheBuildBeforeIsRead covers the entries of the previous build, which contain whole documents.
func TestDiskOfTheBuildBeforeIsRead(t *testing.T) {
	type oldAcceptedEntry struct {
		Ballot register.Ballot
		Value  *register.EncodedValue
	}
	type oldEntry struct {
		Promised *control.Promised
		Accepted *oldAcceptedEntry
	}
	d := disk.New(1)
	if _, number := opened(t, d); number != 0 {
		t.Fatal("not empty")
	}
	s, _, err := storage.Open(d, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= 3; i++ {
		var b bytes.Buffer
		e := oldEntry{Accepted: &oldAcceptedEntry{Ballot: register.Ballot{N: uint64(i)}, Value: &register.EncodedValue{Mark: uint64(i), Body: text(i)}}}
		if err = gob.NewEncoder(&b).Encode(e); err != nil {
			t.Fatal(err)
		}
		if err = s.Append([][]byte{b.Bytes()}); err != nil {
			t.Fatal(err)
		}
	}
	k, number := opened(t, d)
	if number != 3 {
		t.Fatalf("read document %d", number)
	}
	if err = k.Append(accepted(4)); err != nil {
		t.Fatal(err)
	}
	if _, number = opened(t, d); number != 4 {
		t.Errorf("read document %d", number)
	}
}
