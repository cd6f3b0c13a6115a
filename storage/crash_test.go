package storage_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/mallowbridge/mallowbridge/storage"
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
	dead   bool
}

type crashError struct{ what string }

func (e *crashError) Error() (text string) { return e.what }

func newCrashDisk() (d *crashDisk) {
	return &crashDisk{files: map[string]*crashFile{}, stopAt: -1, failAt: -1}
}

func (d *crashDisk) clone() (c *crashDisk) {
	c = newCrashDisk()
	for name, f := range d.files {
		cp := *f
		cp.maybe = slices.Clone(f.maybe)
		c.files[name] = &cp
	}
	return c
}

// begin counts an operation: cut says that it is the one in which the machine stops.
func (d *crashDisk) begin() (cut bool, err error) {
	if d.dead {
		return false, &crashError{"stopped"}
	}
	d.ops++
	if d.ops-1 == d.failAt {
		return false, &crashError{"failed"}
	}
	if d.ops-1 == d.stopAt {
		d.dead = true
		return true, &crashError{"stopped"}
	}
	return false, nil
}

func (d *crashDisk) file(name string) (f *crashFile) {
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
func torn(keep, fresh []byte) (left [][]byte) {
	half := len(fresh) / 2
	zeroed := slices.Clone(fresh)
	clear(zeroed[:half])
	for _, part := range [][]byte{fresh[:half], zeroed} {
		left = append(left, slices.Concat(keep, part))
	}
	return left
}

func (d *crashDisk) Read(name string) (data []byte, found bool, err error) {
	f := d.files[name]
	if f == nil {
		return nil, false, nil
	}
	return slices.Clone(f.now), true, nil
}

func (d *crashDisk) put(name string, keep, fresh []byte) (err error) {
	cut, err := d.begin()
	if err != nil && !cut && d.dead {
		return err
	}
	f := d.file(name)
	f.set(slices.Clone(keep))
	f.maybe = append(f.maybe, torn(keep, fresh)...)
	if err != nil {
		f.set(slices.Concat(keep, fresh[:len(fresh)/2]))
		return err
	}
	f.set(slices.Concat(keep, fresh))
	return nil
}

func (d *crashDisk) Write(name string, data []byte) (err error) { return d.put(name, nil, data) }

func (d *crashDisk) Append(name string, data []byte) (err error) {
	return d.put(name, d.file(name).now, data)
}

func (d *crashDisk) Truncate(name string, size int) (err error) {
	if _, err = d.begin(); err != nil {
		return err
	}
	if f := d.file(name); len(f.now) > size {
		f.set(slices.Clone(f.now[:size]))
	}
	return nil
}

func (d *crashDisk) Sync(name string) (err error) {
	if _, err = d.begin(); err != nil {
		return err
	}
	f := d.file(name)
	f.durable, f.maybe = f.now, nil
	return nil
}

func (d *crashDisk) SyncFolder() (err error) {
	if _, err = d.begin(); err != nil {
		return err
	}
	for _, f := range d.files {
		f.named = true
	}
	return nil
}

// killed is the disk after the process alone has ended: all that was written is read, nothing unsynced is durable.
func (d *crashDisk) killed() (c *crashDisk) { return d.clone() }

// powerless are all disks that a loss of power may leave: each unsynced content and each unsynced name by itself.
func (d *crashDisk) powerless() (all []*crashDisk) {
	all = []*crashDisk{newCrashDisk()}
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

func sortedNames(files map[string]*crashFile) (names []string) {
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func distinct(contents [][]byte) (kept [][]byte) {
	for _, c := range contents {
		if !slices.ContainsFunc(kept, func(k []byte) bool { return slices.Equal(k, c) }) {
			kept = append(kept, c)
		}
	}
	return kept
}

func (d *crashDisk) key() (text string) {
	var b strings.Builder
	for _, name := range sortedNames(d.files) {
		f := d.files[name]
		fmt.Fprintf(&b, "%s %v %q %q %q;", name, f.named, f.durable, f.now, f.maybe)
	}
	return b.String()
}

// A crashLife tells what must be read back: all that was acknowledged, and all that Open showed before a write that succeeded.
type crashLife struct {
	known []string
	// tried is what was being written when the life ended, or shown before the first write: a beginning of it is there.
	tried []string
}

const crashLogBytes = 60

// live opens the disk and works on it until it stops; failures are recovered from once.
func live(d *crashDisk, before crashLife, from, rounds int) (l crashLife, err error) {
	l = before
	v, slot, entries, err := storage.Open(d, crashLogBytes)
	if err != nil {
		if d.dead || (d.failAt >= 0 && d.ops > d.failAt) {
			return l, nil
		}
		return l, err
	}
	state := strings.Fields(string(slot))
	for _, e := range entries {
		state = append(state, string(e))
	}
	if err = holds(state, l.known, l.tried); err != nil {
		return l, err
	}
	l.tried = slices.Clone(state[len(l.known):])
	recover := func() (ok bool) { return v.Recover([]byte(strings.Join(state, " "))) == nil }
	if v.Empty() && v.Rotate(nil) != nil && !recover() {
		return l, nil
	}
	for i := range rounds {
		e := fmt.Sprintf("e%02d", from+i)
		state = append(state, e)
		l.tried = append(l.tried, e)
		err = v.Append([][]byte{[]byte(e)})
		if err == nil && (v.Full() || i == rounds/2) {
			err = v.Rotate([]byte(strings.Join(state, " ")))
		}
		if err != nil && !recover() {
			return l, nil
		}
		l.known, l.tried = slices.Clone(state), nil
	}
	return l, nil
}

type crashMissing struct{ got, known, tried []string }

func (e *crashMissing) Error() (text string) {
	return fmt.Sprintf("reads %v; known %v, tried %v", e.got, e.known, e.tried)
}

// holds checks that what is read starts with all that is known and goes on with nothing but what was tried.
func holds(got, known, tried []string) (err error) {
	if len(got) >= len(known) && slices.Equal(got[:len(known)], known) {
		rest := got[len(known):]
		if len(rest) <= len(tried) && slices.Equal(rest, tried[:len(rest)]) {
			return nil
		}
	}
	return &crashMissing{got: got, known: known, tried: tried}
}

func shown(d *crashDisk) (state []string, err error) {
	_, slot, entries, err := storage.Open(d, crashLogBytes)
	state = strings.Fields(string(slot))
	for _, e := range entries {
		state = append(state, string(e))
	}
	return state, err
}

// A crashCheck walks through lives that end at each operation, each followed by each disk that may be left.
type crashCheck struct {
	t     *testing.T
	seen  map[string]bool
	opens int
	fails int
}

func (c *crashCheck) after(d *crashDisk, l crashLife, depth int, trace string) {
	left := append(d.powerless(), d.killed())
	for i, disk := range left {
		how := fmt.Sprintf("%s, power %d", trace, i)
		if i == len(left)-1 {
			how = trace + ", kill"
		}
		if key := fmt.Sprint(depth, l, disk.key()); c.seen[key] {
			continue
		} else {
			c.seen[key] = true
		}
		c.opens++
		got, err := shown(disk.clone())
		if err == nil {
			err = holds(got, l.known, l.tried)
		}
		if err != nil {
			if c.fails++; c.fails <= 3 {
				c.t.Errorf("%s: %v", how, err)
			}
			continue
		}
		if depth > 0 {
			c.from(disk, l, depth-1, how)
		}
	}
}

// from starts another life on a disk, once for each operation at which it may end.
func (c *crashCheck) from(disk *crashDisk, before crashLife, depth int, trace string) {
	for stop := 0; ; stop++ {
		d := disk.clone()
		d.stopAt = stop
		l, err := live(d, before, 20*(2-depth), 3)
		if err != nil {
			c.t.Errorf("%s, stop %d: %v", trace, stop, err)
			return
		}
		c.after(d, l, depth, fmt.Sprintf("%s, stop %d", trace, stop))
		if !d.dead {
			return
		}
	}
}

// TestEachCrashLeavesWhatWasSynced ends a life of rotations and appends at each operation, with and without a failed operation
// before that is recovered from, and a second life likewise; each unsynced write and name is kept or lost by itself.
func TestEachCrashLeavesWhatWasSynced(t *testing.T) {
	const rounds = 8
	whole := newCrashDisk()
	if _, err := live(whole, crashLife{}, 0, rounds); err != nil {
		t.Fatal(err)
	}
	c := &crashCheck{t: t, seen: map[string]bool{}}
	for fail := -1; fail < whole.ops; fail++ {
		for stop := 0; ; stop++ {
			if fail >= stop {
				continue
			}
			d := newCrashDisk()
			d.failAt, d.stopAt = fail, stop
			l, err := live(d, crashLife{}, 0, rounds)
			if err != nil {
				t.Fatal(err)
			}
			c.after(d, l, 1, fmt.Sprintf("fail %d, stop %d", fail, stop))
			if !d.dead {
				break
			}
		}
	}
	t.Logf("%d disks opened, %d failures", c.opens, c.fails)
}

// TestADamagedSlotIsOutlivedThroughACrash damages the newest slot, whose log is begun, and ends the next life at each operation.
func TestADamagedSlotIsOutlivedThroughACrash(t *testing.T) {
	d := newCrashDisk()
	l, err := live(d, crashLife{}, 0, 5)
	if err != nil {
		t.Fatal(err)
	}
	newest := "slot0"
	if len(d.files["log0"].now) == 0 {
		newest = "slot1"
	}
	v, _, _, err := storage.Open(d.clone(), crashLogBytes)
	if err != nil || v.Repair != "" {
		t.Fatal(err, v.Repair)
	}
	rotten := slices.Clone(d.files[newest].now)
	rotten[len(rotten)-1] ^= 0x40
	d.files[newest] = &crashFile{durable: rotten, now: rotten, named: true}
	if v, _, _, err = storage.Open(d.clone(), crashLogBytes); err != nil || v.Repair == "" {
		t.Fatalf("%s was not made good: %v", newest, err)
	}
	c := &crashCheck{t: t, seen: map[string]bool{}}
	c.from(d, l, 1, "damaged "+newest)
	t.Logf("%d disks opened, %d failures", c.opens, c.fails)
}
