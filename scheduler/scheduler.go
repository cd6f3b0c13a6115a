package scheduler

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// initialHoldTime is the assumed time for which a request occupies a slot, until completed requests give a mean.
const initialHoldTime = 500 * time.Millisecond

// Scheduler makes the decisions of one router. It owns the tables of requests, services and replicas, whose rows are
// addressed by index. router.Router fills the tables, reports events with the methods below, and then fetches the
// decisions with Tick. Scheduler is not safe for concurrent use. All times are relative to the start of the caller's
// clock.
type Scheduler struct {
	cfg      Config
	Requests RequestTable
	Services []Service
	Replicas []Replica
	Index    *prefixindex.Index
	Counters Counters

	routers     []string
	routerZones []RouterZone
	divisions   []division
	// divisionInForce: exactly one division is left and divisionGrace has passed since it was computed.
	divisionInForce bool

	// queued holds the ids of queued requests. nextRoundRobin, modulo the number of a service's replicas, is the position
	// at which the next round-robin placement starts to search. nextDeadline is the earliest known deadline of a placed
	// request, and actions holds the decisions since the last Tick.
	queued         []int
	lastAttempt    uint64
	nextRoundRobin int
	nextDeadline   time.Duration
	actions        []Action
	// queueingStopped is set by StopQueueing.
	queueingStopped bool

	// controlContactAt and notServingReason are set by RecordControlContact.
	controlContactAt time.Duration
	notServingReason string

	// unreportedFailures: there are failures to report to other routers. unevaluatedFailures: there are failures that
	// outlier detection has not seen.
	unreportedFailures, unevaluatedFailures bool
	reportedAt, outliersDetectedAt          time.Duration
}

// New returns a scheduler with empty tables. It serves nothing until RecordControlContact is called.
func New(cfg Config) *Scheduler {
	return &Scheduler{cfg: cfg, Index: prefixindex.New(cfg.Index), notServingReason: "no configuration yet"}
}

// AddReplica appends a replica whose prefix cache holds keepTokens tokens and returns its index.
func (s *Scheduler) AddReplica(r Replica, keepTokens int) int {
	r.latencyFactor = 1
	s.Replicas = append(s.Replicas, r)
	s.Index.AddReplica(keepTokens)
	return len(s.Replicas) - 1
}

// ReuseReplicaRow replaces the row of a replica that no longer exists by another one. Nothing may be running at the old
// replica.
func (s *Scheduler) ReuseReplicaRow(id int, r Replica, keepTokens int) {
	r.latencyFactor = 1
	s.Replicas[id] = r
	s.Index.Reset(id, 0)
	s.Index.SetCapacity(id, keepTokens)
}

// AddService appends a service and returns its index.
func (s *Scheduler) AddService(svc Service) int {
	svc.holdTime = initialHoldTime
	s.Services = append(s.Services, svc)
	return len(s.Services) - 1
}

// RequestClassID addresses a request class by its indices.
type RequestClassID struct{ Service, Class int }

// ClassesInUse returns the classes that live requests refer to.
func (s *Scheduler) ClassesInUse() map[RequestClassID]bool {
	used := map[RequestClassID]bool{}
	for i := range s.Requests.rows {
		if req := &s.Requests.rows[i]; req.live {
			used[RequestClassID{req.Service, req.Class}] = true
		}
	}
	return used
}

// Recompute must be called after a change of services, replicas or routers. It divides the retry allowances and the
// replicas' capacity again. The keys that are hashed must be the same in all builds, so their text must not change.
func (s *Scheduler) Recompute(now time.Duration) {
	for i := range s.Replicas {
		s.Replicas[i].warmupShareKnown = false
	}
	for i := range s.Services {
		svc := &s.Services[i]
		allowance := EvenShare("second/"+svc.Name, svc.RetryAllowance, s.routers, s.cfg.Self)
		svc.retryBudget.configure(svc.RetryRatio, float64(allowance))
	}
	s.redivide(now)
}

// SetSelf sets the router's name and zone, once an embedded router has learned them from the daemon.
func (s *Scheduler) SetSelf(now time.Duration, self, zone string) {
	s.cfg.Self, s.cfg.Zone = self, zone
	s.Recompute(now)
}

