package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/register"
)

// Promised is the log entry for a promised ballot.
type Promised struct{ Ballot register.Ballot }

// AcceptedEntry is the log entry for an accepted value.
type AcceptedEntry struct {
	Ballot register.Ballot
	Value  *register.Value
}

// Granted is the log entry for a granted lease.
type Granted struct {
	Role   string
	Record lease.Record
}

// loggedIf returns the entry if it must be written, else nil.
func loggedIf(write bool, entry LogEntry) LogEntry {
	if write {
		return entry
	}
	return nil
}

func (n *Node) handleRegister(now time.Duration, r Received) {
	switch m := r.Msg.(type) {
	case register.Promise:
		n.proposer.OnPromise(now, m)
		return
	case register.Accepted:
		n.proposer.OnAccepted(now, m)
		return
	case lease.Grant:
		if n.value != nil {
			n.leases.OnGrant(now, m, n.value)
		}
		return
	}
	if n.acceptor != nil && n.disk.accepts() {
		n.handleVoterRequest(now, r)
	}
}

// handleVoterRequest handles a request to this node's acceptor or lease grantor. Requests for a disk that the node had earlier get no
// reply.
func (n *Node) handleVoterRequest(now time.Duration, r Received) {
	switch m := r.Msg.(type) {
	case register.Prepare:
		promise, write := n.acceptor.Prepare(m)
		if promise.Disk != "" {
			n.reply(now, Send{To: r.From, Msg: promise}, loggedIf(write, Promised{Ballot: m.Ballot}))
		}
	case register.Accept:
		accepted, write := n.acceptor.Accept(m)
		if accepted.OK {
			n.grantor.ChangeEpoch(now, m.Value.Epoch)
		}
		if accepted.Disk != "" {
			n.reply(now, Send{To: r.From, Msg: accepted}, loggedIf(write, AcceptedEntry{Ballot: m.Ballot, Value: m.Value}))
		}
	case lease.Request:
		grant, write := n.grantor.HandleRequest(now, m)
		if grant.Disk != "" {
			record := lease.Record{Holder: m.Holder, Token: m.Token}
			n.reply(now, Send{To: r.From, Msg: grant}, loggedIf(write, Granted{Role: m.Role, Record: record}))
		}
	case lease.Release:
		n.grantor.HandleRelease(m)
	}
}
