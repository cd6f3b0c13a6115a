package rehearsal

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Streams of the seed in rehearsals of quotas and in soaks, beside those of the clients, which count from 0.
const (
	demandDraws = 1<<32 + iota
	limitDraws
	crashDraws
	routeDraws
	zoneDraws
	strikerDraws = 1 << 33
)

const (
	// nodesPerStriker is how many nodes one striker has: as many series of faults overlap as there are strikers.
	nodesPerStriker = 8
	// longestSeries is how many faults of one node follow each other.
	longestSeries = 4
	// restartRange and strikePause bound the time between two faults of a series, and between two series.
	restartRange = 300 * time.Millisecond
	strikePause  = 1500 * time.Millisecond
	// longestFreeze and longestGrace bound how long a node stands still, and is left to end after SIGTERM before it is killed.
	longestFreeze = 2500 * time.Millisecond
	longestGrace  = 2 * time.Second
	// strikeTime and quietTime follow each other in turn where all strikers rest at once.
	strikeTime = 8 * time.Second
	quietTime  = 8 * time.Second
	// longestStall is shorter than nodes take to count each other as gone.
	longestStall = 1400 * time.Millisecond
	crashPause   = 4 * time.Second
)

// FaultCounts are how often nodes were killed, told to end, frozen and reloaded, and replicas crashed.
type FaultCounts struct{ Kills, Stops, Freezes, Reloads, Crashes int }

func (c *FaultCounts) add(o FaultCounts) {
	c.Kills += o.Kills
	c.Stops += o.Stops
	c.Freezes += o.Freezes
	c.Reloads += o.Reloads
	c.Crashes += o.Crashes
}

// A striker has some nodes, or the replicas, fail until the end.
type striker struct {
	rng    *rand.Rand
	strike func() error
	pause  time.Duration
	end    time.Time
	counts FaultCounts
	// rests tells that all strikers rest at the same times, so that the fleet is calm for a while.
	rests bool
	begun time.Time
}

// over tells whether no more faults are to begin now.
func (s *striker) over() bool { return !time.Now().Before(s.end) || s.resting() }

func (s *striker) resting() bool {
	return s.rests && time.Since(s.begun)%(strikeTime+quietTime) >= strikeTime
}

func (s *striker) run(end time.Time) error {
	s.end, s.begun = end, time.Now()
	for time.Now().Before(end) {
		time.Sleep(time.Duration(s.rng.Int64N(int64(s.pause))))
		if s.resting() {
			continue
		}
		if err := s.strike(); err != nil {
			return err
		}
	}
	return nil
}

// strikers are those of the replicas and of each group of nodes; stream gives each of them random numbers of its own.
func strikers(f *Fleet, p *Platform, stream func(n uint64) *rand.Rand) []*striker {
	replicas := &striker{rng: stream(crashDraws), pause: crashPause}
	replicas.strike = func() error {
		replicas.counts.Crashes++
		return p.Crash(replicas.rng.IntN(1 << 20))
	}
	all := []*striker{replicas}
	for first := 0; first < len(f.nodes); first += nodesPerStriker {
		s := &striker{rng: stream(strikerDraws + uint64(first)), pause: strikePause}
		size := min(nodesPerStriker, len(f.nodes)-first)
		s.strike = func() error {
			if s.rng.IntN(2) == 0 {
				s.stall(f, first, size)
				return nil
			}
			return s.series(f, first+s.rng.IntN(size))
		}
		all = append(all, s)
	}
	return all
}

// resting has all strikers rest at the same times.
func resting(all []*striker) []*striker {
	for _, s := range all {
		s.rests = true
	}
	return all
}

// strikeAll has all strikers strike until the end, and counts what they did.
func strikeAll(all []*striker, end time.Time) (FaultCounts, error) {
	failed := make(chan error, len(all))
	var running sync.WaitGroup
	for _, s := range all {
		running.Go(func() { failed <- s.run(end) })
	}
	running.Wait()
	var counts FaultCounts
	var first error
	for _, s := range all {
		counts.add(s.counts)
		first = cmp.Or(first, <-failed)
	}
	return counts, first
}

// stall has some nodes stand still at once, each for a while of its own, as where a machine has too few cores for them.
func (s *striker) stall(f *Fleet, first, size int) {
	var all sync.WaitGroup
	for node := first; node < first+size; node++ {
		if s.rng.IntN(2) == 0 {
			continue
		}
		s.counts.Freezes++
		d := time.Duration(s.rng.Int64N(int64(longestStall)))
		all.Go(func() { f.Freeze(node, d) })
	}
	all.Wait()
}

// series has one node fail several times in a row.
func (s *striker) series(f *Fleet, node int) error {
	for range 1 + s.rng.IntN(longestSeries) {
		if err := s.fail(f, node); err != nil {
			return err
		}
		time.Sleep(time.Duration(s.rng.Int64N(int64(restartRange))))
		if s.over() {
			return nil
		}
	}
	return nil
}

func (s *striker) fail(f *Fleet, node int) error {
	switch s.rng.IntN(5) {
	case 0:
		s.counts.Freezes++
		f.Freeze(node, time.Duration(s.rng.Int64N(int64(longestFreeze))))
		return nil
	case 1:
		s.counts.Reloads++
		f.Reload(node)
		return nil
	case 2:
		s.counts.Kills++
		f.SignalAndWait(node, syscall.SIGKILL)
	case 3:
		s.counts.Stops++
		f.SignalAndWait(node, syscall.SIGTERM)
	default:
		s.counts.Stops++
		f.stopFrozen(node, time.Duration(s.rng.Int64N(int64(longestGrace))))
	}
	return f.Start(node)
}

// stopFrozen tells a node to end, lets it drain for a while, and has it stand still meanwhile; then it is killed.
func (f *Fleet) stopFrozen(i int, grace time.Duration) {
	_ = f.nodes[i].process.Process.Signal(syscall.SIGTERM)
	f.Freeze(i, grace/2)
	time.Sleep(grace / 2)
	f.SignalAndWait(i, syscall.SIGKILL)
}
