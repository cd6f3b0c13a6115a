package storage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestHundredsOfRestartsOnOneDisk has a disk live on through kills, losses of power and times at which it is full, each at a random
// operation, over hundreds of rotations.
func TestHundredsOfRestartsOnOneDisk(t *testing.T) {
	const restarts, lifeSeeds = 300, 8
	rotations := uint64(0)
	for seed := range uint64(lifeSeeds) {
		rng := rand.New(rand.NewPCG(seed, 77))
		disk, l := newCrashDisk(), crashRun{}
		for life := range restarts {
			disk.stopAt = rng.IntN(60)
			if rng.IntN(3) == 0 {
				disk.fullFrom = rng.IntN(40)
				disk.fullTo = disk.fullFrom + rng.IntN(12)
			}
			var err error
			if l, err = live(disk, l, 100*life, 6); err != nil {
				t.Fatalf("seed %d, life %d: %v", seed, life, err)
			}
			disk = disk.left(rng)
			if err = opens(disk, l); err != nil {
				t.Fatalf("seed %d, life %d: %v", seed, life, err)
			}
		}
		rotations += disk.generation()
	}
	if t.Logf("%d rotations", rotations); rotations < lifeSeeds*restarts {
		t.Errorf("%d rotations only", rotations)
	}
}

// left is one disk that may be left, the process's end alone being as likely as the loss of power.
func (d *crashDisk) left(rng *rand.Rand) *crashDisk {
	if rng.IntN(2) == 0 {
		return d.killed()
	}
	all := d.powerless()
	return all[rng.IntN(len(all))]
}

func opens(disk *crashDisk, l crashRun) error {
	got, err := shown(disk.clone())
	if err != nil {
		return fmt.Errorf("%s: %w", disk.key(), err)
	}
	return holds(got, l.known, l.tried)
}

// generation is the number in the newest slot: it counts the rotations.
func (d *crashDisk) generation() uint64 {
	var latest uint64
	for _, name := range []string{"slot0", "slot1"} {
		if f := d.files[name]; f != nil && len(f.now) > 12 {
			n := uint64(0)
			for _, b := range f.now[4:12] {
				n = n<<8 | uint64(b)
			}
			latest = max(latest, n)
		}
	}
	return latest
}
