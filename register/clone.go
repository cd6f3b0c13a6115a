package register

import (
	"maps"
	"slices"

	"github.com/mallowbridge/mallowbridge/chunk"
	"github.com/mallowbridge/mallowbridge/internal/fingerprint"
)

// Clone returns an independent copy for a model checker. Its backoff draws nothing, so that equal copies stay equal.
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

// KnownValue is the newest value whose voters the proposer goes by, or nil.
func (p *Proposer) KnownValue() *Value { return p.voters }

// Busy tells whether an operation is under way and its timer may fire.
func (p *Proposer) Busy() bool { return p.current != nil }

// Queued tells whether an operation waits behind the one that is under way.
func (p *Proposer) Queued() bool { return len(p.queue) > 0 }

// BackingOff tells whether the proposer waits before its next ballot.
func (p *Proposer) BackingOff() bool { return p.phase == backingOff }

// FireTimer has the wait of the present phase end now, at time zero.
func (p *Proposer) FireTimer() {
	p.nextActionAt = 0
	p.Tick(0)
}

// FireDeadline has the present operation run out of time now, at time zero.
func (p *Proposer) FireDeadline() {
	if p.current == nil {
		return
	}
	p.current.deadline = 0
	p.Tick(0)
}

// ExpireDeadline has an operation's time run out, at time zero, while its node stands still: it ends once the node goes on with it.
func (p *Proposer) ExpireDeadline(id uint64) {
	for _, o := range append(slices.Clone(p.queue), p.current) {
		if o != nil && o.id == id {
			o.deadline = 0
		}
	}
}

// GuardSet tells whether an operation has read a quorum and set its fence.
func (p *Proposer) GuardSet(id uint64) bool {
	return p.current != nil && p.current.id == id && p.current.fence.set
}

// Preparing tells whether the proposer gathers promises, for the round RequestID.
func (p *Proposer) Preparing() bool { return p.phase == preparing }

// RequestID is the id of the present round.
func (p *Proposer) RequestID() uint64 { return p.requestID }

// Expects tells whether an answer with that request ID and promised ballot can still change anything here.
func (p *Proposer) Expects(requestID uint64, promised Ballot) bool {
	return (requestID == p.requestID && (p.phase == preparing || p.phase == accepting)) || promised.N > p.highestBallot
}

// AppendFingerprint appends all that decides what the proposer does next but for what it heard of each disk (AppendReplies). Times are
// left out, they are fired by hand.
func (p *Proposer) AppendFingerprint(b []byte) []byte {
	b = fingerprint.AppendString(b, p.ID)
	b = append(b, byte(p.phase))
	b = fingerprint.AppendUvarints(b, p.highestBallot, p.requestID)
	b = p.chosen.AppendFingerprint(p.voters.AppendFingerprint(b))
	b = p.current.appendFingerprint(b)
	for _, o := range p.queue {
		b = o.appendFingerprint(b)
	}
	switch p.phase {
	case preparing:
		return append(p.ballot.appendFingerprint(b), fingerprint.BoolByte(p.cheapRead))
	case accepting:
		return p.proposed.AppendFingerprint(p.ballot.appendFingerprint(b))
	}
	return b
}

// AppendReplies appends what the proposer asked of and heard from a disk in the present round, without the disk's name.
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
	b = append(o.fence.appendFingerprint(b), fingerprint.BoolByte(o.deadline <= 0))
	return append(o.bootstrapValue.AppendFingerprint(b), fingerprint.BoolByte(o.proposed), fingerprint.BoolByte(o.full), fingerprint.BoolByte(o.urgent), fingerprint.BoolByte(o.readFailed))
}

func (b Ballot) appendFingerprint(to []byte) []byte {
	return fingerprint.AppendString(fingerprint.AppendUvarints(to, b.N), b.By)
}

// AppendFingerprint appends the whole promise.
func (r Promise) AppendFingerprint(b []byte) []byte {
	b = fingerprint.AppendUvarints(fingerprint.AppendString(append(b, fingerprint.BoolByte(r.OK)), r.Disk), r.RequestID)
	b = r.Accepted.appendFingerprint(r.Promised.appendFingerprint(b))
	return r.Value.AppendFingerprint(b)
}

// AppendFingerprint appends the whole answer.
func (r Accepted) AppendFingerprint(b []byte) []byte {
	b = fingerprint.AppendUvarints(fingerprint.AppendString(append(b, fingerprint.BoolByte(r.OK)), r.Disk), r.RequestID)
	return r.Promised.appendFingerprint(b)
}

// AppendFingerprint appends the whole request.
func (m Prepare) AppendFingerprint(b []byte) []byte {
	b = fingerprint.AppendUvarints(fingerprint.AppendString(append(b, fingerprint.BoolByte(m.ReadOnly)), m.Disk), m.RequestID)
	return m.Ballot.appendFingerprint(b)
}

// AppendFingerprint appends the whole request.
func (m Accept) AppendFingerprint(b []byte) []byte {
	b = m.Ballot.appendFingerprint(fingerprint.AppendUvarints(fingerprint.AppendString(b, m.Disk), m.RequestID))
	return m.Value.AppendFingerprint(b)
}

// AppendFingerprint appends what the acceptor holds.
func (s State) AppendFingerprint(b []byte) []byte {
	b = s.Accepted.appendFingerprint(s.Promised.appendFingerprint(fingerprint.AppendString(b, s.Disk)))
	return s.Value.AppendFingerprint(b)
}

// AppendFingerprint appends every field of the value; nil has a fingerprint of its own.
func (v *Value) AppendFingerprint(b []byte) []byte {
	if v == nil {
		return append(b, 0)
	}
	b = fingerprint.AppendUvarints(fingerprint.AppendString(append(b, 1), v.Fleet), v.Version, v.Epoch)
	b = append(fingerprint.AppendUvarints(b, uint64(len(v.Document))), v.Document...)
	b = fingerprint.AppendUvarints(b, uint64(len(v.EvacuatedZones)))
	for _, domain := range v.EvacuatedZones {
		b = fingerprint.AppendString(b, domain)
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
