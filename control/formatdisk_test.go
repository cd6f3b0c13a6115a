package control_test

import (
	"bytes"
	"os"
	"reflect"
	"testing"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/storage"
)

// diskFolder is a data folder that the former build wrote: a slot with a document, followed by a log with an entry of every kind.
const diskFolder = "testdata/disk"

// diskWrites returns the entries after the slot: a promise, a grant, and an accepted value whose document is a delta.
func diskWrites() []control.LogWrite {
	value := filled[*register.Value]()
	value.Document = text(2)
	return []control.LogWrite{
		{Seq: 1, Entry: control.Promised{Ballot: register.Ballot{N: 7, By: "p"}}},
		{Seq: 2, Entry: control.Granted{Role: "probe/z1", Record: filled[lease.Record]()}},
		{Seq: 3, Entry: control.AcceptedEntry{Ballot: register.Ballot{N: 8, By: "q"}, Value: value}},
	}
}

// writeDisk writes the data folder that the tests of the disk's format read.
func writeDisk(t *testing.T, path string) {
	t.Helper()
	journal := openFolder(t, path)
	if err := journal.Append(accepted(1)); err != nil {
		t.Fatal(err)
	}
	if err := journal.Recover(); err != nil {
		t.Fatal(err)
	}
	if err := journal.Append(diskWrites()); err != nil {
		t.Fatal(err)
	}
}

func openFolder(t *testing.T, path string) *control.Journal {
	t.Helper()
	folder, err := storage.OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	journal, err := control.OpenJournal(folder, "disk1")
	if err != nil {
		t.Fatal(err)
	}
	return journal
}

// formerDisk copies the frozen folder to one that may be written to.
func formerDisk(t *testing.T) string {
	t.Helper()
	if _, err := os.Stat(diskFolder); os.IsNotExist(err) && *writeFormat {
		if err = os.MkdirAll(diskFolder, 0o755); err != nil {
			t.Fatal(err)
		}
		writeDisk(t, diskFolder)
	}
	path := t.TempDir()
	if err := os.CopyFS(path, os.DirFS(diskFolder)); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestFormerBuildsDiskIsRead(t *testing.T) {
	journal := openFolder(t, formerDisk(t))
	writes := diskWrites()
	last := writes[2].Entry.(control.AcceptedEntry)
	grant := writes[1].Entry.(control.Granted)
	want := control.DiskState{
		Register: register.State{Disk: "disk1", Promised: last.Ballot, Accepted: last.Ballot, Value: last.Value},
		Grants:   map[string]lease.Record{grant.Role: grant.Record},
	}
	if got := journal.State(); !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v, want\n%+v", got, want)
	}
	if what := journal.RepairReport(); what != "" {
		t.Errorf("an undamaged disk was repaired: %s", what)
	}
}

// TestFormerBuildReadsOurDisk compares the field names and types in the slot and in each log entry with those that the former build wrote,
// because that build finds the fields by their names.
func TestFormerBuildReadsOurDisk(t *testing.T) {
	ours := t.TempDir()
	writeDisk(t, ours)
	want, got := records(t, formerDisk(t)), records(t, ours)
	if len(got) != len(want) {
		t.Fatalf("%d records written, want %d", len(got), len(want))
	}
	for i := range want {
		if got, want := schema(t, got[i]), schema(t, want[i]); !reflect.DeepEqual(got, want) {
			t.Errorf("record %d: written %q, want %q", i, got, want)
		}
	}
}

// records returns the encoded slot of a data folder and the encoded entries after it.
func records(t *testing.T, path string) [][]byte {
	t.Helper()
	folder, err := storage.OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	_, contents, err := storage.Open(folder, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	return append([][]byte{contents.Snapshot}, contents.Entries...)
}

// TestFormerBuildsDiskIsWrittenOn appends to a disk of the former build and reads the entries of both builds.
func TestFormerBuildsDiskIsWrittenOn(t *testing.T) {
	path := formerDisk(t)
	if err := openFolder(t, path).Append(accepted(3)); err != nil {
		t.Fatal(err)
	}
	state := openFolder(t, path).State()
	if !bytes.Equal(state.Register.Value.Document, text(3)) || state.Grants["probe/z1"] != filled[lease.Record]() {
		t.Errorf("read %d bytes of document, grants %+v", len(state.Register.Value.Document), state.Grants)
	}
}
