package modelcheck

import (
	"errors"
	"fmt"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

// zone is the one that all evacuations of a world are about.
const zone = "z"

// callState is what the caller of an evacuation has heard.
type callState uint8

const (
	unsent callState = iota
	waits
	// over: the caller left, or heard nothing clear.
	over
	confirmed
	refused
)

// call is one attempt of an evacuation. Each has an id of its own, as operators' calls have.
type call struct {
	state callState
	// barred calls must not be taken any more.
	barred bool
	// after are the calls, a bit each, that were over when this one was sent.
	after uint16
}

// evacuates tells whether the order is about the zone.
func (o OperatorRequest) evacuates() bool { return o.Kind == Evacuate || o.Kind == Restore }

// evacuations tells whether any order is about the zone: the number of orders taken is then part of a value's version, as an evacuation
// that changes nothing is remembered without a new revision.
func (p *RegisterModel) evacuations() bool {
	for _, o := range p.Requests {
		if o.evacuates() {
			return true
		}
	}
	return false
}

// callID is the id under which a call is remembered.
func (p *RegisterModel) callID(id int) string {
	return p.Requests[id/attempts].ID + string(rune('1'+id%attempts))
}

// evacuate sends a call of an order to a proposer.
func (c *RegisterState) evacuate(order, at int, id uint64) {
	var after uint16
	for other, call := range c.calls {
		if call.state == over {
			after |= 1 << other
		}
	}
	c.calls[id] = call{state: waits, after: after}
	op := control.Evacuate{ID: c.plan.callID(int(id)), Zone: zone, Restore: c.plan.Requests[order].Kind == Restore}
	c.enter(operation{id: id, proposer: at, order: order})
	c.proposers[at].SubmitGuarded(0, noDeadline, id, c.plan.Protocol.Evacuate(op))
	c.collect(at)
}

// mayRepeat tells whether the caller of an evacuation is without an answer and may ask the other proposer.
func (c *RegisterState) mayRepeat(order int) bool {
	return c.calls[attempts*order].state == over
}

// callerLeaves are the callers that may give up now. By the contract they do so after their call's deadline. An early one may leave as soon
// as its order has read a quorum.
func (c *RegisterState) callerLeaves(events []Event) []Event {
	for _, o := range c.open {
		if o.order < 0 || !c.plan.Requests[o.order].evacuates() || c.calls[o.id].state != waits {
			continue
		}
		if !c.plan.EarlyDisconnects || c.proposers[o.proposer].GuardSet(o.id) {
			events = append(events, Event{Kind: leave, Target: uint8(o.id)})
		}
	}
	return events
}

func (c *RegisterState) leave(id uint64) {
	c.calls[id].state = over
	for _, o := range c.open {
		if o.id == id && !c.plan.EarlyDisconnects {
			c.plan.Protocol.ExpireDeadline(c.touch(o.proposer), id)
		}
	}
}

// abandon ends the calls under way at a proposer that restarts.
func (c *RegisterState) abandon(at int) {
	for _, o := range c.open {
		if o.proposer == at && o.order >= 0 && c.plan.Requests[o.order].evacuates() {
			c.calls[o.id].state = over
		}
	}
}

// evacuationAnswered judges the answer to a call.
func (c *RegisterState) evacuationAnswered(id uint64, r register.Result) {
	var fenced *register.ScopeConflictError
	var none *register.NoQuorumError
	switch {
	case r.Err == nil:
		c.evacuationTaken(id, r.Value)
	case errors.As(r.Err, &fenced):
		c.calls[id].barred = true
		c.hear(id, refused)
	case errors.As(r.Err, &none):
		c.calls[id].barred = true
		c.hear(id, over)
	default:
		c.hear(id, over)
	}
	if r.Value != nil {
		c.fail(c.evacuationsHold(r.Value))
	}
}

// hear tells the caller, if it still waits.
func (c *RegisterState) hear(id uint64, state callState) {
	if c.calls[id].state == waits {
		c.calls[id].state = state
	}
}

// evacuationTaken bars what the confirmation overtakes: the calls that were over when this one was sent.
func (c *RegisterState) evacuationTaken(id uint64, v *register.Value) {
	if _, done := v.AppliedAt(c.plan.callID(int(id))); !done {
		c.fail(&InvariantError{Invariant: "what was confirmed is recorded", Detail: "call " + c.plan.callID(int(id))})
	}
	if c.calls[id].state != waits {
		return
	}
	c.calls[id].state = confirmed
	for other := range c.calls {
		if _, done := v.AppliedAt(c.plan.callID(other)); c.calls[id].after&(1<<other) != 0 && !done {
			c.calls[other].barred = true
		}
	}
}

// evacuationsHold: a chosen value holds what was confirmed and nothing that is barred, and its zone is as the newest order says.
func (c *RegisterState) evacuationsHold(v *register.Value) error {
	current := !c.plan.versionOf(v).older(c.plan.versionOf(c.latest))
	for id, call := range c.calls {
		name := c.plan.callID(id)
		_, taken := v.AppliedAt(name)
		switch {
		case call.barred && taken:
			return &InvariantError{Invariant: "an overtaken evacuation never takes effect", Detail: fmt.Sprintf("call %s is in the value of revision %d, %d orders", name, v.Version, v.AppliedOrders)}
		case call.state == confirmed && !taken && current:
			return &InvariantError{Invariant: "what was confirmed survives", Detail: fmt.Sprintf("call %s is not in revision %d, %d orders", name, v.Version, v.AppliedOrders)}
		case taken && v.LatestOrder(zone).ID == register.HashOrder(name):
			if (len(v.EvacuatedZones) == 0) != (c.plan.Requests[id/attempts].Kind == Restore) {
				return &InvariantError{Invariant: "the newest order is in force", Detail: fmt.Sprintf("%s, and evacuated are %v", name, v.EvacuatedZones)}
			}
		}
	}
	return nil
}

// chosenHold judges a value as soon as a quorum has accepted it, whoever knows.
func (c *RegisterState) chosenHold() {
	if !c.plan.evacuations() {
		return
	}
	for _, d := range c.disks {
		accepted, v := d.synced.Accepted, d.synced.Value
		if v != nil && register.Quorum(v, func(id string) bool {
			at := c.diskOf(id)
			return at >= 0 && c.disks[at].synced.Accepted == accepted
		}) {
			c.fail(c.evacuationsHold(v))
		}
	}
}
