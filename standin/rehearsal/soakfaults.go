package rehearsal

import (
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// catchUpTime is how long a voter counts as lost after it has been started again. The fleet bears the loss of one voter at a time.
const catchUpTime = 4 * time.Second

// newSoakInjectors returns the injectors of a soak. The voters have one of their own, so that nodes without a disk fail while a voter is lost. Each
// kind of fault comes early, a lost disk and those of nodes without a disk.
func newSoakInjectors(f *Fleet, p *Platform, newRand func(n uint64) *rand.Rand) []*faultInjector {
	nodes := newNodeInjectors(f, voterCount, newRand)
	for _, injector := range nodes {
		injector.openWithAllKinds()
	}
	voters := &faultInjector{rng: newRand(voterStream), maxPause: maxSeriesPause}
	voters.inject = func() error {
		if voters.counts.LostDisks == 0 || voters.rng.IntN(2) == 0 {
			return voters.loseDisks(f)
		}
		return voters.failGroup(f, 0, voterCount)
	}
	return append(nodes, voters, newReplicaInjector(p, newRand(crashStream)))
}

// loseDisks makes voters lose their disks, one after another. Each waits until the fault of a voter before it counts no more.
func (fi *faultInjector) loseDisks(f *Fleet) error {
	for range 1 + fi.rng.IntN(maxSeriesFaults) {
		time.Sleep(catchUpTime)
		if fi.over() {
			return nil
		}
		fi.counts.LostDisks++
		if err := f.loseDisk(fi.rng.IntN(voterCount)); err != nil {
			return err
		}
	}
	time.Sleep(catchUpTime)
	return nil
}

// loseDisk kills a voter, removes its disk and starts it again.
func (f *Fleet) loseDisk(i int) error {
	f.SignalAndWait(i, syscall.SIGKILL)
	if err := os.RemoveAll(f.nodes[i].diskDir(f.dir)); err != nil {
		return err
	}
	return f.Start(i)
}
