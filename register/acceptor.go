package register

type Prepare struct {
	Rid    uint64
	Disk   string
	Ballot Ballot
	// Look asks what was accepted and wants no promise: a majority that answers alike has been read.
	Look bool
}

type Promise struct {
	Rid      uint64
	Disk     string
	OK       bool
	Promised Ballot
	Accepted Ballot
	Value    *Value
}

type Accept struct {
	Rid    uint64
	Disk   string
	Ballot Ballot
	Value  *Value
}

type Accepted struct {
	Rid      uint64
	Disk     string
	OK       bool
	Promised Ballot
}

type State struct {
	Disk     string
	Promised Ballot
	Accepted Ballot
	Value    *Value
}

type Acceptor struct {
	State
}

func (a *Acceptor) Prepare(m Prepare) (r Promise, write bool) {
	if m.Disk != a.Disk {
		return Promise{}, false
	}
	r = Promise{Rid: m.Rid, Disk: a.Disk, Promised: a.Promised}
	if m.Look {
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

func (a *Acceptor) Accept(m Accept) (r Accepted, write bool) {
	if m.Disk != a.Disk || m.Value == nil {
		return Accepted{}, false
	}
	r = Accepted{Rid: m.Rid, Disk: a.Disk, Promised: a.Promised}
	if m.Ballot.Less(a.Promised) {
		return r, false
	}
	write = a.Accepted != m.Ballot
	a.Promised, a.Accepted, a.Value = m.Ballot, m.Ballot, m.Value
	r.OK, r.Promised = true, m.Ballot
	return r, write
}
