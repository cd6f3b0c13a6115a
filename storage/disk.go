package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
)

// Disk is a folder of files. Only synced data survives a power loss: Sync makes a file's contents durable, SyncFolder the names of new files.
type Disk interface {
	// Read returns the contents of a file; exists is false if there is no such file.
	Read(name string) (data []byte, exists bool, err error)
	// Write replaces a file's contents in place. It creates the file if it does not exist.
	Write(name string, data []byte) error
	// Append writes data at the end of a file. It creates the file if it does not exist.
	Append(name string, data []byte) error
	// Sync makes a file's contents durable, but not its name.
	Sync(name string) error
	// SyncFolder makes the names of all files durable.
	SyncFolder() error
	// Truncate shortens a file to size bytes.
	Truncate(name string, size int) error
}

// FolderError is returned by OpenFolder if the folder cannot be created.
type FolderError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *FolderError) Error() string {
	return "cannot create data folder " + e.Path + ": " + e.Cause.Error()
}

// Folder is a Disk in the file system. It keeps the files that it writes to open.
type Folder struct {
	path string
	open map[string]*os.File
}

// Unwrap returns the cause.
func (e *FolderError) Unwrap() error { return e.Cause }

// OpenFolder returns a Disk for the folder at path, which it creates if it does not exist.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, trace.Wrap(&FolderError{Path: path, Cause: err})
	}
	return &Folder{path: path, open: map[string]*os.File{}}, nil
}

func (f *Folder) filePath(name string) string { return filepath.Join(f.path, name) }

// Read implements Disk.
func (f *Folder) Read(name string) ([]byte, bool, error) {
	data, err := os.ReadFile(f.filePath(name))
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
	file, err := os.OpenFile(f.filePath(name), os.O_RDWR|os.O_CREATE, 0o600)
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
	folder, err := os.Open(f.path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer folder.Close()
	return trace.ConvertSystemError(folder.Sync())
}

// Truncate implements Disk.
func (f *Folder) Truncate(name string, size int) error {
	file, err := f.file(name)
	if err != nil {
		return err
	}
	return trace.ConvertSystemError(file.Truncate(int64(size)))
}
