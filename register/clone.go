package register

import (
	"maps"
	"slices"

	"github.com/mallowbridge/mallowbridge/chunk"
	"github.com/mallowbridge/mallowbridge/internal/fingerprint"
)

// Clone returns an independent copy for a model checker. Its backoff uses a constant instead of random numbers, so that equal copies stay equal.
func (p *Proposer) Clone() *Proposer {
	c := &Proposer{}
	*c = *p
	c.rng = fingerprint.ConstantRand
	if p.current != nil {
		cur := *p.current
		c.current = &cur
	}
	c.queue = nil
	for _, o := range p.queue {
		queued := *o
		c.queue = append(c.queue, &queued)
	}
	c.promises, c.acceptedBy, c.asked = maps.Clone(p.promises), maps.Clone(p.acceptedBy), maps.Clone(p.asked)
	c.results, c.sends = slices.Clone(p.results), slices.Clone(p.sends)
	return c
}

// KnownValue returns the newest value that the proposer knows, whose voters it asks, or nil.
func (p *Proposer) KnownValue() *Value { return p.known }

// Busy reports whether an operation is running. Only then can a timer fire.
func (p *Proposer) Busy() bool { return p.current != nil }

// Queued reports whether an operation waits for the current one to end.
func (p *Proposer) Queued() bool { return len(p.queue) > 0 }

// BackingOff reports whether the proposer waits before its next round.
func (p *Proposer) BackingOff() bool { return p.phase == backingOff }

// FireTimer ends the timeout or backoff of the current phase. The time is always 0 in a model checker.
func (p *Proposer) FireTimer() {
	p.nextActionAt = 0
	p.Tick(0)
}

// FireDeadline lets the deadline of the current operation pass and ends the operation.
func (p *Proposer) FireDeadline() {
	if p.current == nil {
		return
	}
	p.current.deadline = 0
	p.Tick(0)
}

// ExpireDeadline lets the deadline of an operation pass while its node is frozen. The operation ends when the node continues it.
func (p *Proposer) ExpireDeadline(id uint64) {
	for _, o := range append(slices.Clone(p.queue), p.current) {
		if o != nil && o.id == id {
			o.deadline = 0
		}
	}
}

// GuardSet reports whether an operation has read from a quorum and set its guard.
func (p *Proposer) GuardSet(id uint64) bool {
	return p.current != nil && p.current.id == id && p.current.guard.set
}

// Preparing reports whether the proposer waits for promises, in the round RequestID.
func (p *Proposer) Preparing() bool { return p.phase == preparing }

// RequestID returns the request ID of the current round.
func (p *Proposer) RequestID() uint64 { return p.requestID }

// Expects reports whether a reply with this request ID and promised ballot can still change the proposer's state.
func (p *Proposer) Expects(requestID uint64, promised Ballot) bool {
	return (requestID == p.requestID && (p.phase == preparing || p.phase == accepting)) || promised.N > p.highestBallot
}

// AppendFingerprint appends all state that the proposer's next steps depend on, except the replies of each disk (see AppendReplies). Times
// are left out, since a model checker fires timers itself.
func (p *Proposer) AppendFingerprint(b []byte) []byte {
	b = fingerprint.AppendString(b, p.ID)
	b = append(b, byte(p.phase))
	b = fingerprint.AppendUvarints(b, p.highestBallot, p.requestID)
	b = p.chosen.AppendFingerprint(p.known.AppendFingerprint(b))
	b = p.current.appendFingerprint(b)
	for _, o := range p.queue {
		b = o.appendFingerprint(b)
	}
	switch p.phase {
	case preparing:
		return append(p.ballot.appendFingerprint(b), fingerprint.BoolByte(p.readOnly))
	case accepting:
		return p.proposed.AppendFingerprint(p.ballot.appendFingerprint(b))
	}
	return b
}

// AppendReplies appends what the proposer sent to a disk and received from it in the current round, without the disk's ID.
func (p *Proposer) AppendReplies(b []byte, disk string) []byte {
	switch p.phase {
	case preparing:
		r, replied := p.promises[disk]
		b = append(b, fingerprint.BoolByte(p.asked[disk]), fingerprint.BoolByte(replied))
		if replied {
			r.Disk = ""
			b = r.AppendFingerprint(b)
		}
	case accepting:
		b = append(b, fingerprint.BoolByte(p.acceptedBy[disk]))
	}
	return b
}

