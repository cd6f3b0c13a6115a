package modelcheck

import (
	"fmt"
	"slices"

	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/register"
)

// Kinds of events of a LeaseState. The comments name the operands.
const (
	// leaseDeliver, leaseDuplicate and leaseLoseGrant: Arg is the index of the message in flight.
	leaseDeliver uint8 = iota
	leaseDuplicate
	// leaseAcquire: Target is the holder.
	leaseAcquire
	// leaseAdvanceClock: Target is the index of the clock step.
	leaseAdvanceClock
	// leaseRestartGrantor: Target is the index of the grantor.
	leaseRestartGrantor
	// leaseAcceptEpoch: Target is the index of the grantor, Arg that of the epoch.
	leaseAcceptEpoch
	// leaseLearnEpoch: Target is the holder.
	leaseLearnEpoch
	leaseLoseGrant
)

// Events returns the events that are possible in this state, in a fixed order.
func (l *LeaseState) Events() []Event {
	var events []Event
	for i := range l.inFlight {
		events = append(events, Event{Kind: leaseDeliver, Arg: uint16(i)})
		if l.budget.Duplicates > 0 {
			events = append(events, Event{Kind: leaseDuplicate, Arg: uint16(i)})
		}
		if _, request := l.inFlight[i].msg.(lease.Request); request && l.budget.LostGrants > 0 && !l.model.QueuedGrants {
			events = append(events, Event{Kind: leaseLoseGrant, Arg: uint16(i)})
		}
	}
	for i := range l.holders {
		if l.acquires[i] > 0 {
			events = append(events, Event{Kind: leaseAcquire, Target: uint8(i)})
		}
		if next := l.knownEpochs[i] + 1; next < len(l.model.Epochs) && l.epochChosen(next) {
			events = append(events, Event{Kind: leaseLearnEpoch, Target: uint8(i)})
		}
	}
	for i := range l.model.ClockSteps {
		if l.budget.ClockAdvances > 0 {
			events = append(events, Event{Kind: leaseAdvanceClock, Target: uint8(i)})
		}
	}
	return l.grantorEvents(events)
}

func (l *LeaseState) grantorEvents(events []Event) []Event {
	for i, g := range l.grantors {
		if l.budget.Restarts > 0 {
			events = append(events, Event{Kind: leaseRestartGrantor, Target: uint8(i)})
		}
		for next := 1; next < len(l.model.Epochs); next++ {
			if l.model.Epochs[next].Epoch > g.Epoch() && l.epochChosen(next-1) && l.isInvolved(next, g.Disk) {
				events = append(events, Event{Kind: leaseAcceptEpoch, Target: uint8(i), Arg: uint16(next)})
			}
		}
	}
	return events
}

// epochChosen reports whether a quorum of the voters of the previous epoch has accepted an epoch.
func (l *LeaseState) epochChosen(epoch int) bool {
	if epoch == 0 {
		return true
	}
	return register.Quorum(l.model.Epochs[epoch-1], func(disk string) bool {
		return l.grantors[l.grantorIndex(disk)].Epoch() >= l.model.Epochs[epoch].Epoch
	})
}

// isInvolved reports whether a disk is asked to accept an epoch, because it is a voter in this or in the previous epoch.
func (l *LeaseState) isInvolved(epoch int, disk string) bool {
	votes := func(v register.Voter) bool { return v.Disk == disk }
	return slices.ContainsFunc(l.model.Epochs[epoch].AllVoters(), votes) || slices.ContainsFunc(l.model.Epochs[epoch-1].AllVoters(), votes)
}

// Apply returns the state after an event.
func (l *LeaseState) Apply(e Event) *LeaseState {
	n := l.clone()
	target := int(e.Target)
	switch e.Kind {
	case leaseDeliver, leaseDuplicate, leaseLoseGrant:
		n.deliver(e)
	case leaseAcquire:
		n.acquires[target]--
		n.acquire(target)
	case leaseAdvanceClock:
		n.budget.ClockAdvances--
		n.now += n.model.ClockSteps[target]
	case leaseRestartGrantor:
		n.budget.Restarts--
		n.restartGrantor(target)
	case leaseAcceptEpoch:
		n.cloneGrantor(target)
		n.model.Protocol.ChangeEpoch(n.grantors[target], n.grantorClock(target), n.model.Epochs[e.Arg].Epoch)
	case leaseLearnEpoch:
		n.knownEpochs[target]++
	}
	n.inFlight = slices.DeleteFunc(n.inFlight, n.isObsolete)
	n.brokenInvariant = n.checkOneHolder()
	return n
}

// cloneGrantor replaces a grantor, which other states may share, by a copy. A step calls it before it changes the grantor.
func (l *LeaseState) cloneGrantor(grantor int) { l.grantors[grantor] = l.grantors[grantor].Clone() }

// knownVoters returns the value with the voters that a holder knows.
func (l *LeaseState) knownVoters(holder int) *register.Value {
	return l.model.Epochs[l.knownEpochs[holder]]
}

// acquire makes a holder request the lease, without waiting for its backoff.
func (l *LeaseState) acquire(holder int) {
	h := l.holders[holder].Clone()
	h.SkipBackoff(leaseRole)
	l.holders[holder] = h
	for _, send := range h.Acquire(l.holderClock(holder), leaseRole, l.knownVoters(holder)) {
		l.inFlight = append(l.inFlight, leaseEnvelope{grantor: l.grantorIndex(send.Disk), holder: holder, msg: send.Msg})
	}
}