// RecordControlContact records that the control plane was in contact now. A non-empty reason keeps requests from being
// served.
func (s *Scheduler) RecordControlContact(now time.Duration, reason string) {
	s.controlContactAt, s.notServingReason = now, reason
}

// NotServingReason returns why no request may be served now, or "".
func (s *Scheduler) NotServingReason(now time.Duration) string {
	if s.notServingReason != "" {
		return s.notServingReason
	}
	if now-s.controlContactAt > s.cfg.ControlTimeout {
		return "configuration is stale"
	}
	return ""
}

// Unsent returns the number of live requests that have not been sent.
func (s *Scheduler) Unsent() int {
	var n int
	for i := range s.Requests.rows {
		if s.Requests.rows[i].unsent(s) {
			n++
		}
	}
	return n
}

// RestartSlowStart reports that a new instance of the replica started age ago. Its slow start begins then, and the
// measured latency factor is reset.
func (s *Scheduler) RestartSlowStart(now time.Duration, replica int, age time.Duration) {
	r := &s.Replicas[replica]
	r.StartedAt, r.Warm, r.RestartSuspectedAt = now-age, false, 0
	r.effectiveCapacity, r.latencyFactor = -1, 1
}

// ConfirmInstance reports that a load report made at asOf came from the instance already known, which was first seen at
// since.
func (s *Scheduler) ConfirmInstance(asOf, since time.Duration, replica int) {
	r := &s.Replicas[replica]
	if asOf > r.RestartSuspectedAt {
		r.RestartSuspectedAt, r.effectiveCapacity = 0, -1
	}
	r.StartedAt = min(r.StartedAt, since)
}

// ReportLoad records how many requests a replica had at asOf. Reports older than the newest one are ignored.
func (s *Scheduler) ReportLoad(asOf time.Duration, replica, load int) {
	s.Replicas[replica].report(asOf, load)
}

// Arrive adds a request to the queue and returns its id; the next Tick decides about it. The caller sets Service, Class,
// PrefixBlocks, TailTokens and ClientTimeout.
func (s *Scheduler) Arrive(now time.Duration, req Request) int {
	class := s.Services[req.Service].Classes[req.Class]
	req.Idempotent, req.Resumable, req.MaxAttempts = class.Idempotent, class.Resumable, class.MaxAttempts
	req.ArrivedAt, req.QueuedAt, req.State, req.Replica, req.PrefillReplica = now, now, Queued, -1, -1
	req.SilenceTimeout, req.SilentSince = class.SilenceTimeout, now
	req.urgency = class.Value * class.Urgency
	req.FirstTokenDue = now + class.FirstTokenTarget
	// Without a route the class promises that a request starts by then (BRIEF, The product), so it is not placed later.
	req.Deadline = req.FirstTokenDue
	if class.routed() {
		req.Deadline = now + class.Timeout
	}
	if req.ClientTimeout > 0 {
		req.Deadline = min(req.Deadline, now+req.ClientTimeout)
	}
	id := s.Requests.add(req)
	s.Counters.Arrived++
	s.queued = append(s.queued, id)
	return id
}

// Tick advances the time and returns the decisions since the last Tick, in order.
func (s *Scheduler) Tick(now time.Duration) []Action {
	s.Counters.Ticks++
	s.Counters.RowsVisited += uint64(s.Index.OpenPredictions() + len(s.Requests.rows))
	s.Index.Tick(now)
	s.ageDivisions(now)
	s.checkTimeouts(now)
	s.detectOutliers(now)
	s.processQueue(now)
	var actions []Action
	actions, s.actions = s.actions, nil
	return actions
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

const (
	// queuePollInterval is how often queued requests are examined again. maxTickInterval is the longest time between two
	// calls of Tick while requests or predictions are open.
	queuePollInterval = 10 * time.Millisecond
	maxTickInterval   = 250 * time.Millisecond
)

// NextTick returns when Tick must be called next if no event occurs before. Its second result is false if no call is
// needed.
func (s *Scheduler) NextTick(now time.Duration) (time.Duration, bool) {
	if len(s.queued) > 0 {
		return now + queuePollInterval, true
	}
	if s.Requests.count == 0 && s.Index.OpenPredictions() == 0 {
		return 0, false
	}
	return min(now+maxTickInterval, s.nextDeadline), true
}
