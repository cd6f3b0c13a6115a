package rehearsal

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Streams of the random generator of rehearsals of quotas and of soaks. Streams from 0 on belong to the clients, streams from injectorStream on to
// the injectors of node faults.
const (
	demandStream = 1<<32 + iota
	limitStream
	crashStream
	routeStream
	zoneStream
	voterStream
	injectorStream = 1 << 33
)

const (
	// nodesPerInjector is the number of nodes of one injector. Each injector runs its own series of faults, concurrently with those of the others.
	nodesPerInjector = 8
	// maxSeriesFaults is the largest number of consecutive faults of one node.
	maxSeriesFaults = 4
	// maxRestartPause bounds the pause between two faults of a series, maxSeriesPause the pause between two series.
	maxRestartPause = 300 * time.Millisecond
	maxSeriesPause  = 1500 * time.Millisecond
	// maxFreeze bounds how long a node is frozen. maxFrozenDrain bounds the time between SIGTERM and SIGKILL of a node that is frozen while it drains.
	maxFreeze      = 2500 * time.Millisecond
	maxFrozenDrain = 2 * time.Second
	// faultPeriod and calmPeriod alternate if the injectors are synchronized.
	faultPeriod = 8 * time.Second
	calmPeriod  = 8 * time.Second
	// maxGroupFreeze bounds how long the nodes of a group are frozen. It is shorter than the time after which nodes consider each other failed.
	maxGroupFreeze = 1400 * time.Millisecond
	// maxCrashPause bounds the pause between two crashes of replicas.
	maxCrashPause = 4 * time.Second
)

// FaultCounts counts the kills, stops (SIGTERM), freezes and reloads of nodes, the lost disks of voters, and the crashes of replicas.
type FaultCounts struct{ Kills, Stops, Freezes, Reloads, LostDisks, Crashes int }

func (c *FaultCounts) add(o FaultCounts) {
	c.Kills += o.Kills
	c.Stops += o.Stops
	c.Freezes += o.Freezes
	c.Reloads += o.Reloads
	c.LostDisks += o.LostDisks
	c.Crashes += o.Crashes
}

// faultInjector injects faults into a group of nodes, or into the replicas, until the end.
type faultInjector struct {
	rng *rand.Rand
	// inject injects one fault or one series of faults.
	inject func() error
	// maxPause bounds the random pause before each call of inject.
	maxPause time.Duration
	end      time.Time
	counts   FaultCounts
	// synchronized makes the injector pause during the calm periods, which are the same for all injectors, so that the whole fleet is without faults
	// for a while.
	synchronized bool
	startedAt    time.Time
	// opening are the kinds of the first faults of single nodes; the kinds after them are random.
	opening []faultKind
}

// faultKind is a kind of fault of a single node.
type faultKind int

const (
	freezeFault faultKind = iota
	reloadFault
	killFault
	stopFault
	frozenStopFault
	faultKinds
)

// openWithAllKinds makes the injector's first faults those of single nodes, with each kind once in a random order, so that none is missing from a
// short run on a slow machine.
func (fi *faultInjector) openWithAllKinds() {
	for _, kind := range fi.rng.Perm(int(faultKinds)) {
		fi.opening = append(fi.opening, faultKind(kind))
	}
}

// nextKind returns the kind of the next fault of a single node.
func (fi *faultInjector) nextKind() faultKind {
	if len(fi.opening) == 0 {
		return faultKind(fi.rng.IntN(int(faultKinds)))
	}
	kind := fi.opening[0]
	fi.opening = fi.opening[1:]
	return kind
}

// over reports whether no further fault may start now.
func (fi *faultInjector) over() bool { return !time.Now().Before(fi.end) || fi.pausing() }

// pausing reports whether the injector pauses for a calm period.
func (fi *faultInjector) pausing() bool {
	return fi.synchronized && time.Since(fi.startedAt)%(faultPeriod+calmPeriod) >= faultPeriod
}

// run injects faults until the end, or until one of them fails.
func (fi *faultInjector) run(end time.Time) error {
	fi.end, fi.startedAt = end, time.Now()
	for time.Now().Before(end) {
		time.Sleep(time.Duration(fi.rng.Int64N(int64(fi.maxPause))))
		if fi.pausing() {
			continue
		}
		if err := fi.inject(); err != nil {
			return err
		}
	}
	return nil
}

// newFaultInjectors returns an injector for the replicas and one for each group of nodes. newRand returns the random generator of a stream.
func newFaultInjectors(f *Fleet, p *Platform, newRand func(n uint64) *rand.Rand) []*faultInjector {
	return append(newNodeInjectors(f, 0, newRand), newReplicaInjector(p, newRand(crashStream)))
}

