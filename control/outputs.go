package control

import (
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/router"
)

// Send is a message to the node with the address To. Msg is a message of this package or a register.Message, lease.Message,
// membership.Message or gossip.Message. It has type any because no interface with an unexported method can include those of several
// packages.
type Send struct {
	To  string
	Msg any
}

// LogEntry is an entry of the journal: Promised, AcceptedEntry, Granted or NoOp.
type LogEntry interface{ logEntry() }

func (Promised) logEntry()      {}
func (AcceptedEntry) logEntry() {}
func (Granted) logEntry()       {}
func (NoOp) logEntry()          {}

// LogWrite is an entry to append to the journal. Sequence numbers rise; Persisted reports the last one that is durable.
type LogWrite struct {
	Seq   uint64
	Entry LogEntry
}

// Answer is the result of the Command with this ID. Value and Version are the register's value and the version that the operation created
// or found; WitnessVerdict is the result of a Witness operation. Err is nil on success.
type Answer struct {
	ID             uint64
	Value          *register.Value
	Version        uint64
	WitnessVerdict WitnessVerdict
	Err            error
}

// Probe is a request for a replica's load. If Local is set, it checks this node's own connection to the replica and the result is not
// shared with other nodes.
type Probe struct {
	Replica, Addr string
	Local         bool
}

// Output is what a Step requests. The caller may act on the fields in any order and at once: a reply that depends on an entry in Writes is
// not among the Sends, but is returned by the Step whose input is the Persisted for that entry.
type Output struct {
	// Sends are messages to other nodes. They may be lost or reordered.
	Sends []Send
	// Writes are entries to append to the journal, in this order.
	Writes []LogWrite
	// Answers are the results of commands.
	Answers []Answer
	// Events are for this node's router and for the programs that follow the node, in this order.
	Events []router.Event
	// Probes are requests for the load of replicas. Each is answered by a Probed input, even if it failed.
	Probes []Probe
	// Reconnects are the replicas whose idle connection must be reopened now.
	Reconnects []string
	// ReadReplicaList requests a read of the platform's replica list; a ListRead input reports the result.
	ReadReplicaList bool
	// Changes are lines for the operators' log.
	Changes []Change
}

// ChangeKind is the kind of a Change; the operators' log has it under the key "what".
type ChangeKind string

// The kinds of changes. The kind of a member's change is "member " followed by its state.
const (
	ChangeBootstrap             ChangeKind = "bootstrapping register"
	ChangeConfigurationApplied  ChangeKind = "configuration applied"
	ChangeConfigurationRejected ChangeKind = "configuration rejected"
	ChangeDiskFailed            ChangeKind = "disk failed"
	ChangeDiskHealth            ChangeKind = "disk health"
	ChangeDiskRecovered         ChangeKind = "disk recovered"
	ChangeDocumentRejected      ChangeKind = "document rejected"
	ChangeJoined                ChangeKind = "joined"
	ChangeOrderLogRejected      ChangeKind = "order log rejected"
	ChangeRejoining             ChangeKind = "rejoining"
	ChangeServing               ChangeKind = "serving"
	ChangeVoters                ChangeKind = "voters"
	// ChangeVotersBegun is logged when this node starts to replace voters; the simulator waits for it.
	ChangeVotersBegun ChangeKind = "replacing voters"
	// ChangeVotersFailed is logged when a change of the voters that this node started did not succeed.
	ChangeVotersFailed ChangeKind = "voter change failed"
)

// Change is a line for the operators' log.
type Change struct {
	What   ChangeKind
	Detail string
}
