package scheduler

import (
	"slices"
	"time"
)

// rolePrefill is the role of a replica that only reads prompts.
const rolePrefill = "prefill"

// Replica is a row of the table of replicas. router.Router fills in the exported fields.
type Replica struct {
	Name    string
	Service int
	Zone    string
	// SameZone: it is in this router's zone.
	SameZone bool
	// Role is "both", "prefill" or "decode".
	Role string
	// WeightsRevision is the revision of its model's weights, as listed; empty where it is not known.
	WeightsRevision string
	// Capacity is how many requests it runs at once.
	Capacity int
	// Listed: the configuration or the platform's list names it. Evacuated: its zone is evacuated. Draining: the platform takes it
	// away. Up: it answers. Only a replica that is listed and up and neither of the others is given requests.
	Listed, Evacuated, Draining, Up bool

	// StartedAt is when its instance began; Warm: it needs no slow start.
	StartedAt time.Duration
	Warm      bool
	// RestartSuspectedAt is when it may have restarted, 0 where it was seen since.
	RestartSuspectedAt time.Duration
	// BackoffUntil is until when it is left alone.
	BackoffUntil time.Duration
	// ReportedLoad is how many requests it had at ReportedAt, from all routers.
	ReportedLoad int
	ReportedAt   time.Duration
	// LocalRunning is how many requests this router has there.
	LocalRunning int
	// starts and ends are this router's since ReportedAt.
	starts, ends []time.Duration
	// factor corrects the estimated time to the first token by what was measured.
	factor   float64
	prefills prefills
	// quota is this router's part of effectiveSlots.
	quota, effectiveSlots int
	consecutiveFailures   int

	// WarmupUntil is until when its starts are limited to the service's WarmupRate.
	WarmupUntil      time.Duration
	warmupQuota      int
	warmupQuotaKnown bool
	nextWarmupStart  time.Duration
	lastSentAt       time.Duration
	sentOnce         bool

	failures failureRecord
}

// open tells whether the replica may be given requests at all, available whether it may be given one now.
func (r *Replica) open() bool {
	return r.Listed && !r.Evacuated && !r.Draining && r.Up
}

func (r *Replica) available(now time.Duration) bool { return r.open() && now >= r.BackoffUntil }

// after cuts off the times up to t.
func after(ts []time.Duration, t time.Duration) []time.Duration {
	i := 0
	for i < len(ts) && ts[i] <= t {
		i++
	}
	return ts[i:]
}

func (r *Replica) report(asOf time.Duration, load int) {
	if asOf < r.ReportedAt {
		return
	}
	r.ReportedLoad, r.ReportedAt = load, asOf
	r.starts, r.ends = after(r.starts, asOf), after(r.ends, asOf)
}

// load is the reported one, corrected by what this router began and ended since.
func (r *Replica) load() int {
	return max(r.LocalRunning, r.ReportedLoad+len(r.starts)-len(r.ends))
}

func (r *Replica) fullness() float64 {
	return float64(r.load()) / float64(max(r.Capacity, 1))
}

// slowStartLeft goes from 1 to 0 over the slow start.
func (r *Replica) slowStartLeft(now, slowStart time.Duration) float64 {
	if r.RestartSuspectedAt > 0 && slowStart > 0 {
		return 1
	}
	if r.Warm || slowStart <= 0 || now-r.StartedAt >= slowStart {
		return 0
	}
	return 1 - float64(now-r.StartedAt)/float64(slowStart)
}

const keptStarts = 4096

func (r *Replica) attemptBegan(now time.Duration) {
	r.LocalRunning++
	r.starts = append(r.starts, now)
	if len(r.starts) > keptStarts {
		r.starts = r.starts[1:]
	}
}

// attemptDelayed dates an attempt that waited between placing and sending from its sending.
func (r *Replica) attemptDelayed(began, now time.Duration) {
	if i := slices.Index(r.starts, began); i >= 0 {
		r.starts = append(slices.Delete(slices.Clone(r.starts), i, i+1), now)
		return
	}
	r.starts = append(r.starts, now)
}

func (r *Replica) attemptEnded(now, began time.Duration) {
	r.LocalRunning--
	if began <= r.ReportedAt {
		r.ends = append(r.ends, now)
		if len(r.ends) > keptStarts {
			r.ends = r.ends[1:]
		}
		return
	}
	for i, t := range r.starts {
		if t == began {
			r.starts = slices.Delete(slices.Clone(r.starts), i, i+1)
			return
		}
	}
}
