package storage_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/mallowbridge/mallowbridge/storage"
)

// crashRun lists the entries that must and may be on the disk after an incarnation.
type crashRun struct {
	// acknowledged are the entries that must be read: those that were acknowledged, and those that Open returned before a successful write.
	acknowledged []string
	// unconfirmed are the entries whose write was not acknowledged, or that Open returned before the first write. Any prefix of them may
	// be read after the acknowledged entries.
	unconfirmed []string
}

const (
	// crashLogBytes is the log size in bytes at which the store rotates.
	crashLogBytes = 60
	// recoverTries is how often a failed write is followed by Recover before the incarnation gives up.
	recoverTries = 8
)

// runOnce runs one incarnation: it opens the disk, appends one entry a round, numbered from firstEntry on, and rotates, until all rounds are
// done or the machine stops. It calls Recover after a failed write.
func runOnce(d *crashDisk, before crashRun, firstEntry, rounds int) (crashRun, error) {
	run := before
	store, contents, err := storage.Open(d, crashLogBytes)
	if err != nil {
		if d.stopped || (d.failAt >= 0 && d.ops > d.failAt) {
			return run, nil
		}
		return run, err
	}
	entries := strings.Fields(string(contents.Snapshot))
	for _, entry := range contents.Entries {
		entries = append(entries, string(entry))
	}
	if err = checkEntries(entries, run.acknowledged, run.unconfirmed); err != nil {
		return run, err
	}
	run.unconfirmed = slices.Clone(entries[len(run.acknowledged):])
	recover := func() bool {
		for range recoverTries {
			if ok := store.Recover([]byte(strings.Join(entries, " "))) == nil; ok || d.stopped {
				return ok
			}
		}
		return false
	}
	if store.Empty() && store.Rotate(nil) != nil && !recover() {
		return run, nil
	}
	for i := range rounds {
		entry := fmt.Sprintf("e%02d", firstEntry+i)
		entries = append(entries, entry)
		run.unconfirmed = append(run.unconfirmed, entry)
		err = store.Append([][]byte{[]byte(entry)})
		if err == nil && (store.Full() || i == rounds/2) {
			err = store.Rotate([]byte(strings.Join(entries, " ")))
		}
		if err != nil && !recover() {
			return run, nil
		}
		run.acknowledged, run.unconfirmed = slices.Clone(entries), nil
	}
	return run, nil
}

// entriesError is returned if the entries on a disk are not those that must or may be there.
type entriesError struct{ got, acknowledged, unconfirmed []string }

func (e *entriesError) Error() string {
	return fmt.Sprintf("read %v; acknowledged %v, unconfirmed %v", e.got, e.acknowledged, e.unconfirmed)
}

// checkEntries checks that got consists of all acknowledged entries, followed by a prefix of the unconfirmed ones.
func checkEntries(got, acknowledged, unconfirmed []string) error {
	if len(got) >= len(acknowledged) && slices.Equal(got[:len(acknowledged)], acknowledged) {
		rest := got[len(acknowledged):]
		if len(rest) <= len(unconfirmed) && slices.Equal(rest, unconfirmed[:len(rest)]) {
			return nil
		}
	}
	return &entriesError{got: got, acknowledged: acknowledged, unconfirmed: unconfirmed}
}

// readEntries returns all entries that Open reads from the disk.
func readEntries(d *crashDisk) ([]string, error) {
	_, contents, err := storage.Open(d, crashLogBytes)
	entries := strings.Fields(string(contents.Snapshot))
	for _, entry := range contents.Entries {
		entries = append(entries, string(entry))
	}
	return entries, err
}

// crashCheck runs an incarnation once for each operation at which it may end, and checks every disk that the crash may leave.
type crashCheck struct {
	t *testing.T
	// seen are the states that were checked before.
	seen map[string]bool
	// opens counts the disks that were opened, fails those whose entries were wrong.
	opens int
	fails int
}

