package storage_test

import (
	"fmt"
	"slices"
	"strings"
)

// A crashFile holds what a file durably holds, each later content that it may be left with, and what a reader sees.
type crashFile struct {
	durable []byte
	maybe   [][]byte
	now     []byte
	named   bool
}

// A crashDisk stops at operation stopAt, before or in the middle of it, and fails operation failAt alone.
type crashDisk struct {
	files  map[string]*crashFile
	ops    int
	stopAt int
	failAt int
	// fullFrom and fullTo bound the operations at which the disk takes nothing; equal: it never is full.
	fullFrom, fullTo int
	dead             bool
}

type crashError struct{ what string }

func (e *crashError) Error() string { return e.what }

func newCrashDisk() *crashDisk {
	return &crashDisk{files: map[string]*crashFile{}, stopAt: -1, failAt: -1}
}

func (d *crashDisk) clone() *crashDisk {
	c := newCrashDisk()
	for name, f := range d.files {
		cp := *f
		cp.maybe = slices.Clone(f.maybe)
		c.files[name] = &cp
	}
	return c
}

// begin counts an operation: cut says that it is the one in which the machine stops.
func (d *crashDisk) begin() (bool, error) {
	if d.dead {
		return false, &crashError{"stopped"}
	}
	d.ops++
	if d.ops-1 == d.failAt || (d.ops > d.fullFrom && d.ops <= d.fullTo) {
		return false, &crashError{"failed"}
	}
	if d.ops-1 == d.stopAt {
		d.dead = true
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

func (f *crashFile) set(data []byte) {
	f.now = data
	f.maybe = append(f.maybe, data)
}

// torn are the contents that an unsynced write of new bytes behind keep may leave besides the whole.
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
	return slices.Clone(f.now), true, nil
}

func (d *crashDisk) put(name string, keep, written []byte) error {
	powerLost, err := d.begin()
	if err != nil && !powerLost && d.dead {
		return err
	}
	f := d.file(name)
	f.set(slices.Clone(keep))
	f.maybe = append(f.maybe, torn(keep, written)...)
	if err != nil {
		f.set(slices.Concat(keep, written[:len(written)/2]))
		return err
	}
	f.set(slices.Concat(keep, written))
	return nil
}

func (d *crashDisk) Write(name string, data []byte) error { return d.put(name, nil, data) }

func (d *crashDisk) Append(name string, data []byte) error {
	return d.put(name, d.file(name).now, data)
}

func (d *crashDisk) Truncate(name string, size int) error {
	if _, err := d.begin(); err != nil {
		return err
	}
	if f := d.file(name); len(f.now) > size {
		f.set(slices.Clone(f.now[:size]))
	}
	return nil
}

func (d *crashDisk) Sync(name string) error {
	if _, err := d.begin(); err != nil {
		return err
	}
	f := d.file(name)
	f.durable, f.maybe = f.now, nil
	return nil
}

func (d *crashDisk) SyncFolder() error {
	if _, err := d.begin(); err != nil {
		return err
	}
	for _, f := range d.files {
		f.named = true
	}
	return nil
}

// killed is the disk after the process alone has ended: all that was written is read, nothing unsynced is durable.
func (d *crashDisk) killed() *crashDisk { return d.clone() }

// powerless are all disks that a loss of power may leave: each unsynced content and each unsynced name by itself.
func (d *crashDisk) powerless() []*crashDisk {
	all := []*crashDisk{newCrashDisk()}
	for _, name := range sortedNames(d.files) {
		f := d.files[name]
		contents := distinct(append([][]byte{f.durable}, f.maybe...))
		var next []*crashDisk
		for _, base := range all {
			if !f.named {
				next = append(next, base.clone())
			}
			for _, content := range contents {
				c := base.clone()
				c.files[name] = &crashFile{durable: content, now: content, named: true}
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

func (d *crashDisk) key() string {
	var b strings.Builder
	for _, name := range sortedNames(d.files) {
		f := d.files[name]
		fmt.Fprintf(&b, "%s %v %q %q %q;", name, f.named, f.durable, f.now, f.maybe)
	}
	return b.String()
}
