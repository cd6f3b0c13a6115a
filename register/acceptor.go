package register

// Message is what proposers and acceptors send each other. Their encoded forms, which older builds read, are in encoding.go.
type Message interface{ registerMessage() }

// Prepare asks a disk to promise a ballot and to tell what it accepted last. RequestID ties the answer to the round.
type Prepare struct {
	RequestID uint64
	Disk      string
	Ballot    Ballot
	// ReadOnly asks what was accepted and wants no promise: a majority that answers alike has been read.
	ReadOnly bool
}

// Promise answers a Prepare. Where OK is false, Promised is the higher ballot that stands in the way.
type Promise struct {
	RequestID uint64
	Disk      string
	OK        bool
	Promised  Ballot
	Accepted  Ballot
	Value     *Value
}

// Accept asks a disk to accept a value under a ballot.
type Accept struct {
	RequestID uint64
	Disk      string
	Ballot    Ballot
	Value     *Value
}

// Accepted answers an Accept. Where OK is false, Promised is the higher ballot that stands in the way.
type Accepted struct {
	RequestID uint64
	Disk      string
	OK        bool
	Promised  Ballot
}

func (Prepare) registerMessage()  {}
func (Promise) registerMessage()  {}
func (Accept) registerMessage()   {}
func (Accepted) registerMessage() {}

// State is what a disk keeps: nothing of it may be told before it is synced.
type State struct {
	Disk     string
	Promised Ballot
	Accepted Ballot
	Value    *Value
}

// Acceptor votes for one disk.
type Acceptor struct {
	State
}

// Prepare answers a Prepare; write tells that the answer may leave only after the promise is on disk. A message for another disk gets
// no answer (an empty Disk).
func (a *Acceptor) Prepare(m Prepare) (r Promise, write bool) {
	if m.Disk != a.Disk {
		return Promise{}, false
	}
	r = Promise{RequestID: m.RequestID, Disk: a.Disk, Promised: a.Promised}
	if m.ReadOnly {
		r.OK, r.Accepted, r.Value = true, a.Accepted, a.Value
		return r, false
	}
	if m.Ballot.Less(a.Promised) {
		return r, false
	}
	write = a.Promised.Less(m.Ballot)
	a.Promised = m.Ballot
	r.OK, r.Promised, r.Accepted, r.Value = true, m.Ballot, a.Accepted, a.Value
	return r, write
}

// Accept answers an Accept; write tells that the answer may leave only after the value is on disk. It never votes for a value whose
// document isn't here: what was acknowledged is whole on the disks of a majority.
func (a *Acceptor) Accept(m Accept) (r Accepted, write bool) {
	if m.Disk != a.Disk || m.Value == nil || !m.Value.Complete() {
		return Accepted{}, false
	}
	r = Accepted{RequestID: m.RequestID, Disk: a.Disk, Promised: a.Promised}
	if m.Ballot.Less(a.Promised) {
		return r, false
	}
	write = a.Accepted != m.Ballot
	a.Promised, a.Accepted, a.Value = m.Ballot, m.Ballot, m.Value
	r.OK, r.Promised = true, m.Ballot
	return r, write
}
