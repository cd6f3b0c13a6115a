package control_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/sim/disk"
)

// TestNewFullDiskIsRepairedLater starts a machine whose disk came back empty while the disk accepts no writes. The state must be written
// once it does.
func TestNewFullDiskIsRepairedLater(t *testing.T) {
	d := disk.New(1)
	d.Full = true
	k, err := control.OpenJournal(d, "fresh")
	if err != nil {
		t.Fatal(err)
	}
	promised := control.Promised{Ballot: register.Ballot{N: 3, By: "p"}}
	if k.Append([]control.LogWrite{{Seq: 1, Entry: promised}}) == nil {
		t.Fatal("a full disk accepted an entry")
	}
	d.Full = false
	if err = k.Recover(); err != nil {
		t.Fatal(err)
	}
	d.PowerLoss()
	if k, err = control.OpenJournal(d, "other"); err != nil {
		t.Fatal(err)
	}
	if kept := k.State().Register; kept.Disk != "fresh" || kept.Promised != promised.Ballot {
		t.Errorf("kept %+v", kept)
	}
}

func noise(seed uint64) []byte {
	raw := make([]byte, 64<<10)
	_, _ = rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)}).Read(raw)
	return raw
}

// TestJournalKeepsHundredsOfChanges writes values that have nothing in common through many rotations of the log, with a restart after each
// hundred.
func TestJournalKeepsHundredsOfChanges(t *testing.T) {
	d := disk.New(2)
	for incarnation := range 5 {
		k, err := control.OpenJournal(d, "fresh")
		if err != nil {
			t.Fatal(err)
		}
		if kept := k.State().Register; incarnation > 0 && (kept.Value == nil || kept.Value.Version != uint64(100*incarnation) || !bytes.Equal(kept.Value.Document, noise(uint64(100*incarnation)))) {
			t.Fatalf("incarnation %d: kept %+v", incarnation, kept)
		}
		for i := range 100 {
			version := uint64(100*incarnation + i + 1)
			v := &register.Value{Version: version, Document: noise(version)}
			at := register.Ballot{N: version, By: fmt.Sprint(incarnation)}
			if err = k.Append([]control.LogWrite{{Entry: control.Promised{Ballot: at}}, {Entry: control.AcceptedEntry{Ballot: at, Value: v}}}); err != nil {
				t.Fatal(err)
			}
		}
		d.PowerLoss()
	}
}
