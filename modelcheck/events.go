package modelcheck

import (
	"slices"

	"github.com/mallowbridge/mallowbridge/register"
)

// Kinds of events of a RegisterState. The comments name the operands.
const (
	// eventDeliver, eventDuplicate and eventLoseReply: Arg is the index of the message in flight.
	eventDeliver uint8 = iota
	eventDuplicate
	eventLoseReply
	// eventSyncDisk: Target is the index of the disk.
	eventSyncDisk
	// eventSubmit and eventResend: Target is the index of the operator request.
	eventSubmit
	eventResend
	// eventTimer and eventDeadline: Target is the proposer.
	eventTimer
	eventDeadline
	// eventCrashDisk: Target is the index of the disk.
	eventCrashDisk
	// eventRestart: Target is the proposer.
	eventRestart
	// eventWipe: Target is the index of the disk.
	eventWipe
	// eventReplace: Target is the proposer, Arg the position of the voter to replace.
	eventReplace
	// eventFinish and eventLearn: Target is the proposer.
	eventFinish
	eventLearn
	// eventDisconnect: Target is the id of the operation.
	eventDisconnect
	// eventRound: Target is the proposer, Arg a path of disks.
	eventRound
)

// Events returns the events that are possible in this state, in a fixed order.
func (s *RegisterState) Events() []Event {
	var events []Event
	events = s.networkEvents(events)
	events = s.requestEvents(events)
	if s.budget.Disconnects > 0 {
		events = s.disconnectEvents(events)
	}
	events = s.proposerEvents(events)
	return s.diskEvents(events)
}

func (s *RegisterState) networkEvents(events []Event) []Event {
	for i, m := range s.inFlight {
		if s.belongsToRound(m) {
			continue
		}
		events = append(events, Event{Kind: eventDeliver, Arg: uint16(i)})
		if s.budget.Duplicates > 0 {
			events = append(events, Event{Kind: eventDuplicate, Arg: uint16(i)})
		}
		if m.isRequest() && s.budget.LostReplies > 0 && !s.model.QueuedReplies && !s.model.DelayedWrites {
			events = append(events, Event{Kind: eventLoseReply, Arg: uint16(i)})
		}
	}
	return events
}

func (s *RegisterState) requestEvents(events []Event) []Event {
	for i, progress := range s.requests {
		switch {
		case !s.model.RequestsBeforeAcknowledgement && !s.model.Requests[i].baseReached(s.latest):
		case !s.predecessorFinished(s.model.Requests[i]):
		case progress.sent == 0:
			events = append(events, Event{Kind: eventSubmit, Target: uint8(i)})
		case progress.sent == 1 && s.budget.Resends > 0 && s.mayResend(i):
			events = append(events, Event{Kind: eventResend, Target: uint8(i)})
		}
	}
	return events
}

// predecessorFinished reports whether the request that the same operator sent before, if any, has ended for its client.
func (s *RegisterState) predecessorFinished(o OperatorRequest) bool {
	if o.After == "" {
		return true
	}
	predecessor := slices.IndexFunc(s.model.Requests, func(other OperatorRequest) bool { return other.ID == o.After })
	sent := s.requests[predecessor].sent
	return sent > 0 && s.attempts[maxAttempts*predecessor+int(sent)-1].state > waiting
}

func (s *RegisterState) mayResend(request int) bool {
	o := s.model.Requests[request]
	return !o.isRead() && (!o.isEvacuation() || s.mayRetryEvacuation(request))
}

func (s *RegisterState) proposerEvents(events []Event) []Event {
	for proposer, p := range s.proposers {
		if s.model.AtomicRounds && p.Preparing() {
			events = s.roundEvents(events, proposer)
		}
		for _, e := range []struct {
			kind     uint8
			possible bool
		}{
			{eventTimer, p.Busy() && s.budget.Timers > 0},
			{eventDeadline, p.Queued() && s.budget.Deadlines > 0},
			{eventRestart, s.budget.Restarts > 0},
			{eventLearn, s.budget.Learns > 0 && s.known[1-proposer].Newer(s.known[proposer])},
			{eventFinish, s.budget.Finishes > 0 && len(s.known[proposer].NextVoters) > 0 && !p.Busy()},
		} {
			if e.possible {
				events = append(events, Event{Kind: e.kind, Target: uint8(proposer)})
			}
		}
		if s.budget.Replacements > 0 {
			events = s.replacementEvents(events, proposer)
		}
	}
	return events
}

// replacementEvents appends the replacements of voters that a node would start, given the value that it knows: of lost voters, or of any voter in
// a model with planned replacements.
func (s *RegisterState) replacementEvents(events []Event, proposer int) []Event {
	known := s.known[proposer]
	if len(known.NextVoters) > 0 || s.spareDisk(known) < 0 {
		return events
	}
	for position, v := range known.Voters {
		if s.diskIndex(v.Disk) < 0 || s.model.PlannedReplacements {
			events = append(events, Event{Kind: eventReplace, Target: uint8(proposer), Arg: uint16(position)})
		}
	}
	return events
}

// spareDisk returns the index of the first disk that is not a voter of a value, or -1.
func (s *RegisterState) spareDisk(known *register.Value) int {
	return slices.IndexFunc(s.disks, func(d disk) bool {
		return !slices.ContainsFunc(known.AllVoters(), func(v register.Voter) bool { return v.Disk == d.acceptor.Disk })
	})
}

func (s *RegisterState) diskEvents(events []Event) []Event {
	for i, d := range s.disks {
		target := uint8(i)
		if d.hasUnwritten() {
			events = append(events, Event{Kind: eventSyncDisk, Target: target})
		}
		if s.budget.Crashes > 0 && (d.hasUnwritten() || s.model.Protocol.ReplyBeforeWrite) {
			events = append(events, Event{Kind: eventCrashDisk, Target: target})
		}
		if s.budget.Wipes > 0 && s.mayWipe(d.acceptor.Disk) {
			events = append(events, Event{Kind: eventWipe, Target: target})
		}
	}
	return events
}

// mayWipe reports whether a disk may be lost. Only voters are lost, at most maxLostVoters at a time, and during a change of voters only if it is
// the first loss in the trace.
func (s *RegisterState) mayWipe(id string) bool {
	lost := s.countLost(s.latest.AllVoters())
	if !slices.ContainsFunc(s.latest.AllVoters(), func(v register.Voter) bool { return v.Disk == id }) {
		return false
	}
	return lost < maxLostVoters && (len(s.latest.NextVoters) == 0 || s.budget.Wipes == s.model.Budget.Wipes)
}
