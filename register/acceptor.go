package register

// Message is a message between a proposer and an acceptor. The encoded forms, which older builds must be able to read, are in encoding.go.
type Message interface{ registerMessage() }

// Prepare asks a disk to promise a ballot and to return the value that it accepted last. RequestID matches the reply to the round.
type Prepare struct {
	RequestID uint64
	Disk      string
	Ballot    Ballot
	// ReadOnly asks for the accepted value without a promise. The value is chosen if a majority returns it with the same ballot.
	ReadOnly bool
}

// Promise is the reply to a Prepare. If OK is false, the prepare was rejected because of the higher ballot Promised.
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

// Accepted is the reply to an Accept. If OK is false, the value was rejected because of the higher ballot Promised.
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

// State is what an acceptor stores on its disk. No reply may reveal a part of it that is not synced yet.
type State struct {
	Disk     string
	Promised Ballot
	Accepted Ballot
	Value    *Value
}

// Acceptor votes for one disk. Its methods don't write: if they return write, the caller must store State before it sends the reply.
type Acceptor struct {
	State
}

// Prepare returns the reply to a Prepare. If write is true, the reply may be sent only after the promise is on disk. For a message to another
// disk the reply has an empty Disk and must not be sent.
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

// Accept returns the reply to an Accept. If write is true, the reply may be sent only after the value is on disk. Accept doesn't vote for a
// value that has a manifest instead of its document or its logs, so that a majority of the disks has every acknowledged value completely.
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