func (o *operation) appendFingerprint(b []byte) []byte {
	if o == nil {
		return append(b, 0)
	}
	b = o.proposedBallot.appendFingerprint(fingerprint.AppendUvarints(append(b, 1), o.id))
	b = append(o.guard.appendFingerprint(b), fingerprint.BoolByte(o.deadline <= 0))
	return append(o.bootstrapValue.AppendFingerprint(b), fingerprint.BoolByte(o.proposed), fingerprint.BoolByte(o.full), fingerprint.BoolByte(o.urgent), fingerprint.BoolByte(o.readOnlyFailed))
}

func (b Ballot) appendFingerprint(to []byte) []byte {
	return fingerprint.AppendString(fingerprint.AppendUvarints(to, b.N), b.By)
}

// AppendFingerprint appends all fields of the promise.
func (r Promise) AppendFingerprint(b []byte) []byte {
	b = fingerprint.AppendUvarints(fingerprint.AppendString(append(b, fingerprint.BoolByte(r.OK)), r.Disk), r.RequestID)
	b = r.Accepted.appendFingerprint(r.Promised.appendFingerprint(b))
	return r.Value.AppendFingerprint(b)
}

// AppendFingerprint appends all fields of the reply.
func (r Accepted) AppendFingerprint(b []byte) []byte {
	b = fingerprint.AppendUvarints(fingerprint.AppendString(append(b, fingerprint.BoolByte(r.OK)), r.Disk), r.RequestID)
	return r.Promised.appendFingerprint(b)
}

// AppendFingerprint appends all fields of the request.
func (m Prepare) AppendFingerprint(b []byte) []byte {
	b = fingerprint.AppendUvarints(fingerprint.AppendString(append(b, fingerprint.BoolByte(m.ReadOnly)), m.Disk), m.RequestID)
	return m.Ballot.appendFingerprint(b)
}

// AppendFingerprint appends all fields of the request.
func (m Accept) AppendFingerprint(b []byte) []byte {
	b = m.Ballot.appendFingerprint(fingerprint.AppendUvarints(fingerprint.AppendString(b, m.Disk), m.RequestID))
	return m.Value.AppendFingerprint(b)
}

// AppendFingerprint appends all fields of the state.
func (s State) AppendFingerprint(b []byte) []byte {
	b = s.Accepted.appendFingerprint(s.Promised.appendFingerprint(fingerprint.AppendString(b, s.Disk)))
	return s.Value.AppendFingerprint(b)
}

// AppendFingerprint appends all fields of the value. A nil value has a fingerprint that no other value has.
func (v *Value) AppendFingerprint(b []byte) []byte {
	if v == nil {
		return append(b, 0)
	}
	b = fingerprint.AppendUvarints(fingerprint.AppendString(append(b, 1), v.Fleet), v.Version, v.Epoch)
	b = append(fingerprint.AppendUvarints(b, uint64(len(v.Document))), v.Document...)
	b = fingerprint.AppendUvarints(b, uint64(len(v.EvacuatedZones)))
	for _, zone := range v.EvacuatedZones {
		b = fingerprint.AppendString(b, zone)
	}
	b = appendVoters(appendVoters(b, v.Voters), v.NextVoters)
	b = fingerprint.AppendUvarints(b, uint64(len(v.LegacyOrders)))
	for _, o := range v.LegacyOrders {
		b = fingerprint.AppendUvarints(fingerprint.AppendString(b, o.ID), o.Version)
	}
	b = append(fingerprint.AppendUvarints(b, uint64(len(v.EditLog))), v.EditLog...)
	b = append(fingerprint.AppendUvarints(b, uint64(len(v.OrderLog))), v.OrderLog...)
	b = appendManifest(appendManifest(b, v.DocumentManifest), v.LogManifest)
	return fingerprint.AppendUvarints(b, v.AppliedOrders)
}

func appendManifest(b []byte, m *chunk.Manifest) []byte {
	if m == nil {
		return append(b, 0)
	}
	key := m.Key()
	return append(append(b, 1), key[:]...)
}

func appendVoters(b []byte, vs []Voter) []byte {
	b = append(b, byte(len(vs)))
	for _, v := range vs {
		b = fingerprint.AppendString(fingerprint.AppendString(b, v.Disk), v.Name)
	}
	return b
}
