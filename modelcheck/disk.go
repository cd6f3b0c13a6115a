package modelcheck

import (
	"encoding/binary"
	"slices"

	"github.com/mallowbridge/mallowbridge/register"
)

// disk is the acceptor of one machine and its state on stable storage. As in production, a reply waits for every write that was issued before
// it, and a crash loses whatever was not written.
type disk struct {
	// name is the name of the machine; the id of its disk is in the acceptor's state and changes when the disk is lost.
	name     string
	acceptor register.Acceptor
	// durable is the state on stable storage. waitingReplies are sent when the acceptor's state has been written.
	durable        register.State
	waitingReplies []envelope
	// wipes counts how often the disk was lost.
	wipes uint8
}

func (d disk) appendFingerprint(b []byte) []byte {
	current, durable := d.acceptor.State, d.durable
	current.Disk, durable.Disk = "", ""
	b = current.AppendFingerprint(append(b, d.wipes, byte(len(d.waitingReplies))))
	if !sameState(current, durable) {
		b = durable.AppendFingerprint(b)
	}
	for _, m := range d.waitingReplies {
		b = binary.LittleEndian.AppendUint64(b, m.hash)
	}
	return b
}

func sameState(a, b register.State) bool {
	return a.Disk == b.Disk && a.Promised == b.Promised && a.Accepted == b.Accepted && a.Value == b.Value
}

// handleRequest passes a request to the acceptor. It returns the reply and whether the reply is sent now; otherwise it waits for a write, or
// there is none because the request is for another disk.
func (s *RegisterState) handleRequest(m envelope, index int) (envelope, bool) {
	d := &s.disks[index]
	mustWrite, forThisDisk := false, false
	var reply envelope
	switch request := m.msg.(type) {
	case register.Prepare:
		var r register.Promise
		r, mustWrite = s.model.Protocol.Prepare(&d.acceptor, request)
		reply, forThisDisk = newEnvelope(m.proposer, r.Disk, r), r.Disk != ""
	case register.Accept:
		var r register.Accepted
		r, mustWrite = s.model.Protocol.Accept(&d.acceptor, request)
		reply, forThisDisk = newEnvelope(m.proposer, r.Disk, r), r.Disk != ""
	}
	if !s.model.DelayedWrites {
		d.durable = d.acceptor.State
		return reply, forThisDisk
	}
	if !forThisDisk {
		return reply, false
	}
	if s.model.Protocol.ReplyBeforeWrite || (!mustWrite && sameState(d.durable, d.acceptor.State) && len(d.waitingReplies) == 0) {
		return reply, true
	}
	d.waitingReplies = append(slices.Clone(d.waitingReplies), reply)
	return reply, false
}

// hasUnwritten reports whether a crash would lose state or replies.
func (d disk) hasUnwritten() bool {
	return len(d.waitingReplies) > 0 || !sameState(d.durable, d.acceptor.State)
}

// sync writes the acceptor's state and sends the waiting replies.
func (s *RegisterState) sync(index int) {
	d := &s.disks[index]
	d.durable = d.acceptor.State
	replies := d.waitingReplies
	d.waitingReplies = nil
	for _, m := range replies {
		s.sendReply(m)
	}
}

// crash restarts the machine with the state on stable storage.
func (s *RegisterState) crash(index int) {
	d := &s.disks[index]
	d.acceptor.State, d.waitingReplies = d.durable, nil
}

// wipe restarts the machine with an empty disk, which gets a new id.
func (s *RegisterState) wipe(index int) {
	d := &s.disks[index]
	d.wipes++
	replacement := d.name + string(rune('1'+d.wipes))
	d.durable = s.model.Protocol.StateAfterWipe(d.durable, replacement)
	d.acceptor.State, d.waitingReplies = d.durable, nil
	s.inFlight = slices.DeleteFunc(s.inFlight, func(m envelope) bool {
		return m.isRequest() && s.diskIndex(m.disk) < 0
	})
}

// isRequest reports whether the message is a request to an acceptor and not a reply.
func (m envelope) isRequest() bool {
	switch m.msg.(type) {
	case register.Prepare, register.Accept:
		return true
	}
	return false
}

// isObsolete reports whether the delivery of a message can't change anything, now or later. The proposer no longer expects the reply, and for a
// request, the acceptor has also promised a higher ballot or already promised or accepted this one, or the request is a read.
func (s *RegisterState) isObsolete(m envelope) bool {
	if s.isAbandonedPrepare(m) {
		return true
	}
	p := s.proposers[m.proposer]
	switch r := m.msg.(type) {
	case register.Promise:
		return !p.Expects(r.RequestID, r.Promised)
	case register.Accepted:
		return !p.Expects(r.RequestID, r.Promised)
	case register.Prepare:
		durable := s.disks[s.diskIndex(r.Disk)].durable
		decided := r.ReadOnly || r.Ballot.Less(durable.Promised) || r.Ballot == durable.Promised
		return decided && !p.Expects(r.RequestID, durable.Promised)
	case register.Accept:
		durable := s.disks[s.diskIndex(r.Disk)].durable
		decided := r.Ballot.Less(durable.Promised) || r.Ballot == durable.Accepted
		return decided && !p.Expects(r.RequestID, durable.Promised)
	}
	return false
}
