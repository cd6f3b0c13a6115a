package scheduler

import (
	"slices"
	"time"
)

type Replica struct {
	Name    string
	Offer   int
	Domain  string
	Near    bool
	Role    string
	Room    int
	Listed  bool
	Emptied bool
	Leaving bool
	Up      bool

	ColdAt    time.Duration
	Warm      bool
	Doubt     time.Duration
	Backoff   time.Duration
	Usage     int
	UsageAsOf time.Duration
	Own       int
	starts    []time.Duration
	ends      []time.Duration
	factor    float64
	prefills  prefills
	share     int
	eff       int
	breaks    int

	ColdUntil time.Duration
	coldPart  int
	coldKnown bool
	coldNext  time.Duration
	coldSent  time.Duration
	sentOnce  bool

	judged record
}

func (r *Replica) open() (yes bool) {
	return r.Listed && !r.Emptied && !r.Leaving && r.Up
}

func (r *Replica) fit(now time.Duration) (yes bool) { return r.open() && now >= r.Backoff }

func after(ts []time.Duration, t time.Duration) (kept []time.Duration) {
	i := 0
	for i < len(ts) && ts[i] <= t {
		i++
	}
	return ts[i:]
}

func (r *Replica) report(asOf time.Duration, usage int) {
	if asOf < r.UsageAsOf {
		return
	}
	r.Usage, r.UsageAsOf = usage, asOf
	r.starts, r.ends = after(r.starts, asOf), after(r.ends, asOf)
}

func (r *Replica) load() (n int) {
	return max(r.Own, r.Usage+len(r.starts)-len(r.ends))
}

func (r *Replica) fullness() (f float64) {
	return float64(r.load()) / float64(max(r.Room, 1))
}

func (r *Replica) coldness(now, ramp time.Duration) (c float64) {
	if r.Doubt > 0 && ramp > 0 {
		return 1
	}
	if r.Warm || ramp <= 0 || now-r.ColdAt >= ramp {
		return 0
	}
	return 1 - float64(now-r.ColdAt)/float64(ramp)
}

const keptStarts = 4096

func (r *Replica) began(now time.Duration) {
	r.Own++
	r.starts = append(r.starts, now)
	if len(r.starts) > keptStarts {
		r.starts = r.starts[1:]
	}
}

// restart dates a go that waited between placing and sending from its sending.
func (r *Replica) restart(began, now time.Duration) {
	if i := slices.Index(r.starts, began); i >= 0 {
		r.starts = append(slices.Delete(slices.Clone(r.starts), i, i+1), now)
		return
	}
	r.starts = append(r.starts, now)
}

func (r *Replica) ended(now, began time.Duration) {
	r.Own--
	if began <= r.UsageAsOf {
		r.ends = append(r.ends, now)
		if len(r.ends) > keptStarts {
			r.ends = r.ends[1:]
		}
		return
	}
	for i, t := range r.starts {
		if t == began {
			r.starts = append(append([]time.Duration(nil), r.starts[:i]...), r.starts[i+1:]...)
			return
		}
	}
}
