package mallowbridge

import (
	"time"

	"github.com/mallowbridge/mallowbridge/scheduler"
)

func (r *Router) render(now time.Duration, acts []scheduler.Act) (out []Decision) {
	for _, a := range acts {
		d := Decision{Verdict: verdicts[a.Kind], Request: r.names[a.Ask].request, Why: a.Why, After: a.After, Late: a.Late, Confirmed: a.Conf, Predicted: a.Pred}
		if a.Go != 0 {
			d.Go = r.goName(a.Go)
		}
		if a.Rep >= 0 {
			d.Replica, d.Addr = r.seats[a.Rep].name, r.seats[a.Rep].addr
		}
		d.Once, d.Repeat, d.Spare = a.Once, a.Repeat, a.Spare
		if a.Kind == scheduler.Place {
			r.placed(&d, a)
		}
		switch a.Kind {
		case scheduler.Send:
			r.once.note(now, d.Request)
		case scheduler.Deny:
			if !a.Repeat {
				r.once.drop(d.Request)
			}
			r.forget(a.Ask)
		case scheduler.Done, scheduler.Unknown, scheduler.Partial:
			r.forget(a.Ask)
		}
		out = append(out, d)
	}
	return out
}

func (r *Router) placed(d *Decision, a scheduler.Act) {
	if a.Pre >= 0 {
		d.Prefill = r.seats[a.Pre].addr
	}
	s := &r.seats[a.Rep]
	d.Route, d.Resumes, d.Rank = r.names[a.Ask].route, a.Resumes, a.Rank
	d.Unread = a.Unread
	if d.Rank < 0 && d.Route != nil {
		d.Rank = d.Route.Rank
	}
	if s.discovered {
		d.Instance = s.instance
	}
	d.Conns = r.m.Part(0.8 * float64(r.m.Offers[r.m.Reps[a.Rep].Offer].MaxConns))
	if d.Route != nil {
		d.Until = a.Until
	}
}

var verdicts = map[scheduler.ActKind]Verdict{
	scheduler.Place: Place, scheduler.Send: Send, scheduler.Recall: Recall, scheduler.Deny: Deny, scheduler.Cancel: Cancel,
	scheduler.Unknown: Unknown, scheduler.Partial: Partial, scheduler.Done: Done, scheduler.Peek: Peek,
}

func (r *Router) forget(id int) {
	if a, ok := r.names[id]; ok {
		delete(r.asks, a.request)
		delete(r.names, id)
	}
}
