package router

import (
	"time"

	"github.com/mallowbridge/mallowbridge/scheduler"
)

// handleReplicaEvent applies an event about a replica. Events about unknown replicas are ignored.
func (r *Router) handleReplicaEvent(now time.Duration, ev Event) {
	switch e := ev.(type) {
	case LoadReport:
		r.withReplica(e.Replica, func(id int) { r.reportLoad(now, id, e) })
	case ReplicaLoad:
		r.withReplica(e.Replica, func(id int) { r.scheduler.ReportLoadFromResponse(now, id, e.Running+e.Queued) })
	case Prefill:
		if e.Tokens > 0 {
			r.withReplica(e.Replica, func(id int) { r.scheduler.ReportPrefill(now, id, float64(e.Tokens)) })
		}
	case WrongInstance:
		r.withReplica(e.Replica, func(id int) { r.scheduler.MarkReplaced(now, id) })
	case ReplicaSuspect:
		r.withReplica(e.Replica, func(id int) { r.scheduler.Replicas[id].RestartSuspectedAt = now })
	case Failures:
		r.applyFailures(now, e)
	}
}

// withReplica calls act with the index of a replica, if it is known.
func (r *Router) withReplica(name string, act func(id int)) {
	if id, ok := r.replicaIDs[name]; ok {
		act(id)
	}
}

// applyListing applies the state that operators set for a replica of the configuration document.
func (r *Router) applyListing(now time.Duration, e Listing) {
	id, ok := r.replicaIDs[e.Replica]
	if !ok || r.replicas[id].discovered {
		return
	}
	r.replicas[id].operatorState = e.State
	row := &r.scheduler.Replicas[id]
	row.Draining = e.State.draining()
	if e.State == Removed {
		row.Up = false
		r.replicas[id].instance = ""
		r.scheduler.Index.Reset(id, 0)
	}
	r.scheduler.Recompute(now)
}

// reportLoad applies a health check of a replica.
func (r *Router) reportLoad(now time.Duration, id int, e LoadReport) {
	if r.replicas[id].discovered {
		r.reportInstance(now, id, e)
		return
	}
	row := &r.scheduler.Replicas[id]
	wasServing := row.Up && !row.Draining
	r.reportConfigured(now, id, e)
	if wasServing != (row.Up && !row.Draining) {
		r.scheduler.Recompute(now)
	}
}

// reportConfigured applies a health check of a replica of the configuration document.
func (r *Router) reportConfigured(now time.Duration, id int, e LoadReport) {
	row, entry := &r.scheduler.Replicas[id], &r.replicas[id]
	if e.Down {
		row.Up = false
		return
	}
	recovered := !row.Up && entry.instance != ""
	switch {
	case e.InstanceID != entry.instance:
		r.setInstance(now, id, e.InstanceID, e.Age, 0)
	case recovered:
		r.scheduler.RestartSlowStart(now, id, e.Age)
	case e.Own:
		r.scheduler.ConfirmInstance(now, now-e.Age, id)
	default:
		r.scheduler.ConfirmInstance(now-e.Lag, now-e.Age, id)
	}
	row.Up = true
	row.Draining = e.Leaving || entry.operatorState.draining()
	r.scheduler.ReportLoad(now-e.Lag, id, e.Running)
}

// setInstance records which instance runs at a replica. A new instance begins slow start and has nothing cached, except for the prompt
// of the spared attempt, to which it responded.
func (r *Router) setInstance(now time.Duration, id int, instance string, age time.Duration, spared uint64) {
	entry := &r.replicas[id]
	if entry.instance == instance {
		return
	}
	if entry.instance != "" {
		r.scheduler.Index.Reset(id, spared)
	}
	entry.instance = instance
	r.scheduler.RestartSlowStart(now, id, age)
}

// Failures returns this router's report of failing replicas for the other routers, and whether there is anything to report.
func (r *Router) Failures(now time.Duration) (Failures, bool) {
	var f Failures
	for _, row := range r.scheduler.FailureReport(now) {
		f.Rows = append(f.Rows, Failure{Replica: r.replicas[row.Replica].name, N: row.Count, Gone: row.Replaced})
	}
	f.By = r.cfg.Self
	return f, len(f.Rows) > 0
}

// applyFailures applies another router's report of failing replicas.
func (r *Router) applyFailures(now time.Duration, e Failures) {
	var rows []scheduler.FailureCount
	for _, f := range e.Rows {
		r.withReplica(f.Replica, func(id int) { rows = append(rows, scheduler.FailureCount{Replica: id, Count: f.N, Replaced: f.Gone}) })
	}
	r.scheduler.ApplyFailureReport(now, e.By, rows)
}
