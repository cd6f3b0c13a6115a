package httpapi

import (
	"net/http"

	"github.com/uptrace/bunrouter"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/quota"
	"github.com/mallowbridge/mallowbridge/router"
)

type healthResponse struct {
	Health string `json:"health"`
}

type readinessResponse struct {
	Ready  string `json:"ready"`
	Reason string `json:"why,omitempty"`
}

func (*Operations) health(w http.ResponseWriter, _ bunrouter.Request) error {
	return respondJSON(w, http.StatusOK, healthResponse{Health: "ok"})
}

func (o *Operations) readiness(w http.ResponseWriter, _ bunrouter.Request) error {
	reason := "draining"
	if o.Frontend.InRotation() {
		o.Frontend.router.Inspect(func(r *router.Router) { reason = r.NotReady(o.Clock()) })
	}
	if reason != "" {
		w.Header().Set("Retry-After", "1")
		return respondJSON(w, http.StatusServiceUnavailable, readinessResponse{Ready: "no", Reason: reason})
	}
	return respondJSON(w, http.StatusOK, readinessResponse{Ready: "yes"})
}

func (o *Operations) status(w http.ResponseWriter, _ bunrouter.Request) error {
	var s control.Status
	o.Control.Inspect(func(n *control.Node) { s = n.Status(o.Clock()) })
	return respondJSON(w, http.StatusOK, s)
}

func (o *Operations) quotas(w http.ResponseWriter, _ bunrouter.Request) error {
	var rows []quota.TenantStatus
	o.Control.Inspect(func(n *control.Node) { rows = n.QuotaStatus(o.Clock()) })
	return respondJSON(w, http.StatusOK, rows)
}

// routerLoop returns the loop of this node's router.
func (o *Operations) routerLoop() *router.Loop {
	if o.Frontend != nil {
		return o.Frontend.router
	}
	return o.Router
}

func (o *Operations) counters(w http.ResponseWriter, _ bunrouter.Request) error {
	c := map[string]uint64{}
	if o.Frontend != nil {
		o.Frontend.addCounters(c)
	}
	o.routerLoop().Inspect(func(r *router.Router) { addRouterCounters(c, r) })
	if o.ExtraCounters != nil {
		for k, v := range o.ExtraCounters() {
			c[k] = v
		}
	}
	return respondJSON(w, http.StatusOK, c)
}

// addCounters adds the frontend's counters to c. The published names have the prefixes "gate" (frontend), "bid" (scheduler) and "hint" (prefix
// index), which operators' tools rely on.
func (f *Frontend) addCounters(c map[string]uint64) {
	n := &f.Counters
	c["gate.requests"], c["gate.denied"], c["gate.repeats"] = n.Requests.Load(), n.Rejected.Load(), n.Repeated.Load()
	c["gate.done"], c["gate.partial"], c["gate.unknown"] = n.Done.Load(), n.Partial.Load(), n.Unknown.Load()
	c["gate.bad"], c["gate.hangups"], c["gate.breaks"] = n.Invalid.Load(), n.ClientDisconnects.Load(), n.FailedAttempts.Load()
}

// addRouterCounters adds the counters of the scheduler and of the prefix index to c.
func addRouterCounters(c map[string]uint64, r *router.Router) {
	m := r.Counters()
	h, t := r.IndexStats()
	early, stale := r.Alerts()
	for k, v := range map[string]uint64{
		"bid.arrived": m.Arrived, "bid.placed": m.Placed, "bid.firstGoes": m.FirstAttempts, "bid.secondGoes": m.Retries,
		"bid.secondGoesSpared": m.RetriesRefused, "bid.deniedEarly": m.RejectedEarly, "bid.deniedLate": m.RejectedLate,
		"bid.unknown": m.Unknowns, "bid.partial": m.Partials, "bid.done": m.Dones, "bid.confirmedTokens": m.ConfirmedTokens,
		"bid.predictedTokens": m.PredictedTokens, "bid.prefixTokens": m.PrefixTokens, "bid.rechecked": m.SendsWithdrawn,
		"bid.silent": m.ResponseTimeouts, "bid.unreached": m.NotSent, "bid.refused": m.Refused, "bid.firstTokenInTime": m.FirstTokenInTime,
		"hint.recorded": h.Recorded, "hint.confirmed": h.Confirmed, "hint.earlyExpiry": h.EarlyExpiries,
		"hint.staleExpiry": h.StaleExpiries, "hint.inferredEvictions": h.InferredEvictions, "hint.resets": h.Resets,
		"hint.ttlMs": uint64(t.Milliseconds()), "hint.earlyAlert": oneIfTrue(early), "hint.staleAlert": oneIfTrue(stale),
	} {
		c[k] = v
	}
}

func oneIfTrue(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