// checkCrash checks each disk that the end of an incarnation may leave and, if depth is above 0, runs another incarnation on it.
func (c *crashCheck) checkCrash(d *crashDisk, run crashRun, depth int, trace string) {
	left := append(d.afterPowerLoss(), d.afterKill())
	for i, disk := range left {
		crash := fmt.Sprintf("%s, power loss %d", trace, i)
		if i == len(left)-1 {
			crash = trace + ", kill"
		}
		if key := fmt.Sprint(depth, run, disk.key()); c.seen[key] {
			continue
		} else {
			c.seen[key] = true
		}
		c.opens++
		got, err := readEntries(disk.clone())
		if err == nil {
			err = checkEntries(got, run.acknowledged, run.unconfirmed)
		}
		if err != nil {
			if c.fails++; c.fails <= 3 {
				c.t.Errorf("%s: %v", crash, err)
			}
			continue
		}
		if depth > 0 {
			c.runAgain(disk, run, depth-1, crash)
		}
	}
}

// runAgain runs another incarnation on a disk, once for each operation at which it may end.
func (c *crashCheck) runAgain(disk *crashDisk, before crashRun, depth int, trace string) {
	for stop := 0; ; stop++ {
		d := disk.clone()
		d.stopAt = stop
		run, err := runOnce(d, before, 20*(2-depth), 3)
		if err != nil {
			c.t.Errorf("%s, stop %d: %v", trace, stop, err)
			return
		}
		c.checkCrash(d, run, depth, fmt.Sprintf("%s, stop %d", trace, stop))
		if !d.stopped {
			return
		}
	}
}

// TestEachCrashKeepsWhatWasSynced ends an incarnation that appends and rotates at each operation, with and without an earlier failed
// operation followed by Recover, and then a second incarnation likewise. Each unsynced write and name is kept or lost independently.
func TestEachCrashKeepsWhatWasSynced(t *testing.T) {
	const rounds = 8
	intact := newCrashDisk()
	if _, err := runOnce(intact, crashRun{}, 0, rounds); err != nil {
		t.Fatal(err)
	}
	c := &crashCheck{t: t, seen: map[string]bool{}}
	for fail := -1; fail < intact.ops; fail++ {
		for stop := 0; ; stop++ {
			if fail >= stop {
				continue
			}
			d := newCrashDisk()
			d.failAt, d.stopAt = fail, stop
			run, err := runOnce(d, crashRun{}, 0, rounds)
			if err != nil {
				t.Fatal(err)
			}
			c.checkCrash(d, run, 1, fmt.Sprintf("fail %d, stop %d", fail, stop))
			if !d.stopped {
				break
			}
		}
	}
	t.Logf("%d disks opened, %d failures", c.opens, c.fails)
}

// TestDamagedSlotIsRecoveredThroughCrash damages the newest slot, whose log has entries, and ends the next incarnation at each operation.
func TestDamagedSlotIsRecoveredThroughCrash(t *testing.T) {
	d := newCrashDisk()
	run, err := runOnce(d, crashRun{}, 0, 5)
	if err != nil {
		t.Fatal(err)
	}
	latest := "slot0"
	if len(d.files["log0"].current) == 0 {
		latest = "slot1"
	}
	store, _, err := storage.Open(d.clone(), crashLogBytes)
	if err != nil || store.Repair != "" {
		t.Fatal(err, store.Repair)
	}
	damaged := slices.Clone(d.files[latest].current)
	damaged[len(damaged)-1] ^= 0x40
	d.files[latest] = &crashFile{durable: damaged, current: damaged, nameDurable: true}
	if store, _, err = storage.Open(d.clone(), crashLogBytes); err != nil || store.Repair == "" {
		t.Fatalf("the damage of %s was not recovered from: %v", latest, err)
	}
	c := &crashCheck{t: t, seen: map[string]bool{}}
	c.runAgain(d, run, 1, "damaged "+latest)
	t.Logf("%d disks opened, %d failures", c.opens, c.fails)
}
