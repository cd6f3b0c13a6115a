package scheduler

import (
	"slices"
	"time"
)

// rolePrefill is the role of a replica that only prefills prompts.
const rolePrefill = "prefill"

// Replica is a row of the replica table. router.Router fills in the exported fields.
type Replica struct {
	Name string
	// Service is an index into Scheduler.Services.
	Service int
	Zone    string
	// SameZone: the replica is in this router's zone.
	SameZone bool
	// Role is "both", "prefill" or "decode".
	Role string
	// WeightsRevision is the listed revision of the model's weights, empty if unknown.
	WeightsRevision string
	// Capacity is the number of requests that the replica runs at once.
	Capacity int
	// Listed: the configuration or the platform's list contains the replica. Evacuated: its zone is evacuated. Draining:
	// the platform is about to remove it. Up: it responds. A replica gets requests only if it is listed and up, and
	// neither evacuated nor draining.
	Listed, Evacuated, Draining, Up bool

	// StartedAt is when the replica's instance started. Warm: it needs no slow start.
	StartedAt time.Duration
	Warm      bool
	// RestartSuspectedAt is the time of the last failure after which the replica may have restarted. It is 0 if there was
	// none, or once a later report has confirmed the instance.
	RestartSuspectedAt time.Duration
	// BackoffUntil is when the replica's backoff ends. Until then it gets a request only if no other replica can take it.
	BackoffUntil time.Duration
	// ReportedLoad is the number of requests from all routers at ReportedAt.
	ReportedLoad int
	ReportedAt   time.Duration
	// LocalRunning is the number of this router's attempts at the replica.
	LocalRunning int
	// starts holds the start times of this router's attempts that began after ReportedAt, ends the times since
	// ReportedAt at which earlier attempts ended.
	starts, ends []time.Duration
	// latencyFactor corrects the estimated time to the first token by measurements.
	latencyFactor float64
	prefillQueue  prefillQueue
	// share is this router's part of effectiveCapacity.
	share, effectiveCapacity int
	consecutiveFailures      int

	// WarmupUntil is when the replica's warm-up ends. Until then its rate of starts is limited to the service's
	// WarmupRate.
	WarmupUntil time.Duration
	// warmupShare is this router's part of WarmupRate, valid while warmupShareKnown is set.
	warmupShare      int
	warmupShareKnown bool
	// nextWarmupStart is when the limit allows the next placement. lastSentAt is when this router last sent a request to
	// the replica, if sentOnce is set.
	nextWarmupStart time.Duration
	lastSentAt      time.Duration
	sentOnce        bool

	failures failureRecord
}

// eligible reports whether the replica may get requests at all. available also requires that no backoff is in effect.
func (r *Replica) eligible() bool {
	return r.Listed && !r.Evacuated && !r.Draining && r.Up
}

func (r *Replica) available(now time.Duration) bool { return r.eligible() && now >= r.BackoffUntil }

// after returns the times later than t. ts must be sorted.
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

// load returns the reported load, corrected by the attempts that this router has started and ended since.
func (r *Replica) load() int {
	return max(r.LocalRunning, r.ReportedLoad+len(r.starts)-len(r.ends))
}

func (r *Replica) utilization() float64 {
	return float64(r.load()) / float64(max(r.Capacity, 1))
}

// slowStartLeft returns the remaining fraction of the slow start, from 1 to 0.
func (r *Replica) slowStartLeft(now, slowStart time.Duration) float64 {
	if r.RestartSuspectedAt > 0 && slowStart > 0 {
		return 1
	}
	if r.Warm || slowStart <= 0 || now-r.StartedAt >= slowStart {
		return 0
	}
	return 1 - float64(now-r.StartedAt)/float64(slowStart)
}

// maxTrackedAttempts limits the lengths of starts and ends.
const maxTrackedAttempts = 4096

func (r *Replica) attemptStarted(now time.Duration) {
	r.LocalRunning++
	r.starts = append(r.starts, now)
	if len(r.starts) > maxTrackedAttempts {
		r.starts = r.starts[1:]
	}
}

// attemptDelayed moves the start of an attempt from its placement to the time at which it is sent.
func (r *Replica) attemptDelayed(startedAt, now time.Duration) {
	if i := slices.Index(r.starts, startedAt); i >= 0 {
		r.starts = append(slices.Delete(slices.Clone(r.starts), i, i+1), now)
		return
	}
	r.starts = append(r.starts, now)
}

func (r *Replica) attemptEnded(now, startedAt time.Duration) {
	r.LocalRunning--
	if startedAt <= r.ReportedAt {
		r.ends = append(r.ends, now)
		if len(r.ends) > maxTrackedAttempts {
			r.ends = r.ends[1:]
		}
		return
	}
	for i, t := range r.starts {
		if t == startedAt {
			r.starts = slices.Delete(slices.Clone(r.starts), i, i+1)
			return
		}
	}
}
