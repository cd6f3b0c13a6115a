package storage_test

import (
	"fmt"
	"slices"
	"strings"
)

// crashFile is a file of a crashDisk.
type crashFile struct {
	// durable is the content at the last sync.
	durable []byte
	// possible lists the contents that a power loss may leave instead of durable.
	possible [][]byte
	// current is the content that a reader sees.
	current []byte
	// nameDurable means that the file's name survives a power loss.
	nameDurable bool
}

// crashDisk is a storage.Disk for one incarnation of a process. The machine stops before or in the middle of operation stopAt. Operation
// failAt fails, and the disk works again afterwards. Operations count from 0, and -1 means never.
type crashDisk struct {
	files  map[string]*crashFile
	ops    int
	stopAt int
	failAt int
	// Operations from fullFrom until before fullTo fail because the disk is full; if the two are equal, it is never full.
	fullFrom, fullTo int
	stopped          bool
}

// crashError is the error of a disk operation that failed or in which the machine stopped.
type crashError struct{ what string }

func (e *crashError) Error() string { return e.what }

func newCrashDisk() *crashDisk {
	return &crashDisk{files: map[string]*crashFile{}, stopAt: -1, failAt: -1}
}

func (d *crashDisk) clone() *crashDisk {
	c := newCrashDisk()
	for name, f := range d.files {
		copied := *f
		copied.possible = slices.Clone(f.possible)
		c.files[name] = &copied
	}
	return c
}

// begin counts an operation and returns its error. It reports whether the machine stops in this operation; after it
// has stopped, every operation fails.
func (d *crashDisk) begin() (bool, error) {
	if d.stopped {
		return false, &crashError{"stopped"}
	}
	d.ops++
	if d.ops-1 == d.failAt || (d.ops > d.fullFrom && d.ops <= d.fullTo) {
		return false, &crashError{"failed"}
	}
	if d.ops-1 == d.stopAt {
		d.stopped = true
		return true, &crashError{"stopped"}
	}
	return false, nil
}

func (d *crashDisk) file(name string) *crashFile {
	if d.files[name] == nil {
		d.files[name] = &crashFile{}
	}
	return d.files[name]
}

// set changes the unsynced content of the file.
func (f *crashFile) set(data []byte) {
	f.current = data
	f.possible = append(f.possible, data)
}

// torn lists the contents that a power loss may leave of an unsynced write of new bytes after keep: half of them, or zeros and the second half.
func torn(keep, written []byte) [][]byte {
	half := len(written) / 2
	zeroed := slices.Clone(written)
	clear(zeroed[:half])
	var left [][]byte
	for _, part := range [][]byte{written[:half], zeroed} {
		left = append(left, slices.Concat(keep, part))
	}
	return left
}

func (d *crashDisk) Read(name string) ([]byte, bool, error) {
	f := d.files[name]
	if f == nil {
		return nil, false, nil
	}
	return slices.Clone(f.current), true, nil
}

// put sets a file to keep followed by written. If the operation fails or the machine stops in it, half of written is stored.
func (d *crashDisk) put(name string, keep, written []byte) error {
	stops, err := d.begin()
	if err != nil && !stops && d.stopped {
		return err
	}
	f := d.file(name)
	f.set(slices.Clone(keep))
	f.possible = append(f.possible, torn(keep, written)...)
	if err != nil {
		f.set(slices.Concat(keep, written[:len(written)/2]))
		return err
	}
	f.set(slices.Concat(keep, written))
	return nil
}

func (d *crashDisk) Write(name string, data []byte) error { return d.put(name, nil, data) }

func (d *crashDisk) Append(name string, data []byte) error {
	return d.put(name, d.file(name).current, data)
}

func (d *crashDisk) Truncate(name string, size int) error {
	if _, err := d.begin(); err != nil {
		return err
	}
	if f := d.file(name); len(f.current) > size {
		f.set(slices.Clone(f.current[:size]))
	}
	return nil
}

func (d *crashDisk) Sync(name string) error {
	if _, err := d.begin(); err != nil {
		return err
	}
	f := d.file(name)
	f.durable, f.possible = f.current, nil
	return nil
}

func (d *crashDisk) SyncFolder() error {
	if _, err := d.begin(); err != nil {
		return err
	}
	for _, f := range d.files {
		f.nameDurable = true
	}
	return nil
}

// afterKill is the disk after the process was killed but the machine kept running: a reader sees all that was written, synced or not.
func (d *crashDisk) afterKill() *crashDisk { return d.clone() }

// afterPowerLoss lists all disks that a power loss may leave: every combination of unsynced contents and names kept or lost.
func (d *crashDisk) afterPowerLoss() []*crashDisk {
	all := []*crashDisk{newCrashDisk()}
	for _, name := range sortedNames(d.files) {
		f := d.files[name]
		contents := distinct(append([][]byte{f.durable}, f.possible...))
		var next []*crashDisk
		for _, base := range all {
			if !f.nameDurable {
				next = append(next, base.clone())
			}
			for _, content := range contents {
				c := base.clone()
				c.files[name] = &crashFile{durable: content, current: content, nameDurable: true}
				next = append(next, c)
			}
		}
		all = next
	}
	return all
}

func sortedNames(files map[string]*crashFile) []string {
	var names []string
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func distinct(contents [][]byte) [][]byte {
	var kept [][]byte
	for _, c := range contents {
		if !slices.ContainsFunc(kept, func(k []byte) bool { return slices.Equal(k, c) }) {
			kept = append(kept, c)
		}
	}
	return kept
}

// key identifies the state of the disk.
func (d *crashDisk) key() string {
	var b strings.Builder
	for _, name := range sortedNames(d.files) {
		f := d.files[name]
		fmt.Fprintf(&b, "%s %v %q %q %q;", name, f.nameDurable, f.durable, f.current, f.possible)
	}
	return b.String()
}
