package control

import (
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/router"
)

// Send is a message to the node at the address To. Msg is a message of this package or a register.Message, lease.Message,
// membership.Message or gossip.Message: an interface with an unexported method can't unite those of several packages.
type Send struct {
	To  string
	Msg any
}

// LogEntry is what the journal can hold: Promised, AcceptedEntry, Granted or Opened.
type LogEntry interface{ logEntry() }

func (Promised) logEntry()      {}
func (AcceptedEntry) logEntry() {}
func (Granted) logEntry()       {}
func (NoOp) logEntry()          {}

// LogWrite is an entry to append to the journal. Tickets rise; Persisted names the last one that is durable.
type LogWrite struct {
	Seq   uint64
	Entry LogEntry
}

// Answer ends the Command with this ID. Value and Version are the register's value and the revision that the operation made or found; Witnesses
// answers a Witness. Err is nil on success.
type Answer struct {
	ID             uint64
	Value          *register.Value
	Version        uint64
	WitnessVerdict WitnessVerdict
	Err            error
}

// Probe is a request for a replica's load. Local: it checks this node's own observation and is not shared with other nodes.
type Probe struct {
	Replica, Addr string
	Local         bool
}

// Output is what a Step wants done. The fields may be acted on in any order and at once: a reply that tells of an entry in Writes is not
// among the Sends; it comes out of the Step whose input is the Persisted for that entry.
type Output struct {
	// Sends are messages to other nodes. They may be lost, and overtake each other.
	Sends []Send
	// Writes are entries to append to the journal, in this order.
	Writes []LogWrite
	// Answers end commands.
	Answers []Answer
	// Events are for this node's router, and for the programs that follow the node, in this order.
	Events []router.Event
	// Probes are replicas to ask for their load. Each is answered by a Probed, also where it failed.
	Probes []Probe
	// Reconnects are the replicas whose idle connection is to be opened again now.
	Reconnects []string
	// ReadReplicaList says that the platform's list of replicas is to be read; a ListRead answers.
	ReadReplicaList bool
	// Changes are lines for the operators' log.
	Changes []Change
}

// ChangeKind says what happened to a node; it stands in the operators' log under the key what.
type ChangeKind string

// The kinds of changes. That of a member is "member " and its state.
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
	// ChangeVotersBegun says that this node begins to replace voters; the simulator waits for it.
	ChangeVotersBegun ChangeKind = "replacing voters"
)

// Change is a line for the operators' log.
type Change struct {
	What   ChangeKind
	Detail string
}
