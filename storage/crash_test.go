package storage_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/mallowbridge/mallowbridge/storage"
)

// A crashRun tells what must be read back: all that was acknowledged, and all that Open showed before a write that succeeded.
type crashRun struct {
	known []string
	// tried is what was being written when the life ended, or shown before the first write: a beginning of it is there.
	tried []string
}

const (
	crashLogBytes = 60
	recoverTries  = 8
)

// live opens the disk and works on it until it stops; failures are recovered from once.
func live(d *crashDisk, before crashRun, from, rounds int) (crashRun, error) {
	l := before
	v, contents, err := storage.Open(d, crashLogBytes)
	if err != nil {
		if d.dead || (d.failAt >= 0 && d.ops > d.failAt) {
			return l, nil
		}
		return l, err
	}
	state := strings.Fields(string(contents.Snapshot))
	for _, e := range contents.Entries {
		state = append(state, string(e))
	}
	if err = holds(state, l.known, l.tried); err != nil {
		return l, err
	}
	l.tried = slices.Clone(state[len(l.known):])
	recover := func() bool {
		for range recoverTries {
			if ok := v.Recover([]byte(strings.Join(state, " "))) == nil; ok || d.dead {
				return ok
			}
		}
		return false
	}
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

func (e *crashMissing) Error() string {
	return fmt.Sprintf("reads %v; known %v, tried %v", e.got, e.known, e.tried)
}

// holds checks that what is read starts with all that is known and goes on with nothing but what was tried.
func holds(got, known, tried []string) error {
	if len(got) >= len(known) && slices.Equal(got[:len(known)], known) {
		rest := got[len(known):]
		if len(rest) <= len(tried) && slices.Equal(rest, tried[:len(rest)]) {
			return nil
		}
	}
	return &crashMissing{got: got, known: known, tried: tried}
}

func shown(d *crashDisk) ([]string, error) {
	_, contents, err := storage.Open(d, crashLogBytes)
	state := strings.Fields(string(contents.Snapshot))
	for _, e := range contents.Entries {
		state = append(state, string(e))
	}
	return state, err
}

// A crashCheck walks through incarnations that end at each operation, each followed by each disk that may be left.
type crashCheck struct {
	t     *testing.T
	seen  map[string]bool
	opens int
	fails int
}

func (c *crashCheck) after(d *crashDisk, l crashRun, depth int, trace string) {
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
func (c *crashCheck) from(disk *crashDisk, before crashRun, depth int, trace string) {
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

// TestEachCrashKeepsWhatWasSynced ends a life of rotations and appends at each operation, with and without a failed operation
// before that is recovered from, and a second life likewise; each unsynced write and name is kept or lost by itself.
func TestEachCrashKeepsWhatWasSynced(t *testing.T) {
	const rounds = 8
	complete := newCrashDisk()
	if _, err := live(complete, crashRun{}, 0, rounds); err != nil {
		t.Fatal(err)
	}
	c := &crashCheck{t: t, seen: map[string]bool{}}
	for fail := -1; fail < complete.ops; fail++ {
		for stop := 0; ; stop++ {
			if fail >= stop {
				continue
			}
			d := newCrashDisk()
			d.failAt, d.stopAt = fail, stop
			l, err := live(d, crashRun{}, 0, rounds)
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

// TestDamagedSlotIsRecoveredThroughCrash damages the newest slot, whose log is begun, and ends the next life at each operation.
func TestDamagedSlotIsRecoveredThroughCrash(t *testing.T) {
	d := newCrashDisk()
	l, err := live(d, crashRun{}, 0, 5)
	if err != nil {
		t.Fatal(err)
	}
	latest := "slot0"
	if len(d.files["log0"].now) == 0 {
		latest = "slot1"
	}
	v, _, err := storage.Open(d.clone(), crashLogBytes)
	if err != nil || v.Repair != "" {
		t.Fatal(err, v.Repair)
	}
	rotten := slices.Clone(d.files[latest].now)
	rotten[len(rotten)-1] ^= 0x40
	d.files[latest] = &crashFile{durable: rotten, now: rotten, named: true}
	if v, _, err = storage.Open(d.clone(), crashLogBytes); err != nil || v.Repair == "" {
		t.Fatalf("%s was not made good: %v", latest, err)
	}
	c := &crashCheck{t: t, seen: map[string]bool{}}
	c.from(d, l, 1, "damaged "+latest)
	t.Logf("%d disks opened, %d failures", c.opens, c.fails)
}
