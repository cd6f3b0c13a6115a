package scheduler

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// initialHoldTime is how long a request is held to occupy a slot until some have been seen to end.
const initialHoldTime = 500 * time.Millisecond

// Scheduler decides for one router. It owns the tables of requests, services and replicas; rows are named by their index. The root
// package's Router fills the tables and reports events by the methods below, then takes the decisions from Tick. It is not safe for
// concurrent use. All times are on the caller's clock, since its start.
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
	// divisionInForce tells that the one division left has outlasted the grace period.
	divisionInForce bool

	queued       []int
	lastAttempt  uint64
	nextInTurn   int
	nextDeadline time.Duration
	actions      []Action

	fedAt      time.Duration
	notServing string

	// unreportedFailures and unjudgedFailures tell that there are failures to be told to others, or to be judged.
	unreportedFailures, unjudgedFailures bool
	reportedAt, judgedAt                 time.Duration
}

// New gives a scheduler without rows, which serves nothing until SetFeed.
func New(cfg Config) *Scheduler {
	return &Scheduler{cfg: cfg, Index: prefixindex.New(cfg.Index), notServing: "no configuration yet"}
}

// AddReplica appends a replica whose prefix cache keeps that many tokens.
func (s *Scheduler) AddReplica(r Replica, keepTokens int) int {
	r.factor = 1
	s.Replicas = append(s.Replicas, r)
	s.Index.AddReplica(keepTokens)
	return len(s.Replicas) - 1
}

// ReuseReplicaRow gives the row of a replica that is gone to another; nothing may run there any more.
func (s *Scheduler) ReuseReplicaRow(id int, r Replica, keepTokens int) {
	r.factor = 1
	s.Replicas[id] = r
	s.Index.Reset(id, 0)
	s.Index.SetCapacity(id, keepTokens)
}

// AddService appends a service.
func (s *Scheduler) AddService(svc Service) int {
	svc.holdTime = initialHoldTime
	s.Services = append(s.Services, svc)
	return len(s.Services) - 1
}

// RequestClassID names a class's row.
type RequestClassID struct{ Service, Class int }

// ClassesInUse are those that some request still refers to.
func (s *Scheduler) ClassesInUse() map[RequestClassID]bool {
	used := map[RequestClassID]bool{}
	for i := range s.Requests.rows {
		if req := &s.Requests.rows[i]; req.live {
			used[RequestClassID{req.Service, req.Class}] = true
		}
	}
	return used
}

// Recompute follows a change of services, replicas or routers: it divides the retry allowances and the replicas' slots anew. The
// hash key is part of what routers of different builds must agree on, so its text stays.
func (s *Scheduler) Recompute(now time.Duration) {
	for i := range s.Replicas {
		s.Replicas[i].warmupQuotaKnown = false
	}
	for i := range s.Services {
		svc := &s.Services[i]
		allowance := EvenShare("second/"+svc.Name, svc.RetryAllowance, s.routers, s.cfg.Self)
		svc.retryBudget.configure(svc.RetryRatio, float64(allowance))
	}
	s.redivide(now)
}

// SetSelf renames the router, once an embedded one has learned its name and zone from the daemon.
func (s *Scheduler) SetSelf(now time.Duration, self, zone string) {
	s.cfg.Self, s.cfg.Zone = self, zone
	s.Recompute(now)
}

// RecordControlContact says that the control side was in touch now; a reason keeps requests from being served.
func (s *Scheduler) RecordControlContact(now time.Duration, whyNotServing string) {
	s.fedAt, s.notServing = now, whyNotServing
}

// NotServingReason gives the reason why no request may be served now, or "".
func (s *Scheduler) NotServingReason(now time.Duration) string {
	if s.notServing != "" {
		return s.notServing
	}
	if now-s.fedAt > s.cfg.ControlTimeout {
		return "configuration is stale"
	}
	return ""
}

// Unsent counts admitted requests whose current attempt has not been sent.
func (s *Scheduler) Unsent() int {
	var n int
	for i := range s.Requests.rows {
		if s.Requests.rows[i].unsent(s) {
			n++
		}
	}
	return n
}

// RestartSlowStart says that a new instance of a replica is age old: its slow start begins there and what was learned of its speed is void.
func (s *Scheduler) RestartSlowStart(now time.Duration, replica int, age time.Duration) {
	r := &s.Replicas[replica]
	r.StartedAt, r.Warm, r.RestartSuspectedAt = now-age, false, 0
	r.effectiveSlots, r.factor = -1, 1
}

// ConfirmInstance says that a report made at asOf came from the instance that is known already, which was seen first at since.
func (s *Scheduler) ConfirmInstance(asOf, since time.Duration, replica int) {
	r := &s.Replicas[replica]
	if asOf > r.RestartSuspectedAt {
		r.RestartSuspectedAt, r.effectiveSlots = 0, -1
	}
	r.StartedAt = min(r.StartedAt, since)
}

// ReportLoad takes in how many requests a replica ran at asOf; reports older than the newest are dropped.
func (s *Scheduler) ReportLoad(asOf time.Duration, replica, load int) {
	s.Replicas[replica].report(asOf, load)
}

// Arrive admits a request to the queue; the next Tick decides about it. Service, Class, Parts, Tail and ClientTimeout are the caller's.
func (s *Scheduler) Arrive(now time.Duration, req Request) int {
	class := s.Services[req.Service].Classes[req.Class]
	req.Idempotent, req.Resumable, req.MaxAttempts = class.Idempotent, class.Resumable, class.MaxAttempts
	req.ArrivedAt, req.State, req.Replica, req.PrefillReplica = now, Queued, -1, -1
	req.FirstTokenDue = now + class.FirstTokenTarget
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

// Tick takes the time and gives all decisions since the last Tick, in order.
func (s *Scheduler) Tick(now time.Duration) []Action {
	s.Counters.Ticks++
	s.Counters.RowsVisited += uint64(s.Index.OpenPredictions() + len(s.Requests.rows))
	s.Index.Tick(now)
	s.ageDivisions(now)
	s.checkTimeouts(now)
	s.judgeReplicas(now)
	s.matchQueued(now)
	var actions []Action
	actions, s.actions = s.actions, nil
	return actions
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

const (
	// pollEvery is how often waiting requests are looked at again, maxTickInterval how long a scheduler with open requests may sleep.
	pollEvery       = 10 * time.Millisecond
	maxTickInterval = 250 * time.Millisecond
)

// NextTick is when the scheduler needs the time again without an event, if ever.
func (s *Scheduler) NextTick(now time.Duration) (time.Duration, bool) {
	if len(s.queued) > 0 {
		return now + pollEvery, true
	}
	if s.Requests.count == 0 && s.Index.OpenPredictions() == 0 {
		return 0, false
	}
	return min(now+maxTickInterval, s.nextDeadline), true
}
