package mallowbridge

import (
	"time"

	"github.com/mallowbridge/mallowbridge/scheduler"
)

func (r *Router) render(now time.Duration, acts []scheduler.Action) (out []Decision) {
	for _, a := range acts {
		d := Decision{Verdict: verdicts[a.Kind], Request: r.names[a.Request].request, Why: a.Reason, After: a.RetryAfter, Late: a.Late, Confirmed: a.ConfirmedTokens, Predicted: a.PredictedTokens}
		if a.Attempt != 0 {
			d.Go = r.goName(a.Attempt)
		}
		if a.Replica >= 0 {
			d.Replica, d.Addr = r.seats[a.Replica].name, r.seats[a.Replica].addr
		}
		d.Once, d.Repeat, d.Spare = a.OnceOnly, a.Repeat, a.SpareTime
		if a.Kind == scheduler.Place {
			r.placed(&d, a)
		}
		switch a.Kind {
		case scheduler.Send:
			r.once.note(now, d.Request)
		case scheduler.Reject:
			if !a.Repeat {
				r.once.drop(d.Request)
			}
			r.forget(a.Request)
		case scheduler.Done, scheduler.Unknown, scheduler.Partial:
			r.forget(a.Request)
		}
		out = append(out, d)
	}
	return out
}

func (r *Router) placed(d *Decision, a scheduler.Action) {
	if a.PrefillReplica >= 0 {
		d.Prefill = r.seats[a.PrefillReplica].addr
	}
	s := &r.seats[a.Replica]
	d.Route, d.Resumes, d.Rank = r.names[a.Request].route, a.Resumes, a.Rank
	d.Unread = a.Unread
	if d.Rank < 0 && d.Route != nil {
		d.Rank = d.Route.Rank
	}
	if s.discovered {
		d.Instance = s.instance
	}
	d.Conns = r.m.RouterShare(0.8 * float64(r.m.Services[r.m.Replicas[a.Replica].Service].MaxConns))
	if d.Route != nil {
		d.Until = a.Until
	}
}

var verdicts = map[scheduler.ActionKind]Verdict{
	scheduler.Place: Place, scheduler.Send: Send, scheduler.Recall: Recall, scheduler.Reject: Deny, scheduler.Cancel: Cancel,
	scheduler.Unknown: Unknown, scheduler.Partial: Partial, scheduler.Done: Done, scheduler.PollWitnesses: Peek,
}

func (r *Router) forget(id int) {
	if a, ok := r.names[id]; ok {
		delete(r.asks, a.request)
		delete(r.names, id)
	}
}
