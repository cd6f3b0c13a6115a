package rehearsal

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Streams of the seed in a rehearsal of quotas, beside those of the clients, which count from 0.
const (
	demandDraws = 1<<32 + iota
	limitDraws
	crashDraws
	strikerDraws
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
	// longestStall is shorter than nodes take to count each other as gone.
	longestStall = 1400 * time.Millisecond
	crashPause   = 4 * time.Second
)

// A striker has some nodes, or the replicas, fail until the end.
type striker struct {
	rng    *rand.Rand
	strike func() error
	pause  time.Duration
	report QuotaReport
}

func (s *striker) run(end time.Time) error {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(s.rng.Int64N(int64(s.pause))))
		if err := s.strike(); err != nil {
			return err
		}
	}
	return nil
}

// strikers are those of the replicas and of each group of nodes; none in calm times.
func (r *quotaRehearsal) strikers() []*striker {
	if r.Calm {
		return nil
	}
	replicas := &striker{rng: r.stream(crashDraws), pause: crashPause}
	replicas.strike = func() error {
		replicas.report.Crashes++
		return r.platform.Crash(replicas.rng.IntN(1 << 20))
	}
	all := []*striker{replicas}
	for first := 0; first < r.Nodes; first += nodesPerStriker {
		s := &striker{rng: r.stream(strikerDraws + uint64(first)), pause: strikePause}
		size := min(nodesPerStriker, r.Nodes-first)
		s.strike = func() error {
			if s.rng.IntN(2) == 0 {
				s.stall(r.fleet, first, size)
				return nil
			}
			return s.series(r.fleet, first+s.rng.IntN(size))
		}
		all = append(all, s)
	}
	return all
}

// stall has some nodes stand still at once, each for a while of its own, as where a machine has too few cores for them.
func (s *striker) stall(f *Fleet, first, size int) {
	var all sync.WaitGroup
	for node := first; node < first+size; node++ {
		if s.rng.IntN(2) == 0 {
			continue
		}
		s.report.Freezes++
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
	}
	return nil
}

func (s *striker) fail(f *Fleet, node int) error {
	switch s.rng.IntN(5) {
	case 0:
		s.report.Freezes++
		f.Freeze(node, time.Duration(s.rng.Int64N(int64(longestFreeze))))
		return nil
	case 1:
		s.report.Reloads++
		f.Reload(node)
		return nil
	case 2:
		s.report.Kills++
		f.Signal(node, syscall.SIGKILL)
	case 3:
		s.report.Stops++
		f.Signal(node, syscall.SIGTERM)
	default:
		s.report.Stops++
		f.stopFrozen(node, time.Duration(s.rng.Int64N(int64(longestGrace))))
	}
	return f.Start(node)
}

// stopFrozen tells a node to end, lets it drain for a while, and has it stand still meanwhile; then it is killed.
func (f *Fleet) stopFrozen(i int, grace time.Duration) {
	_ = f.nodes[i].process.Process.Signal(syscall.SIGTERM)
	f.Freeze(i, grace/2)
	time.Sleep(grace / 2)
	f.Signal(i, syscall.SIGKILL)
}
