package router

import (
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge/scheduler"
)

// Step advances the time, applies one event and returns the resulting decisions in order.
func (r *Router) Step(now time.Duration, ev Event) []Decision {
	switch e := ev.(type) {
	case Arrival:
		if d, decided := r.arrive(now, e); decided {
			return []Decision{d}
		}
	case ReadyToSend:
		if !r.readyToSend(now, e) {
			return []Decision{{Verdict: CancelBeforeSend, Request: e.Request, AttemptID: e.AttemptID}}
		}
	case QuotaDecided:
		r.quotaDecided(now, e)
	case ClientDisconnected:
		if id, ok := r.requestIDs[e.Request]; ok {
			r.scheduler.ClientDisconnected(now, id)
			defer r.forget(id)
		}
	default:
		r.handleRequestEvent(now, ev)
		r.handleFleetEvent(now, ev)
	}
	r.expireQuotaWaits(now)
	return r.toDecisions(now, r.scheduler.Tick(now))
}

// handleRequestEvent applies an event about an attempt or a request.
func (r *Router) handleRequestEvent(now time.Duration, ev Event) {
	switch e := ev.(type) {
	case ResponseHead:
		r.responseHead(now, e)
	case ResponseStarted:
		r.withAttempt(e.Request, e.AttemptID, func(id int, attempt uint64) { r.scheduler.StreamStarted(id, attempt) })
	case AttemptEnded:
		r.attemptEnded(now, e)
	case RanElsewhere:
		if id, ok := r.requestIDs[e.Request]; ok {
			r.scheduler.RejectDuplicate(now, id)
		}
	}
}

// handleFleetEvent applies an event about the configuration, the control plane, the routers or the replicas.
func (r *Router) handleFleetEvent(now time.Duration, ev Event) {
	switch e := ev.(type) {
	case SnapshotUpdate:
		r.applySnapshot(now, e.Snapshot)
	case Welcome:
		r.setSelf(now, e)
	case Routers:
		r.scheduler.SetRouters(now, e.byZone(r.cfg.Zone))
	case ControlStatus:
		r.scheduler.RecordControlContact(now, e.Why)
	case Listing:
		r.applyListing(now, e)
	case ReplicaList:
		r.acceptList(now, e)
	default:
		r.handleReplicaEvent(now, ev)
	}
}

var attemptResults = map[AttemptResult]scheduler.AttemptResult{
	Completed: scheduler.Completed, Refused: scheduler.Refused, Failed: scheduler.Failed, NotSent: scheduler.NotSent,
	Suppressed: scheduler.Suppressed, NoWitnessQuorum: scheduler.NoWitnessQuorum,
}

// setSelf sets the name and zone of the daemon that this router follows. The prefix of attempt IDs does not change.
func (r *Router) setSelf(now time.Duration, e Welcome) {
	r.cfg.Self, r.cfg.Zone = e.Self, e.Zone
	for i := range r.scheduler.Replicas {
		r.scheduler.Replicas[i].SameZone = r.scheduler.Replicas[i].Zone == e.Zone
	}
	r.scheduler.SetSelf(now, e.Self, e.Zone)
}

// byZone returns the routers with their zones. Routers without a zone are counted in the given one.
func (e Routers) byZone(zone string) []scheduler.RouterZone {
	var routers []scheduler.RouterZone
	for i, name := range e.Names {
		router := scheduler.RouterZone{Name: name, Zone: zone}
		if i < len(e.Zones) {
			router.Zone = e.Zones[i]
		}
		routers = append(routers, router)
	}
	return routers
}

// withAttempt calls act with the scheduler's IDs of a request and an attempt. It returns false if either is not this router's.
func (r *Router) withAttempt(request, attemptID string, act func(id int, attempt uint64)) bool {
	id, ok := r.requestIDs[request]
	if !ok {
		return false
	}
	attempt, ok := r.attemptNumber(attemptID)
	if !ok {
		return false
	}
	act(id, attempt)
	return true
}

func (r *Router) attemptID(attempt uint64) string {
	return r.attemptPrefix + strconv.FormatUint(attempt, 36)
}

// attemptNumber returns the scheduler's ID in an attempt ID, and false if the attempt is not this router's.
func (r *Router) attemptNumber(id string) (uint64, bool) {
	prefix := r.attemptPrefix
	if len(id) <= len(prefix) || id[:len(prefix)] != prefix {
		return 0, false
	}
	attempt, err := strconv.ParseUint(id[len(prefix):], 36, 64)
	return attempt, err == nil
}

// responseHead handles the head of a response. The head shows which instance runs at a replica of the configuration document; for the other
// replicas, the platform's list does.
func (r *Router) responseHead(now time.Duration, e ResponseHead) {
	id, ok := r.requestIDs[e.Request]
	if !ok {
		return
	}
	if replica := r.scheduler.ReplicaOf(id); replica >= 0 && e.InstanceID != "" && !r.replicas[replica].discovered {
		attempt, _ := r.attemptNumber(e.AttemptID)
		r.setInstance(now, replica, e.InstanceID, 0, attempt)
	}
	r.withAttempt(e.Request, e.AttemptID, func(id int, attempt uint64) {
		if e.Failed {
			r.scheduler.ErrorResponseReceived(now, id, attempt)
			return
		}
		r.scheduler.ResponseStarted(now, id, attempt)
	})
}
