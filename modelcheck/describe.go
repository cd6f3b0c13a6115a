package modelcheck

import (
	"fmt"

	"github.com/mallowbridge/mallowbridge/register"
)

// Describe describes an event of this state, for traces.
func (s *RegisterState) Describe(e Event) string {
	name := func() string { return string(rune('p'+e.Target)) + string(rune('1'+s.boots[e.Target])) }
	switch e.Kind {
	case eventDeliver:
		return "delivered: " + s.inFlight[e.Arg].String()
	case eventDuplicate:
		return "delivered, with a duplicate kept in the network: " + s.inFlight[e.Arg].String()
	case eventLoseReply:
		return "delivered, reply lost: " + s.inFlight[e.Arg].String()
	case eventSyncDisk:
		return "disk " + s.disks[e.Target].acceptor.Disk + " has written its state"
	case eventSubmit:
		o := s.model.Requests[e.Target]
		return fmt.Sprintf("request %s is sent to %s", o, s.proposers[o.FirstProposer].ID)
	case eventResend:
		o := s.model.Requests[e.Target]
		return fmt.Sprintf("request %s is sent again, to %s", o, s.proposers[1-o.FirstProposer].ID)
	case eventTimer:
		return "timer fires at " + name()
	case eventDeadline:
		return "deadline passes at " + name()
	case eventRound:
		return name() + " gets its ballot promised by disks" + s.pathDiskIDs(e.Arg)
	case eventDisconnect:
		return "the client of " + s.model.attemptID(int(e.Target)) + " leaves"
	case eventCrashDisk:
		return "disk " + s.disks[e.Target].acceptor.Disk + " crashes and restarts"
	case eventRestart:
		return name() + " restarts and loses its pending operations"
	case eventWipe:
		return "disk " + s.disks[e.Target].acceptor.Disk + " is lost; its machine restarts with an empty disk"
	case eventReplace:
		return fmt.Sprintf("%s starts to replace voter %s by %s", name(), s.known[e.Target].Voters[e.Arg].Disk, s.disks[s.spareDisk(s.known[e.Target])].acceptor.Disk)
	case eventFinish:
		return name() + " finishes a change of voters that it knows of"
	}
	return name() + " learns the newest value that the other proposer knows"
}

// String returns the id, kind and base of the request.
func (o OperatorRequest) String() string {
	switch o.Kind {
	case Put:
		return fmt.Sprintf("%s (put on version %d)", o.ID, o.BaseVersion)
	case Edit:
		return fmt.Sprintf("%s (edit of revision %d)", o.ID, o.BaseVersion)
	case Evacuate:
		return o.ID + " (evacuate)"
	case Restore:
		return o.ID + " (restore)"
	case FullRead:
		return o.ID + " (full read)"
	}
	return o.ID + " (read)"
}

// String describes the message, its sender and its receiver.
func (m envelope) String() string {
	proposer := string(rune('p' + m.proposer))
	switch r := m.msg.(type) {
	case register.Prepare:
		return fmt.Sprintf("%s asks %s to prepare %d%s (read-only %t)", proposer, r.Disk, r.Ballot.N, r.Ballot.By, r.ReadOnly)
	case register.Accept:
		return fmt.Sprintf("%s asks %s to accept %d%s: %s", proposer, r.Disk, r.Ballot.N, r.Ballot.By, describeValue(r.Value))
	case register.Promise:
		return fmt.Sprintf("%s replies to %s: promise %t of %d%s, accepted %d%s: %s", r.Disk, proposer, r.OK, r.Promised.N, r.Promised.By, r.Accepted.N, r.Accepted.By, describeValue(r.Value))
	case register.Accepted:
		return fmt.Sprintf("%s replies to %s: accepted %t, promised %d%s", r.Disk, proposer, r.OK, r.Promised.N, r.Promised.By)
	}
	return ""
}

// describeValue returns the version, epoch, document and voters of a value.
func describeValue(v *register.Value) string {
	if v == nil {
		return "no value"
	}
	text := fmt.Sprintf("version %d epoch %d %q voters", v.Version, v.Epoch, v.Document)
	for _, voter := range v.Voters {
		text += " " + voter.Disk
	}
	if len(v.NextVoters) > 0 {
		text += " next voters"
	}
	for _, voter := range v.NextVoters {
		text += " " + voter.Disk
	}
	return text
}
