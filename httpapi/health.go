package httpapi

import (
	"net/http"

	"github.com/uptrace/bunrouter"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/control"
)

func (o *Ops) health(w http.ResponseWriter, r bunrouter.Request) error {
	return reply(w, http.StatusOK, map[string]string{"health": "ok"})
}

func (o *Ops) readiness(w http.ResponseWriter, r bunrouter.Request) error {
	why := "draining"
	if o.G.Open() {
		o.G.desk.Look(func(r *mallowbridge.Router) { why = r.Ready(o.Clock()) })
	}
	if why != "" {
		w.Header().Set("Retry-After", "1")
		return reply(w, http.StatusServiceUnavailable, map[string]string{"ready": "no", "why": why})
	}
	return reply(w, http.StatusOK, map[string]string{"ready": "yes"})
}

func (o *Ops) status(w http.ResponseWriter, r bunrouter.Request) error {
	var s control.Status
	o.C.Look(func(n *control.Node) { s = n.Status(o.Clock()) })
	return reply(w, http.StatusOK, s)
}

func (o *Ops) counters(w http.ResponseWriter, r bunrouter.Request) error {
	c := map[string]uint64{}
	desk := o.Desk
	if o.G != nil {
		o.G.count(c)
		desk = o.G.desk
	}
	desk.Look(func(r *mallowbridge.Router) { count(c, r) })
	if o.Extra != nil {
		for k, v := range o.Extra() {
			c[k] = v
		}
	}
	return reply(w, http.StatusOK, c)
}

func (g *Gate) count(c map[string]uint64) {
	n := &g.N
	c["gate.requests"], c["gate.denied"], c["gate.repeats"] = n.Requests.Load(), n.Denied.Load(), n.Repeats.Load()
	c["gate.done"], c["gate.partial"], c["gate.unknown"] = n.Done.Load(), n.Partial.Load(), n.Unknown.Load()
	c["gate.bad"], c["gate.hangups"], c["gate.breaks"] = n.Bad.Load(), n.Hangups.Load(), n.Breaks.Load()
}

func count(c map[string]uint64, r *mallowbridge.Router) {
	m := r.Counters()
	h, t := r.Hints()
	early, stale := r.Alerts()
	for k, v := range map[string]uint64{
		"bid.arrived": m.Arrived, "bid.placed": m.Placed, "bid.firstGoes": m.FirstAttempts, "bid.secondGoes": m.Retries,
		"bid.secondGoesSpared": m.RetriesRefused, "bid.deniedEarly": m.RejectedEarly, "bid.deniedLate": m.RejectedLate,
		"bid.unknown": m.Unknowns, "bid.partial": m.Partials, "bid.done": m.Dones, "bid.confirmedTokens": m.ConfirmedTokens,
		"bid.predictedTokens": m.PredictedTokens, "bid.prefixTokens": m.PrefixTokens, "bid.rechecked": m.Rechecked,
		"bid.silent": m.Silent, "bid.unreached": m.Unreached, "bid.refused": m.Refused, "bid.firstTokenInTime": m.FirstTokenOK,
		"hint.recorded": h.Recorded, "hint.confirmed": h.Confirmed, "hint.earlyExpiry": h.EarlyExpiry,
		"hint.staleExpiry": h.StaleExpiry, "hint.inferredEvictions": h.Inferred, "hint.resets": h.Resets,
		"hint.ttlMs": uint64(t.Milliseconds()), "hint.earlyAlert": flag(early), "hint.staleAlert": flag(stale),
	} {
		c[k] = v
	}
}

func flag(b bool) (n uint64) {
	if b {
		return 1
	}
	return 0
}
