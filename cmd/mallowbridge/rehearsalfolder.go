package main

import (
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/standin"
)

// rehearsalFolder is where a rehearsal's files are, with its ledger opened, and the program that its nodes run: this one.
type rehearsalFolder struct {
	dir, binary string
	ledger      io.Writer
}

// UsedFolderError says that a folder holds the files of an earlier rehearsal, whose disks would tell of another fleet.
type UsedFolderError struct{ Ledger string }

func (e *UsedFolderError) Error() string { return e.Ledger + " is there from an earlier run" }

// openFolder makes the folder where there is none.
func openFolder(dir, ledger string) (rehearsalFolder, error) {
	var f rehearsalFolder
	var err error
	if f.dir, err = filepath.Abs(dir); err != nil {
		return f, trace.Wrap(err)
	}
	if err = os.MkdirAll(f.dir, 0o755); err != nil {
		return f, trace.ConvertSystemError(err)
	}
	if _, err = os.Stat(filepath.Join(f.dir, ledger)); err == nil {
		return f, trace.Wrap(&UsedFolderError{Ledger: filepath.Join(f.dir, ledger)})
	}
	if f.binary, err = os.Executable(); err != nil {
		return f, trace.Wrap(err)
	}
	f.ledger, err = standin.OpenLedger(filepath.Join(f.dir, ledger))
	return f, err
}
