package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
)

// Disk is a folder of files. Only what was synced outlives a loss of power: contents by Sync, and names of new files by SyncFolder.
type Disk interface {
	// Read returns a whole file; exists is false where there is none.
	Read(name string) (data []byte, exists bool, err error)
	// Write replaces a file's contents in place, and makes it if it is missing.
	Write(name string, data []byte) error
	// Append writes behind the end of a file, and makes it if it is missing.
	Append(name string, data []byte) error
	// Sync makes a file's contents durable, not its name.
	Sync(name string) error
	// SyncFolder makes the names of all files durable.
	SyncFolder() error
	// Truncate cuts a file to size bytes.
	Truncate(name string, size int) error
}

// FolderError is returned for a folder that cannot be made.
type FolderError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *FolderError) Error() string { return "data folder " + e.Path + ": " + e.Cause.Error() }

// Folder is a Disk in the file system. It keeps its files open.
type Folder struct {
	path string
	open map[string]*os.File
}

// Unwrap gives the cause.
func (e *FolderError) Unwrap() error { return e.Cause }

// OpenFolder makes the folder if it is missing.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, trace.Wrap(&FolderError{Path: path, Cause: err})
	}
	return &Folder{path: path, open: map[string]*os.File{}}, nil
}

func (f *Folder) at(name string) string { return filepath.Join(f.path, name) }

// Read implements Disk.
func (f *Folder) Read(name string) ([]byte, bool, error) {
	data, err := os.ReadFile(f.at(name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	return data, err == nil, trace.ConvertSystemError(err)
}

func (f *Folder) file(name string) (*os.File, error) {
	var file *os.File
	if file = f.open[name]; file != nil {
		return file, nil
	}
	file, err := os.OpenFile(f.at(name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	f.open[name] = file
	return file, nil
}

// Write implements Disk.
func (f *Folder) Write(name string, data []byte) error {
	file, err := f.file(name)
	if err != nil {
		return err
	}
	if err = file.Truncate(0); err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = file.WriteAt(data, 0)
	return trace.ConvertSystemError(err)
}

// Append implements Disk.
func (f *Folder) Append(name string, data []byte) error {
	file, err := f.file(name)
	if err != nil {
		return err
	}
	end, err := file.Seek(0, 2)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = file.WriteAt(data, end)
	return trace.ConvertSystemError(err)
}

// Sync implements Disk.
func (f *Folder) Sync(name string) error {
	file, err := f.file(name)
	if err != nil {
		return err
	}
	return trace.ConvertSystemError(file.Sync())
}

// SyncFolder implements Disk.
func (f *Folder) SyncFolder() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer dir.Close()
	return trace.ConvertSystemError(dir.Sync())
}

// Truncate implements Disk.
func (f *Folder) Truncate(name string, size int) error {
	file, err := f.file(name)
	if err != nil {
		return err
	}
	return trace.ConvertSystemError(file.Truncate(int64(size)))
}