// newReplicaInjector returns an injector that crashes replicas.
func newReplicaInjector(p *Platform, rng *rand.Rand) *faultInjector {
	fi := &faultInjector{rng: rng, maxPause: maxCrashPause}
	fi.inject = func() error {
		fi.counts.Crashes++
		return p.Crash(fi.rng.IntN(1 << 20))
	}
	return fi
}

// newNodeInjectors returns an injector for each group of nodes from the given one on.
func newNodeInjectors(f *Fleet, from int, newRand func(n uint64) *rand.Rand) []*faultInjector {
	var all []*faultInjector
	for first := from; first < len(f.nodes); first += nodesPerInjector {
		fi := &faultInjector{rng: newRand(injectorStream + uint64(first)), maxPause: maxSeriesPause}
		size := min(nodesPerInjector, len(f.nodes)-first)
		fi.inject = func() error { return fi.failGroup(f, first, size) }
		all = append(all, fi)
	}
	return all
}

// synchronizePauses makes all injectors pause at the same times.
func synchronizePauses(all []*faultInjector) []*faultInjector {
	for _, fi := range all {
		fi.synchronized = true
	}
	return all
}

// runFaultInjectors runs all injectors until the end. It returns the number of their faults and the first error.
func runFaultInjectors(all []*faultInjector, end time.Time) (FaultCounts, error) {
	failed := make(chan error, len(all))
	var running sync.WaitGroup
	for _, fi := range all {
		running.Go(func() { failed <- fi.run(end) })
	}
	running.Wait()
	var counts FaultCounts
	var first error
	for _, fi := range all {
		counts.add(fi.counts)
		first = cmp.Or(first, <-failed)
	}
	return counts, first
}

// failGroup freezes some nodes of a group at once, or makes one of them fail repeatedly.
func (fi *faultInjector) failGroup(f *Fleet, first, size int) error {
	if len(fi.opening) == 0 && fi.rng.IntN(2) == 0 {
		fi.freezeGroup(f, first, size)
		return nil
	}
	return fi.failRepeatedly(f, first+fi.rng.IntN(size))
}

// freezeGroup freezes some nodes of a group at once, each for a random time. This is what happens to nodes on a machine with too few cores.
func (fi *faultInjector) freezeGroup(f *Fleet, first, size int) {
	var all sync.WaitGroup
	for node := first; node < first+size; node++ {
		if fi.rng.IntN(2) == 0 {
			continue
		}
		fi.counts.Freezes++
		d := time.Duration(fi.rng.Int64N(int64(maxGroupFreeze)))
		all.Go(func() { f.Freeze(node, d) })
	}
	all.Wait()
}

// failRepeatedly injects several faults into one node, one after another.
func (fi *faultInjector) failRepeatedly(f *Fleet, node int) error {
	for range 1 + fi.rng.IntN(maxSeriesFaults) {
		if err := fi.failOnce(f, node); err != nil {
			return err
		}
		time.Sleep(time.Duration(fi.rng.Int64N(int64(maxRestartPause))))
		if fi.over() {
			return nil
		}
	}
	return nil
}

// failOnce injects one random fault into a node, and starts the node again if the fault ended its process.
func (fi *faultInjector) failOnce(f *Fleet, node int) error {
	switch fi.nextKind() {
	case freezeFault:
		fi.counts.Freezes++
		f.Freeze(node, time.Duration(fi.rng.Int64N(int64(maxFreeze))))
		return nil
	case reloadFault:
		fi.counts.Reloads++
		f.Reload(node)
		return nil
	case killFault:
		fi.counts.Kills++
		f.SignalAndWait(node, syscall.SIGKILL)
	case stopFault:
		fi.counts.Stops++
		f.SignalAndWait(node, syscall.SIGTERM)
	default:
		fi.counts.Stops++
		f.stopWhileFrozen(node, time.Duration(fi.rng.Int64N(int64(maxFrozenDrain))))
	}
	return f.Start(node)
}

// stopWhileFrozen sends SIGTERM to a node, freezes it for the first half of the grace time while it drains, and kills it at the end.
func (f *Fleet) stopWhileFrozen(i int, grace time.Duration) {
	f.nodes[i].mayExit.Store(true)
	_ = f.nodes[i].process.Process.Signal(syscall.SIGTERM)
	f.Freeze(i, grace/2)
	time.Sleep(grace / 2)
	f.SignalAndWait(i, syscall.SIGKILL)
}
