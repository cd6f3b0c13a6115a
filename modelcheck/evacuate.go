package modelcheck

import (
	"errors"
	"fmt"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

// zone is the zone that all evacuations of a model are about.
const zone = "z"

// attemptState is the state of an evacuation as its client knows it.
type attemptState uint8

const (
	unsent attemptState = iota
	waiting
	// unresolved: the client disconnected, or got no definite result.
	unresolved
	confirmed
	rejected
)

// attempt is one attempt of an evacuation or restore. Each attempt has its own id, as calls of operators have.
type attempt struct {
	state attemptState
	// mustNotApply reports that the attempt must not be applied any more.
	mustNotApply bool
	// unresolvedBefore is the set of attempts, one bit each, that were unresolved when this one was sent.
	unresolvedBefore uint16
}

// isEvacuation reports whether the request evacuates or restores the zone.
func (o OperatorRequest) isEvacuation() bool { return o.Kind == Evacuate || o.Kind == Restore }

// hasEvacuations reports whether any request evacuates or restores the zone. The number of applied orders is then part of a value's version,
// because an evacuation that changes nothing is recorded without a new version.
func (m *RegisterModel) hasEvacuations() bool {
	for _, o := range m.Requests {
		if o.isEvacuation() {
			return true
		}
	}
	return false
}

// attemptID returns the id under which the order log records an attempt.
func (m *RegisterModel) attemptID(id int) string {
	return m.Requests[id/maxAttempts].ID + string(rune('1'+id%maxAttempts))
}

// sendEvacuation submits an attempt of an evacuation or restore to a proposer.
func (s *RegisterState) sendEvacuation(request, proposer int, id uint64) {
	var unresolvedAttempts uint16
	for other, a := range s.attempts {
		if a.state == unresolved {
			unresolvedAttempts |= 1 << other
		}
	}
	s.attempts[id] = attempt{state: waiting, unresolvedBefore: unresolvedAttempts}
	op := control.Evacuate{ID: s.model.attemptID(int(id)), Zone: zone, Restore: s.model.Requests[request].Kind == Restore}
	s.addOperation(operation{id: id, proposer: proposer, request: request})
	s.proposers[proposer].SubmitGuarded(0, noDeadline, id, s.model.Protocol.Evacuate(op))
	s.drainOutput(proposer)
}

// mayRetryEvacuation reports whether the first attempt of an evacuation is unresolved, so that its client may ask the other proposer.
func (s *RegisterState) mayRetryEvacuation(request int) bool {
	return s.attempts[maxAttempts*request].state == unresolved
}

// disconnectEvents appends an event for each client of an evacuation that may disconnect. By the API's contract a client waits until its
// deadline. With EarlyDisconnects it may disconnect as soon as its operation has read from a quorum.
func (s *RegisterState) disconnectEvents(events []Event) []Event {
	for _, o := range s.pending {
		if o.request < 0 || !s.model.Requests[o.request].isEvacuation() || s.attempts[o.id].state != waiting {
			continue
		}
		if !s.model.EarlyDisconnects || s.proposers[o.proposer].GuardSet(o.id) {
			events = append(events, Event{Kind: eventDisconnect, Target: uint8(o.id)})
		}
	}
	return events
}

// disconnect makes the client of an attempt give up. Unless it disconnects early, the deadline of its operation has passed.
func (s *RegisterState) disconnect(id uint64) {
	s.attempts[id].state = unresolved
	for _, o := range s.pending {
		if o.id == id && !s.model.EarlyDisconnects {
			s.model.Protocol.ExpireDeadline(s.cloneProposer(o.proposer), id)
		}
	}
}

// abandonEvacuations marks the pending attempts at a proposer that restarts as unresolved.
func (s *RegisterState) abandonEvacuations(proposer int) {
	for _, o := range s.pending {
		if o.proposer == proposer && o.request >= 0 && s.model.Requests[o.request].isEvacuation() {
			s.attempts[o.id].state = unresolved
		}
	}
}

// checkEvacuationResult updates an attempt by the result of its operation and checks the value that was returned. After a rejection by the
// scope guard, or without a quorum, the attempt must never be applied.
func (s *RegisterState) checkEvacuationResult(id uint64, r register.Result) {
	var conflict *register.ScopeConflictError
	var noQuorum *register.NoQuorumError
	switch {
	case r.Err == nil:
		s.confirmEvacuation(id, r.Value)
	case errors.As(r.Err, &conflict):
		s.attempts[id].mustNotApply = true
		s.resolveAttempt(id, rejected)
	case errors.As(r.Err, &noQuorum):
		s.attempts[id].mustNotApply = true
		s.resolveAttempt(id, unresolved)
	default:
		s.resolveAttempt(id, unresolved)
	}
	if r.Value != nil {
		s.fail(s.checkEvacuations(r.Value))
	}
}

// resolveAttempt sets the state of an attempt whose client still waits.
func (s *RegisterState) resolveAttempt(id uint64, state attemptState) {
	if s.attempts[id].state == waiting {
		s.attempts[id].state = state
	}
}

// confirmEvacuation confirms an attempt. Attempts that were unresolved when it was sent, and are not in its value, must not be applied later.
func (s *RegisterState) confirmEvacuation(id uint64, v *register.Value) {
	if _, applied := v.AppliedAt(s.model.attemptID(int(id))); !applied {
		s.fail(&InvariantError{Invariant: "a confirmed request is recorded", Detail: "attempt " + s.model.attemptID(int(id))})
	}
	if s.attempts[id].state != waiting {
		return
	}
	s.attempts[id].state = confirmed
	for other := range s.attempts {
		if _, applied := v.AppliedAt(s.model.attemptID(other)); s.attempts[id].unresolvedBefore&(1<<other) != 0 && !applied {
			s.attempts[other].mustNotApply = true
		}
	}
}

// checkEvacuations checks that a chosen value contains every confirmed attempt and none that must not be applied, and that the zone is in the
// state that the newest applied order asks for.
func (s *RegisterState) checkEvacuations(v *register.Value) error {
	current := !s.model.versionOf(v).olderThan(s.model.versionOf(s.latest))
	for id, a := range s.attempts {
		attemptID := s.model.attemptID(id)
		_, applied := v.AppliedAt(attemptID)
		switch {
		case a.mustNotApply && applied:
			return &InvariantError{Invariant: "a superseded evacuation is never applied", Detail: fmt.Sprintf("attempt %s is in version %d with %d applied orders", attemptID, v.Version, v.AppliedOrders)}
		case a.state == confirmed && !applied && current:
			return &InvariantError{Invariant: "a confirmed request is never lost", Detail: fmt.Sprintf("attempt %s is not in version %d with %d applied orders", attemptID, v.Version, v.AppliedOrders)}
		case applied && v.LatestOrder(zone).ID == register.HashOrder(attemptID):
			if (len(v.EvacuatedZones) == 0) != (s.model.Requests[id/maxAttempts].Kind == Restore) {
				return &InvariantError{Invariant: "the newest order determines the state of the zone", Detail: fmt.Sprintf("newest order %s, evacuated zones %v", attemptID, v.EvacuatedZones)}
			}
		}
	}
	return nil
}

// checkChosen checks each value that a quorum has accepted, even if no proposer knows yet that it is chosen.
func (s *RegisterState) checkChosen() {
	if !s.model.hasEvacuations() {
		return
	}
	for _, d := range s.disks {
		accepted, v := d.durable.Accepted, d.durable.Value
		if v != nil && register.Quorum(v, func(id string) bool {
			i := s.diskIndex(id)
			return i >= 0 && s.disks[i].durable.Accepted == accepted
		}) {
			s.fail(s.checkEvacuations(v))
		}
	}
}
