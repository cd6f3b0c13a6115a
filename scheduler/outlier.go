package scheduler

import (
	"math"
	"slices"
	"time"
)

// Outlier detection: routers judge replicas by their answers alone. At many routers each one sees a replica too seldom to judge it, so
// each tells the others how many failures it met; a replica is ejected when the failures of several routers are too many for
// the requests that it is held to have had.
const (
	failureWindow = 2500 * time.Millisecond
	// failureRatio of its requests must have failed before a replica is ejected, and minFailures in all.
	failureRatio = 0.25
	minFailures  = 3
	// minTrialFailures are enough while only some routers have come back to it.
	minTrialFailures = 1.5
	// maxEjectedRatio bounds the ejected share of a service; more are never ejected, since the cause is then hardly theirs.
	maxEjectedRatio = 0.4
	// ejectFor is how long the first ejection lasts; each that follows within ejectionMemory lasts twice as long, up to four times.
	ejectFor = 1500 * time.Millisecond
	// trialStep keeps the routers apart that try an ejected replica again.
	trialStep      = 40 * time.Millisecond
	ejectionMemory = 10 * time.Second
	reportGap      = 100 * time.Millisecond
	judgeGap       = 100 * time.Millisecond
	// timeoutAfter is how long a request may wait with nothing heard from its replica before that counts, for half a failure.
	timeoutAfter = 1200 * time.Millisecond
)

// FailureCount counts the failures that one router met at a replica within the window.
type FailureCount struct {
	Replica int
	Count   float64
	// Replaced: another instance answered at the replica's address.
	Replaced bool
}

// failureReport counts failures up to a time.
type failureReport struct {
	at    time.Duration
	count float64
}

// failureRecord is what is held against a replica.
type failureRecord struct {
	// byRouter are the last reports of all routers, own the single failures of this one.
	byRouter     map[string]failureReport
	local        []failureReport
	contactedAt  time.Duration
	ejectedUntil time.Duration
	ejections    int
	// replacedAt is when another instance answered in its place, as this router saw it.
	replacedAt time.Duration
	// trialFrom is when the first router tries it again.
	trialFrom time.Duration
}

// weight of a report fades, since what it counts is as old as a window.
func (c failureReport) weight(now time.Duration) float64 {
	return c.count * max(1-float64(now-c.at)/float64(failureWindow), 0)
}

// An arrivalRate counts requests, the older ones less.
type arrivalRate struct {
	count float64
	since time.Duration
	at    time.Duration
}

func (f *arrivalRate) decay(now time.Duration) {
	if f.at == 0 {
		f.since = now
	}
	f.count *= math.Exp(-float64(now-f.at) / float64(failureWindow))
	f.at = now
}

// window is how many requests there are within a window, also where less than one has passed.
func (f *arrivalRate) window() float64 {
	known := 1 - math.Exp(-float64(f.at-f.since)/float64(failureWindow))
	return f.count / max(known, 0.05)
}

// recordFailure notes that a replica failed a request of this router.
func (s *Scheduler) recordFailure(now time.Duration, r *Replica, n float64) {
	if !r.open() || (r.warmingUp(now) && n < 1) {
		return
	}
	r.failures.local = append(r.failures.local, failureReport{at: now, count: n})
	s.unreportedFailures = true
	s.recordFailures(now, r, s.cfg.Self, r.failures.sum(now))
}

func (v *failureRecord) sum(now time.Duration) float64 {
	v.local = slices.DeleteFunc(v.local, func(c failureReport) bool { return now-c.at > failureWindow })
	var n float64
	for _, c := range v.local {
		n += c.count
	}
	return n
}

func (s *Scheduler) recordFailures(now time.Duration, r *Replica, by string, n float64) {
	if r.failures.byRouter == nil {
		r.failures.byRouter = map[string]failureReport{}
	}
	r.failures.byRouter[by] = failureReport{at: now, count: n}
	s.unjudgedFailures = true
}

// ApplyFailureReport takes in the failures that another router met; each report replaces the one before it.
func (s *Scheduler) ApplyFailureReport(now time.Duration, by string, rows []FailureCount) {
	if by == s.cfg.Self {
		return
	}
	for _, f := range rows {
		s.recordFailures(now, &s.Replicas[f.Replica], by, f.Count)
		if f.Replaced {
			s.Replicas[f.Replica].Up = false
		}
	}
}

// MarkReplaced says that another instance answered at the replica's address: that needs no second report, and is told.
func (s *Scheduler) MarkReplaced(now time.Duration, replica int) {
	r := &s.Replicas[replica]
	r.Up, r.failures.replacedAt, s.unreportedFailures = false, max(now, 1), true
}

// FailureReport gives the failures that this router met within the window, when there are new ones to tell.
func (s *Scheduler) FailureReport(now time.Duration) []FailureCount {
	if !s.unreportedFailures || now-s.reportedAt < reportGap {
		return nil
	}
	s.reportedAt, s.unreportedFailures = now, false
	var rows []FailureCount
	for i := range s.Replicas {
		r := &s.Replicas[i]
		v := &r.failures
		if !r.Listed || (len(v.local) == 0 && v.replacedAt == 0) {
			continue
		}
		f := FailureCount{Replica: i, Count: v.sum(now), Replaced: v.replacedAt > 0 && now-v.replacedAt < failureWindow}
		if f.Count > 0 || f.Replaced {
			rows = append(rows, f)
		}
	}
	return rows
}

// recordTimeout counts a request that its replica has not begun to answer.
func (s *Scheduler) recordTimeout(now time.Duration, req *Request, n float64) {
	if req.State != Sent || req.Answered || now-req.SentAt < timeoutAfter || s.Replicas[req.Replica].failures.contactedAt >= req.SentAt {
		return
	}
	if n < 1 && req.TimeoutCounted {
		return
	}
	if req.TimeoutCounted {
		n /= 2
	}
	req.TimeoutCounted = true
	s.recordFailure(now, &s.Replicas[req.Replica], n)
}

func (s *Scheduler) recordContact(now time.Duration, replica int) {
	s.Replicas[replica].failures.contactedAt = now
}
