package scheduler

import (
	"math"
	"slices"
	"time"
)

// Outlier detection is passive: routers judge replicas by the responses to their requests. In a large fleet each router
// sends a replica too few requests to judge it alone, so routers report the failures that they observe to each other. A
// replica is ejected when several routers report failures and their sum is too high for the number of requests that the
// replica is expected to have received.
const (
	failureWindow = 2500 * time.Millisecond
	// failureRatio is the minimum ratio of failed requests for an ejection, and minFailures the minimum number of
	// failures.
	failureRatio = 0.25
	minFailures  = 3
	// minTrialFailures replaces minFailures while only some routers use the replica again.
	minTrialFailures = 1.5
	// maxEjectedRatio limits the ejected fraction of a service's replicas. If more of them fail, the cause is probably
	// not in the replicas.
	maxEjectedRatio = 0.4
	// baseEjectionTime is the length of the first ejection. Each further one within ejectionMemory is twice as long, up to four
	// times baseEjectionTime.
	baseEjectionTime = 1500 * time.Millisecond
	// trialInterval is the time between two routers' first requests to a replica after its ejection.
	trialInterval     = 40 * time.Millisecond
	ejectionMemory    = 10 * time.Second
	reportInterval    = 100 * time.Millisecond
	detectionInterval = 100 * time.Millisecond
	// silenceTimeout is how long a replica may be silent after a request was sent to it before that counts as half a
	// failure.
	silenceTimeout = 1200 * time.Millisecond
)

// FailureCount is one router's number of failures at a replica within the last failureWindow.
type FailureCount struct {
	// Replica is an index into Scheduler.Replicas.
	Replica int
	// Count is the number of failures. A timeout may count as half a failure.
	Count float64
	// Replaced: another instance answered at the replica's address.
	Replaced bool
}

// failureReport is a number of failures, and when it was recorded.
type failureReport struct {
	at    time.Duration
	count float64
}

// failureRecord holds the failures of one replica.
type failureRecord struct {
	// byRouter holds the last report of each router, local the individual failures that this router observed.
	byRouter map[string]failureReport
	local    []failureReport
	// contactedAt is when the replica last responded to this router.
	contactedAt time.Duration
	// ejections counts the ejections in a row, each within ejectionMemory of the one before.
	ejectedUntil time.Duration
	ejections    int
	// replacedAt is when this router noticed that another instance answers at the replica's address, 0 if never.
	replacedAt time.Duration
	// firstTrialAt is when the first router may use the replica again after an ejection.
	firstTrialAt time.Duration
}

// weight returns the number of failures, which decreases linearly to 0 over failureWindow as the report ages.
func (c failureReport) weight(now time.Duration) float64 {
	return c.count * max(1-float64(now-c.at)/float64(failureWindow), 0)
}

// arrivalRate counts requests with an exponential decay.
type arrivalRate struct {
	// count is the decayed number of requests at the time at. since is when the counting began.
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

// perWindow returns the number of requests within a failureWindow. Soon after the start it extrapolates from the time so
// far.
func (f *arrivalRate) perWindow() float64 {
	observed := 1 - math.Exp(-float64(f.at-f.since)/float64(failureWindow))
	return f.count / max(observed, 0.05)
}

// recordFailure records that a request of this router failed at the replica; n is 1, or less for a timeout.
func (s *Scheduler) recordFailure(now time.Duration, r *Replica, n float64) {
	if !r.eligible() || (r.warmingUp(now) && n < 1) {
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
	s.unevaluatedFailures = true
}

// ApplyFailureReport records the failures that another router observed. It replaces that router's last report.
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

// MarkReplaced reports that another instance answered at the replica's address. One router's observation suffices to
// stop using the replica. It is included in the next report to the other routers.
func (s *Scheduler) MarkReplaced(now time.Duration, replica int) {
	r := &s.Replicas[replica]
	r.Up, r.failures.replacedAt, s.unreportedFailures = false, max(now, 1), true
}

// FailureReport returns the failures that this router observed within failureWindow if there are new ones to report, at
// most once in reportInterval.
func (s *Scheduler) FailureReport(now time.Duration) []FailureCount {
	if !s.unreportedFailures || now-s.reportedAt < reportInterval {
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

// recordTimeout records a failure of weight n if the replica was silent for silenceTimeout or longer since the request was
// sent. If half a failure was already recorded for the request, it adds at most the other half.
func (s *Scheduler) recordTimeout(now time.Duration, req *Request, n float64) {
	if req.State != Sent || req.Answered || now-req.SentAt < silenceTimeout || s.Replicas[req.Replica].failures.contactedAt >= req.SentAt {
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
