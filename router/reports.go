package router

import (
	"time"

	"github.com/mallowbridge/mallowbridge/scheduler"
)

// takeReplicaReport takes in what is heard of a replica that the router knows.
func (r *Router) takeReplicaReport(now time.Duration, ev Event) {
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
		r.takeFailures(now, e)
	}
}

func (r *Router) withReplica(name string, act func(id int)) {
	if id, ok := r.replicaIDs[name]; ok {
		act(id)
	}
}

// applyListing follows what operators say of a replica of the document.
func (r *Router) applyListing(now time.Duration, e Listing) {
	id, ok := r.replicaIDs[e.Replica]
	if !ok || r.replicas[id].discovered {
		return
	}
	r.replicas[id].platformState = e.State
	row := &r.scheduler.Replicas[id]
	row.Draining = e.State.draining()
	if e.State == Removed {
		row.Up = false
		r.replicas[id].instance = ""
		r.scheduler.Index.Reset(id, 0)
	}
	r.scheduler.Recompute(now)
}

// reportLoad takes in the state that a probe showed.
func (r *Router) reportLoad(now time.Duration, id int, e LoadReport) {
	if r.replicas[id].discovered {
		r.reportInstance(now, id, e)
		return
	}
	row := &r.scheduler.Replicas[id]
	served := row.Up && !row.Draining
	r.reportDocumented(now, id, e)
	if served != (row.Up && !row.Draining) {
		r.scheduler.Recompute(now)
	}
}

// reportDocumented is reportLoad for a replica that the document names.
func (r *Router) reportDocumented(now time.Duration, id int, e LoadReport) {
	row, entry := &r.scheduler.Replicas[id], &r.replicas[id]
	if e.Down {
		row.Up = false
		return
	}
	back := !row.Up && entry.instance != ""
	switch {
	case e.InstanceID != entry.instance:
		r.setInstance(now, id, e.InstanceID, e.Age, 0)
	case back:
		r.scheduler.RestartSlowStart(now, id, e.Age)
	case e.Own:
		r.scheduler.ConfirmInstance(now, now-e.Age, id)
	default:
		r.scheduler.ConfirmInstance(now-e.Lag, now-e.Age, id)
	}
	row.Up = true
	row.Draining = e.Leaving || entry.platformState.draining()
	r.scheduler.ReportLoad(now-e.Lag, id, e.Running)
}

// setInstance notes which instance answers for a replica. A new one is warming up and has nothing cached, but for the spared attempt.
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

// Failures gives what this router is to tell the others of failing replicas, if anything.
func (r *Router) Failures(now time.Duration) (Failures, bool) {
	var f Failures
	for _, row := range r.scheduler.FailureReport(now) {
		f.Rows = append(f.Rows, Failure{Replica: r.replicas[row.Replica].name, N: row.Count, Gone: row.Replaced})
	}
	f.By = r.cfg.Self
	return f, len(f.Rows) > 0
}

func (r *Router) takeFailures(now time.Duration, e Failures) {
	var rows []scheduler.FailureCount
	for _, f := range e.Rows {
		r.withReplica(f.Replica, func(id int) { rows = append(rows, scheduler.FailureCount{Replica: id, Count: f.N, Replaced: f.Gone}) })
	}
	r.scheduler.ApplyFailureReport(now, e.By, rows)
}
