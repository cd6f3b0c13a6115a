package storage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestHundredsOfRestartsOnOneDisk runs hundreds of incarnations on one disk. Each ends with a kill or a power loss at a random operation, and
// a third of them find the disk full for a while. There must be at least one rotation for each incarnation on average.
func TestHundredsOfRestartsOnOneDisk(t *testing.T) {
	const restarts, restartSeeds = 300, 8
	rotations := uint64(0)
	for seed := range uint64(restartSeeds) {
		rng := rand.New(rand.NewPCG(seed, 77))
		disk, run := newCrashDisk(), crashRun{}
		for incarnation := range restarts {
			disk.stopAt = rng.IntN(60)
			if rng.IntN(3) == 0 {
				disk.fullFrom = rng.IntN(40)
				disk.fullTo = disk.fullFrom + rng.IntN(12)
			}
			var err error
			if run, err = runOnce(disk, run, 100*incarnation, 6); err != nil {
				t.Fatalf("seed %d, incarnation %d: %v", seed, incarnation, err)
			}
			disk = disk.afterCrash(rng)
			if err = checkOpens(disk, run); err != nil {
				t.Fatalf("seed %d, incarnation %d: %v", seed, incarnation, err)
			}
		}
		rotations += disk.generation()
	}
	if t.Logf("%d rotations", rotations); rotations < restartSeeds*restarts {
		t.Errorf("only %d rotations", rotations)
	}
}

// afterCrash returns a disk as a crash may leave it: after a kill or, as likely, after a power loss.
func (d *crashDisk) afterCrash(rng *rand.Rand) *crashDisk {
	if rng.IntN(2) == 0 {
		return d.afterKill()
	}
	all := d.afterPowerLoss()
	return all[rng.IntN(len(all))]
}

// checkOpens checks that the disk can be opened and has the entries of the run.
func checkOpens(disk *crashDisk, run crashRun) error {
	got, err := readEntries(disk.clone())
	if err != nil {
		return fmt.Errorf("%s: %w", disk.key(), err)
	}
	return checkEntries(got, run.acknowledged, run.unconfirmed)
}

// generation is the generation number in the newest slot, which counts the rotations.
func (d *crashDisk) generation() uint64 {
	var latest uint64
	for _, name := range []string{"slot0", "slot1"} {
		if f := d.files[name]; f != nil && len(f.current) > 12 {
			n := uint64(0)
			for _, b := range f.current[4:12] {
				n = n<<8 | uint64(b)
			}
			latest = max(latest, n)
		}
	}
	return latest
}