// restartGrantor restarts a grantor, which keeps its records and its epoch.
func (l *LeaseState) restartGrantor(grantor int) {
	now, epoch := l.grantorClock(grantor), l.grantors[grantor].Epoch()
	l.grantors[grantor] = l.model.Protocol.Restart(l.grantors[grantor], now)
	l.model.Protocol.ChangeEpoch(l.grantors[grantor], now, epoch)
}

// deliver delivers a message in flight: once, with a duplicate that stays in the network, or with its grant lost.
func (l *LeaseState) deliver(e Event) {
	m := l.inFlight[e.Arg]
	if e.Kind == leaseDuplicate {
		l.budget.Duplicates--
	} else {
		l.inFlight = slices.Delete(l.inFlight, int(e.Arg), int(e.Arg)+1)
	}
	switch msg := m.msg.(type) {
	case lease.Request:
		l.cloneGrantor(m.grantor)
		grant := l.model.Protocol.HandleRequest(l.grantors[m.grantor], l.grantorClock(m.grantor), msg)
		l.sendGrant(e, leaseEnvelope{grantor: m.grantor, holder: m.holder, msg: grant})
	case lease.Release:
		l.cloneGrantor(m.grantor)
		l.grantors[m.grantor].HandleRelease(msg)
	case lease.Grant:
		l.deliverGrant(m.holder, msg)
	}
}

// sendGrant puts a grant into the network, loses it, or delivers it at once if the model does not queue grants.
func (l *LeaseState) sendGrant(e Event, m leaseEnvelope) {
	switch {
	case e.Kind == leaseLoseGrant:
		l.budget.LostGrants--
	case l.model.QueuedGrants:
		l.inFlight = append(l.inFlight, m)
	default:
		l.deliverGrant(m.holder, m.msg.(lease.Grant))
	}
}

func (l *LeaseState) deliverGrant(holder int, g lease.Grant) {
	l.holders[holder] = l.holders[holder].Clone()
	l.holders[holder].OnGrant(l.holderClock(holder), g, l.knownVoters(holder))
}

// isObsolete reports whether the delivery of a message can't change anything any more: a grant that the holder no longer expects; a request of an
// epoch before the grantor's, or one that the holder no longer expects with a fencing token below the granted one; or a release of a token below
// the granted one.
func (l *LeaseState) isObsolete(m leaseEnvelope) bool {
	grantor, holder := l.grantors[m.grantor], l.holders[m.holder]
	record := grantor.Records()[leaseRole]
	switch msg := m.msg.(type) {
	case lease.Grant:
		return !holder.Expects(leaseRole, msg.RequestID)
	case lease.Request:
		rejected := msg.Epoch < grantor.Epoch() && !l.model.Protocol.IgnoresEpoch
		return rejected || (!holder.Expects(leaseRole, msg.RequestID) && msg.Token.Less(record.Token))
	case lease.Release:
		return msg.Token.Less(record.Token)
	}
	return false
}

// checkOneHolder checks that at any real time at most one holder believes, by its own clock, that it holds the lease.
func (l *LeaseState) checkOneHolder() error {
	for i, h := range l.holders {
		if !l.model.Protocol.Holds(h, l.holderClock(i)) {
			return nil
		}
	}
	return &InvariantError{Invariant: "at most one lease holder", Detail: "both holders hold the lease"}
}

// Describe describes an event of this state, for traces.
func (l *LeaseState) Describe(e Event) string {
	switch e.Kind {
	case leaseDeliver:
		return "delivered: " + l.describeMessage(l.inFlight[e.Arg])
	case leaseDuplicate:
		return "delivered, with a duplicate kept in the network: " + l.describeMessage(l.inFlight[e.Arg])
	case leaseAcquire:
		return l.holders[e.Target].Name + " requests the lease"
	case leaseAdvanceClock:
		return fmt.Sprintf("%s pass", l.model.ClockSteps[e.Target])
	case leaseLoseGrant:
		return "delivered, grant lost: " + l.describeMessage(l.inFlight[e.Arg])
	case leaseRestartGrantor:
		return "grantor " + l.grantors[e.Target].Disk + " restarts"
	case leaseAcceptEpoch:
		return fmt.Sprintf("grantor %s accepts epoch %d", l.grantors[e.Target].Disk, l.model.Epochs[e.Arg].Epoch)
	}
	return fmt.Sprintf("%s learns of epoch %d", l.holders[e.Target].Name, l.model.Epochs[l.knownEpochs[e.Target]+1].Epoch)
}

func (l *LeaseState) describeMessage(m leaseEnvelope) string {
	switch msg := m.msg.(type) {
	case lease.Request:
		return fmt.Sprintf("%s requests the lease from %s, epoch %d, token %d.%d", l.holders[m.holder].Name, msg.Disk, msg.Epoch, msg.Token.Epoch, msg.Token.Number)
	case lease.Release:
		return fmt.Sprintf("%s releases the lease at %s, token %d.%d", l.holders[m.holder].Name, msg.Disk, msg.Token.Epoch, msg.Token.Number)
	case lease.Grant:
		return fmt.Sprintf("%s replies to %s: granted %t, holder %s", msg.Disk, l.holders[m.holder].Name, msg.OK, msg.Holder)
	}
	return ""
}
