// Package disk simulates a storage.Disk: at a power loss it loses or tears data that was not synced, and it can be set to fail. New makes an
// empty Disk; tests and the simulator then call PowerLoss, Wipe or FlipBit, or set its fault fields. A Disk is owned by one goroutine.
package disk

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// OpError is the reason why a simulated disk failed an operation.
type OpError struct{ Reason string }

func (e *OpError) Error() string { return "disk: " + e.Reason }

// file is one file: its synced contents, its current contents, and whether its name was made durable by SyncFolder.
type file struct {
	synced, current []byte
	nameSynced      bool
}

// Disk is a simulated storage.Disk. While Full is set, writes and syncs fail; while FailSync is set, syncs of files fail. Writes counts
// writes and syncs; after PowerLossAfter of them all further ones fail as if the power were lost (-1: never).
type Disk struct {
	rng            *rand.Rand
	files          map[string]*file
	Full           bool
	FailSync       bool
	Writes         int
	PowerLossAfter int
}

// New returns an empty disk; seed determines what a power loss destroys.
func New(seed uint64) *Disk {
	return &Disk{rng: rand.New(rand.NewPCG(seed, 23)), files: map[string]*file{}, PowerLossAfter: -1}
}

// countWrite counts a write or sync, and returns an error if it must fail.
func (d *Disk) countWrite() error {
	d.Writes++
	if d.PowerLossAfter >= 0 && d.Writes > d.PowerLossAfter {
		return &OpError{Reason: "power is lost"}
	}
	if d.Full {
		return &OpError{Reason: "no space left"}
	}
	return nil
}

// Read returns the contents of a file and whether it exists.
func (d *Disk) Read(name string) ([]byte, bool, error) {
	f := d.files[name]
	if f == nil {
		return nil, false, nil
	}
	return slices.Clone(f.current), true, nil
}

// open returns a file and creates it if necessary.
func (d *Disk) open(name string) *file {
	if d.files[name] == nil {
		d.files[name] = &file{}
	}
	return d.files[name]
}

// Write replaces a file's contents. Like all operations that write, it fails with an OpError.
func (d *Disk) Write(name string, data []byte) error {
	if err := d.countWrite(); err != nil {
		return err
	}
	d.open(name).current = slices.Clone(data)
	return nil
}

// Append appends data to a file.
func (d *Disk) Append(name string, data []byte) error {
	if err := d.countWrite(); err != nil {
		return err
	}
	f := d.open(name)
	f.current = append(slices.Clone(f.current), data...)
	return nil
}

// Truncate shortens a file to size bytes.
func (d *Disk) Truncate(name string, size int) error {
	f := d.open(name)
	if len(f.current) > size {
		f.current = slices.Clone(f.current[:size])
	}
	return nil
}

// Sync makes a file's contents durable.
func (d *Disk) Sync(name string) error {
	if err := d.countWrite(); err != nil {
		return err
	}
	if d.FailSync {
		return &OpError{Reason: "sync failed"}
	}
	f := d.open(name)
	f.synced = slices.Clone(f.current)
	return nil
}

// SyncFolder makes the files' names durable.
func (d *Disk) SyncFolder() error {
	if err := d.countWrite(); err != nil {
		return err
	}
	for _, f := range d.files {
		f.nameSynced = true
	}
	return nil
}

// PowerLoss reduces each file to contents that a power loss may leave, and clears all fault settings. A file whose name is not durable may
// disappear.
func (d *Disk) PowerLoss() {
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		f := d.files[name]
		if !f.nameSynced && d.rng.IntN(2) == 0 {
			delete(d.files, name)
			continue
		}
		f.current = d.afterPowerLoss(f.synced, f.current)
		f.synced, f.nameSynced = slices.Clone(f.current), true
	}
	d.PowerLossAfter, d.Full, d.FailSync = -1, false, false
}

// afterPowerLoss returns contents that may remain of a file: the synced ones, the current ones truncated somewhere behind the common start
// of both, or the current ones with some bytes zeroed.
func (d *Disk) afterPowerLoss(kept, now []byte) []byte {
	if slices.Equal(kept, now) {
		return kept
	}
	same := 0
	for same < min(len(kept), len(now)) && kept[same] == now[same] {
		same++
	}
	switch d.rng.IntN(3) {
	case 0:
		return kept
	case 1:
		return slices.Clone(now[:same+d.rng.IntN(len(now)-same+1)])
	}
	left := slices.Clone(now)
	for i := same; i < len(left); i++ {
		if d.rng.IntN(4) == 0 {
			left[i] = 0
		}
	}
	return left
}

// SyncedCopy returns a copy of all synced contents of files with durable names, which any power loss leaves.
func (d *Disk) SyncedCopy() map[string]*file {
	files := map[string]*file{}
	for name, f := range d.files {
		if f.nameSynced {
			files[name] = &file{synced: slices.Clone(f.synced), current: slices.Clone(f.synced), nameSynced: true}
		}
	}
	return files
}

// Restore replaces all files by an earlier SyncedCopy.
func (d *Disk) Restore(files map[string]*file) { d.files = files }

// Wipe removes all files.
func (d *Disk) Wipe() { d.files = map[string]*file{} }

// FlipBit flips a bit in the byte at offset at; ok is false if the file has no such byte.
func (d *Disk) FlipBit(name string, at int) (ok bool) {
	f := d.files[name]
	if f == nil || at >= len(f.current) {
		return false
	}
	f.current = slices.Clone(f.current)
	f.current[at] ^= 0x40
	f.synced = slices.Clone(f.current)
	return true
}

// Size returns the length of a file in bytes, 0 if it does not exist.
func (d *Disk) Size(name string) int {
	if d.files[name] == nil {
		return 0
	}
	return len(d.files[name].current)
}
