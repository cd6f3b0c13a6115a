package router

import (
	"time"

	"github.com/mallowbridge/mallowbridge/scheduler"
)

// routerConnShare is the fraction of a replica's connections that is divided among the routers. The rest is for health checks and for
// times when the set of routers changes.
const routerConnShare = 0.8

// toDecisions converts the scheduler's actions, which use indexes, to decisions, which use names. It also applies the actions to the router's
// own tables.
func (r *Router) toDecisions(now time.Duration, actions []scheduler.Action) []Decision {
	var out []Decision
	for _, a := range actions {
		out = append(out, r.toDecision(a))
		r.applyAction(now, a)
	}
	return out
}

// toDecision converts one action of the scheduler.
func (r *Router) toDecision(a scheduler.Action) Decision {
	d := Decision{
		Verdict: verdicts[a.Kind], Request: r.requests[a.Request].request, Reason: a.Reason, RetryAfter: a.RetryAfter, RejectedLate: a.RejectedLate,
		ConfirmedTokens: a.ConfirmedTokens, PredictedTokens: a.PredictedTokens, NeedsWitnesses: a.NeedsWitnesses, Duplicate: a.Duplicate, SpareTime: a.SpareTime,
		OverQuota: a.Kind == scheduler.Reject && a.Reason == reasonOverQuota,
	}
	if a.Attempt != 0 {
		d.AttemptID = r.attemptID(a.Attempt)
	}
	if a.Replica >= 0 {
		d.Replica, d.Addr = r.replicas[a.Replica].name, r.replicas[a.Replica].addr
	}
	if a.Kind == scheduler.Place {
		r.fillPlacement(&d, a)
	}
	return d
}

// applyAction applies a scheduler's action to the router's own tables.
func (r *Router) applyAction(now time.Duration, a scheduler.Action) {
	switch a.Kind {
	case scheduler.Send:
		r.alreadyRan.add(now, r.requests[a.Request].request)
		r.spendGrant(a.Request)
	case scheduler.Reject:
		if !a.Duplicate {
			r.alreadyRan.remove(r.requests[a.Request].request)
		}
		r.forget(a.Request)
	case scheduler.Done, scheduler.Unknown, scheduler.Partial:
		r.forget(a.Request)
	}
}

// fillPlacement sets the fields of a decision that only placements have.
func (r *Router) fillPlacement(d *Decision, a scheduler.Action) {
	if a.PrefillReplica >= 0 {
		d.Prefill = r.replicas[a.PrefillReplica].addr
	}
	entry := &r.replicas[a.Replica]
	if entry.discovered {
		d.Instance = entry.instance
	}
	d.Resumes, d.UncachedTokens, d.Priority = a.Resumes, a.UncachedTokens, a.Priority
	service := &r.scheduler.Services[r.scheduler.Replicas[a.Replica].Service]
	d.MaxConns = r.scheduler.RouterShare(routerConnShare * float64(service.MaxConns))
	live := r.requests[a.Request]
	d.Route = live.route
	if d.Route == nil {
		return
	}
	d.Deadline = a.Deadline
	if live.tenant != nil {
		d.Tenant = live.tenant.Name
	}
	if d.Priority < 0 {
		d.Priority = live.tenant.PriorityOf(d.Route)
	}
}

// verdicts contains the verdict for each kind of scheduler action that leads to a decision.
var verdicts = map[scheduler.ActionKind]Verdict{
	scheduler.Place: Place, scheduler.Send: Send, scheduler.CancelBeforeSend: CancelBeforeSend, scheduler.Reject: Reject, scheduler.Cancel: Cancel,
	scheduler.Unknown: Unknown, scheduler.Partial: Partial, scheduler.Done: Done, scheduler.PollWitnesses: PollWitnesses,
}

// forget removes a request that ended.
func (r *Router) forget(id int) {
	if req, ok := r.requests[id]; ok {
		delete(r.requestIDs, req.request)
		delete(r.requests, id)
	}
}
