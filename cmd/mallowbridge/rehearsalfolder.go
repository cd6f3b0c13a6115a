package main

import (
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/standin"
)

// rehearsalFolder is the directory of a rehearsal's files, with its opened ledger. binary is the program that the nodes run: this one.
type rehearsalFolder struct {
	dir, binary string
	ledger      io.Writer
}

// UsedFolderError is the error if a directory contains the files of an earlier rehearsal, whose disks have the state of another fleet.
type UsedFolderError struct{ Ledger string }

func (e *UsedFolderError) Error() string {
	return e.Ledger + " already exists from an earlier run; use another directory"
}

// openRehearsalFolder creates the directory if it does not exist and opens a new ledger in it.
func openRehearsalFolder(dir, ledger string) (rehearsalFolder, error) {
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
