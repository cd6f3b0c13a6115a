package modelcheck

import (
	"fmt"
	"slices"

	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/register"
)

// Kinds of events of Leases. What is a holder, a grantor, a step or, for mail, nothing.
const (
	carryLease uint8 = iota
	doubleLease
	acquire
	advance
	restartGrantor
	acceptEpoch
	learnEpoch
	muteLease
)

// Events are the steps that are possible now.
func (l *LeaseState) Events() []Event {
	var events []Event
	for at := range l.mail {
		events = append(events, Event{Kind: carryLease, Arg: uint16(at)})
		if l.left.Duplicates > 0 {
			events = append(events, Event{Kind: doubleLease, Arg: uint16(at)})
		}
		if _, request := l.mail[at].msg.(lease.Request); request && l.left.LostGrants > 0 && !l.plan.QueuedGrants {
			events = append(events, Event{Kind: muteLease, Arg: uint16(at)})
		}
	}
	for at := range l.holders {
		if l.acquires[at] > 0 {
			events = append(events, Event{Kind: acquire, Target: uint8(at)})
		}
		if next := l.views[at] + 1; next < len(l.plan.Epochs) && l.chosen(next) {
			events = append(events, Event{Kind: learnEpoch, Target: uint8(at)})
		}
	}
	for at := range l.plan.ClockSteps {
		if l.left.ClockAdvances > 0 {
			events = append(events, Event{Kind: advance, Target: uint8(at)})
		}
	}
	return l.grantorEvents(events)
}

func (l *LeaseState) grantorEvents(events []Event) []Event {
	for at, g := range l.grantors {
		if l.left.Restarts > 0 {
			events = append(events, Event{Kind: restartGrantor, Target: uint8(at)})
		}
		for next := 1; next < len(l.plan.Epochs); next++ {
			if l.plan.Epochs[next].Epoch > g.Epoch() && l.chosen(next-1) && l.asked(next, g.Disk) {
				events = append(events, Event{Kind: acceptEpoch, Target: uint8(at), Arg: uint16(next)})
			}
		}
	}
	return events
}

// chosen tells whether a quorum of the voters before accepted that epoch.
func (l *LeaseState) chosen(epoch int) bool {
	if epoch == 0 {
		return true
	}
	return register.Quorum(l.plan.Epochs[epoch-1], func(disk string) bool {
		return l.grantors[l.grantorOf(disk)].Epoch() >= l.plan.Epochs[epoch].Epoch
	})
}

// asked tells whether a disk is asked to accept that epoch: as a voter before or after.
func (l *LeaseState) asked(epoch int, disk string) bool {
	votes := func(v register.Voter) bool { return v.Disk == disk }
	return slices.ContainsFunc(l.plan.Epochs[epoch].AllVoters(), votes) || slices.ContainsFunc(l.plan.Epochs[epoch-1].AllVoters(), votes)
}

// Apply takes one step.
func (l *LeaseState) Apply(e Event) *LeaseState {
	n := l.clone()
	what := int(e.Target)
	switch e.Kind {
	case carryLease, doubleLease, muteLease:
		n.carry(e)
	case acquire:
		n.acquires[what]--
		n.acquire(what)
	case advance:
		n.left.ClockAdvances--
		n.now += n.plan.ClockSteps[what]
	case restartGrantor:
		n.left.Restarts--
		n.restart(what)
	case acceptEpoch:
		n.touchGrantor(what)
		n.plan.Protocol.ChangeEpoch(n.grantors[what], n.grantorClock(what), n.plan.Epochs[e.Arg].Epoch)
	case learnEpoch:
		n.views[what]++
	}
	n.mail = slices.DeleteFunc(n.mail, n.useless)
	n.broken = n.oneHolder()
	return n
}

func (l *LeaseState) touchGrantor(at int) { l.grantors[at] = l.grantors[at].Clone() }

func (l *LeaseState) view(at int) *register.Value { return l.plan.Epochs[l.views[at]] }

func (l *LeaseState) acquire(at int) {
	h := l.holders[at].Clone()
	h.SkipBackoff(leaseRole)
	l.holders[at] = h
	for _, s := range h.Acquire(l.holderClock(at), leaseRole, l.view(at)) {
		l.mail = append(l.mail, leaseMail{grantor: l.grantorOf(s.Disk), holder: at, msg: s.Msg})
	}
}

