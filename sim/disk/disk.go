// Package disk is a simulated storage.Disk that loses or tears what was not synced when the power goes, and fails when it is told to. A
// Disk is owned by one goroutine.
package disk

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// OpError says why a simulated disk refused an operation.
type OpError struct{ Reason string }

func (e *OpError) Error() string { return "disk: " + e.Reason }

type file struct {
	kept, now []byte
	named     bool
}

// Disk is a simulated storage.Disk that forgets or tears what was not synced at a power cut. Full and BadSync have writes and syncs fail;
// PowerLossAt is after how many writes the power goes (-1: never).
type Disk struct {
	rng            *rand.Rand
	files          map[string]*file
	Full           bool
	FailSync       bool
	Writes         int
	PowerLossAfter int
}

// New makes an empty disk.
func New(seed uint64) *Disk {
	return &Disk{rng: rand.New(rand.NewPCG(seed, 23)), files: map[string]*file{}, PowerLossAfter: -1}
}

func (d *Disk) spent() error {
	d.Writes++
	if d.PowerLossAfter >= 0 && d.Writes > d.PowerLossAfter {
		return &OpError{Reason: "power is gone"}
	}
	if d.Full {
		return &OpError{Reason: "no space left"}
	}
	return nil
}

// Read reads a file; found is false where there is none.
func (d *Disk) Read(name string) ([]byte, bool, error) {
	f := d.files[name]
	if f == nil {
		return nil, false, nil
	}
	return slices.Clone(f.now), true, nil
}

func (d *Disk) get(name string) *file {
	if d.files[name] == nil {
		d.files[name] = &file{}
	}
	return d.files[name]
}

// Write replaces a file. It fails with a OpError, as the other operations that write do.
func (d *Disk) Write(name string, data []byte) error {
	if err := d.spent(); err != nil {
		return err
	}
	d.get(name).now = slices.Clone(data)
	return nil
}

// Append adds to a file.
func (d *Disk) Append(name string, data []byte) error {
	if err := d.spent(); err != nil {
		return err
	}
	f := d.get(name)
	f.now = append(slices.Clone(f.now), data...)
	return nil
}

// Truncate shortens a file.
func (d *Disk) Truncate(name string, size int) error {
	f := d.get(name)
	if len(f.now) > size {
		f.now = slices.Clone(f.now[:size])
	}
	return nil
}

// Sync makes a file's contents durable.
func (d *Disk) Sync(name string) error {
	if err := d.spent(); err != nil {
		return err
	}
	if d.FailSync {
		return &OpError{Reason: "sync failed"}
	}
	f := d.get(name)
	f.kept = slices.Clone(f.now)
	return nil
}

// SyncFolder makes the files' names durable.
func (d *Disk) SyncFolder() error {
	if err := d.spent(); err != nil {
		return err
	}
	for _, f := range d.files {
		f.named = true
	}
	return nil
}

// PowerLoss leaves of each file what a power cut may leave, and makes the disk sound again.
func (d *Disk) PowerLoss() {
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		f := d.files[name]
		if !f.named && d.rng.IntN(2) == 0 {
			delete(d.files, name)
			continue
		}
		f.now = d.torn(f.kept, f.now)
		f.kept, f.named = slices.Clone(f.now), true
	}
	d.PowerLossAfter, d.Full, d.FailSync = -1, false, false
}

func (d *Disk) torn(kept, now []byte) []byte {
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

// SyncedCopy is what a power cut would leave at best: all that was synced.
func (d *Disk) SyncedCopy() map[string]*file {
	files := map[string]*file{}
	for name, f := range d.files {
		if f.named {
			files[name] = &file{kept: slices.Clone(f.kept), now: slices.Clone(f.kept), named: true}
		}
	}
	return files
}

// Restore puts an earlier copy in place of what is there.
func (d *Disk) Restore(files map[string]*file) { d.files = files }

// Wipe loses all files.
func (d *Disk) Wipe() { d.files = map[string]*file{} }

// FlipBit flips a bit of a file; ok is false where the file is shorter.
func (d *Disk) FlipBit(name string, at int) (ok bool) {
	f := d.files[name]
	if f == nil || at >= len(f.now) {
		return false
	}
	f.now = slices.Clone(f.now)
	f.now[at] ^= 0x40
	f.kept = slices.Clone(f.now)
	return true
}

// Size is the length of a file in bytes.
func (d *Disk) Size(name string) int {
	if d.files[name] == nil {
		return 0
	}
	return len(d.files[name].now)
}