func (l *LeaseState) restart(at int) {
	now, epoch := l.grantorClock(at), l.grantors[at].Epoch()
	l.grantors[at] = l.plan.Protocol.Restart(l.grantors[at], now)
	l.plan.Protocol.ChangeEpoch(l.grantors[at], now, epoch)
}

func (l *LeaseState) carry(e Event) {
	m := l.mail[e.Arg]
	if e.Kind == doubleLease {
		l.left.Duplicates--
	} else {
		l.mail = slices.Delete(l.mail, int(e.Arg), int(e.Arg)+1)
	}
	switch msg := m.msg.(type) {
	case lease.Request:
		l.touchGrantor(m.grantor)
		grant := l.plan.Protocol.HandleRequest(l.grantors[m.grantor], l.grantorClock(m.grantor), msg)
		l.answer(e, leaseMail{grantor: m.grantor, holder: m.holder, msg: grant})
	case lease.Release:
		l.touchGrantor(m.grantor)
		l.grantors[m.grantor].HandleRelease(msg)
	case lease.Grant:
		l.granted(m.holder, msg)
	}
}

// answer posts a grant or, without a queue, hands it over or loses it.
func (l *LeaseState) answer(e Event, m leaseMail) {
	switch {
	case e.Kind == muteLease:
		l.left.LostGrants--
	case l.plan.QueuedGrants:
		l.mail = append(l.mail, m)
	default:
		l.granted(m.holder, m.msg.(lease.Grant))
	}
}

func (l *LeaseState) granted(at int, g lease.Grant) {
	l.holders[at] = l.holders[at].Clone()
	l.holders[at].OnGrant(l.holderClock(at), g, l.view(at))
}

// useless finds mail that can change nothing any more: grants of rounds that are over, requests of an epoch that the grantor has
// left or of a round that is over with a token below the one granted, and releases of tokens below it.
func (l *LeaseState) useless(m leaseMail) bool {
	grantor, holder := l.grantors[m.grantor], l.holders[m.holder]
	row := grantor.Records()[leaseRole]
	switch msg := m.msg.(type) {
	case lease.Grant:
		return !holder.Expects(leaseRole, msg.RequestID)
	case lease.Request:
		refused := msg.Epoch < grantor.Epoch() && !l.plan.Protocol.IgnoresEpoch
		return refused || (!holder.Expects(leaseRole, msg.RequestID) && msg.Token.Less(row.Token))
	case lease.Release:
		return msg.Token.Less(row.Token)
	}
	return false
}

// oneHolder: at one true time at most one holder believes, by its own clock, that it holds the role.
func (l *LeaseState) oneHolder() error {
	for at, h := range l.holders {
		if !l.plan.Protocol.Holds(h, l.holderClock(at)) {
			return nil
		}
	}
	return &InvariantError{Invariant: "one holder of a lease", Detail: "both hold it"}
}

// Describe tells what an event of this state is.
func (l *LeaseState) Describe(e Event) string {
	switch e.Kind {
	case carryLease:
		return "delivered: " + l.describeMail(l.mail[e.Arg])
	case doubleLease:
		return "delivered and kept to come again: " + l.describeMail(l.mail[e.Arg])
	case acquire:
		return l.holders[e.Target].Name + " asks for the lease"
	case advance:
		return fmt.Sprintf("%s pass", l.plan.ClockSteps[e.Target])
	case muteLease:
		return "delivered, answer lost: " + l.describeMail(l.mail[e.Arg])
	case restartGrantor:
		return "grantor " + l.grantors[e.Target].Disk + " restarts"
	case acceptEpoch:
		return fmt.Sprintf("grantor %s accepts epoch %d", l.grantors[e.Target].Disk, l.plan.Epochs[e.Arg].Epoch)
	}
	return fmt.Sprintf("%s learns of epoch %d", l.holders[e.Target].Name, l.plan.Epochs[l.views[e.Target]+1].Epoch)
}

func (l *LeaseState) describeMail(m leaseMail) string {
	switch msg := m.msg.(type) {
	case lease.Request:
		return fmt.Sprintf("%s asks %s, epoch %d, token %d.%d", l.holders[m.holder].Name, msg.Disk, msg.Epoch, msg.Token.Epoch, msg.Token.Number)
	case lease.Release:
		return fmt.Sprintf("%s gives back to %s token %d.%d", l.holders[m.holder].Name, msg.Disk, msg.Token.Epoch, msg.Token.Number)
	case lease.Grant:
		return fmt.Sprintf("%s answers %s: granted %t, held by %s", msg.Disk, l.holders[m.holder].Name, msg.OK, msg.Holder)
	}
	return ""
}
