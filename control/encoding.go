package control

import (
	"github.com/mallowbridge/mallowbridge/chunk"
	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/wire"
)

// The types of this file are the encoded forms of messages, gossip items and log entries. Their field names and the registered names are a
// format between nodes and on disk, and must not change.

func init() {
	wire.Register("cu", encodeLoadReports, decodeLoadReports)
	wire.RegisterPlain("cl", ReplicaState{})
	wire.Register("cr", encodeReplicaListItem, decodeReplicaListItem)
	wire.RegisterPlain("ch", ListConfirmation{})
	wire.RegisterPlain("cp", Prefills{})
	wire.RegisterPlain("cf", Failures{})
	wire.RegisterPlain("cq", TenantUsage{})
	wire.RegisterPlain("qa", QuotaAsk{})
	wire.RegisterPlain("qg", QuotaAnswer{})
	wire.RegisterPlain("xp", ChunkPull{})
	wire.Register("xd", encodeChunkData, decodeChunkData)
	wire.Register("ws", encodeWitnessAsk, decodeWitnessAsk)
	wire.Register("wy", encodeWitnessSay, decodeWitnessSay)
	wire.Register("wf", encodeWitnessForget, decodeWitnessForget)
}

type encodedLoadReports struct {
	Domain string
	By     string
	Urgent bool
	Rows   []router.LoadReport
	// Unleased was added after the other fields.
	Unleased bool
}

func encodeLoadReports(l LoadReports) encodedLoadReports {
	return encodedLoadReports{Domain: l.Zone, By: l.By, Urgent: l.Urgent, Rows: l.Rows, Unleased: l.Unleased}
}

func decodeLoadReports(f encodedLoadReports) LoadReports {
	return LoadReports{Zone: f.Domain, By: f.By, Urgent: f.Urgent, Rows: f.Rows, Unleased: f.Unleased}
}

type encodedReplicaListItem struct {
	Rows []router.EncodedInstance
}

func encodeReplicaListItem(r ReplicaListItem) encodedReplicaListItem {
	return encodedReplicaListItem{Rows: wire.ConvertSlice(r.Rows, router.EncodeInstance)}
}

func decodeReplicaListItem(f encodedReplicaListItem) ReplicaListItem {
	return ReplicaListItem{Rows: wire.ConvertSlice(f.Rows, router.EncodedInstance.Decode)}
}

type encodedChunkData struct {
	Pieces [][]byte
	Lacks  []byte
}

func encodeChunkData(d ChunkData) encodedChunkData {
	return encodedChunkData{Pieces: d.Chunks, Lacks: d.Missing}
}

func decodeChunkData(f encodedChunkData) ChunkData {
	return ChunkData{Chunks: f.Pieces, Missing: f.Lacks}
}

type encodedWitnessAsk struct {
	Rid     uint64
	Request string
	By      string
	Peek    bool
}

func encodeWitnessAsk(w WitnessQuery) encodedWitnessAsk {
	return encodedWitnessAsk{Rid: w.QueryID, Request: w.Request, By: w.By, Peek: w.Peek}
}

func decodeWitnessAsk(f encodedWitnessAsk) WitnessQuery {
	return WitnessQuery{QueryID: f.Rid, Request: f.Request, By: f.By, Peek: f.Peek}
}

type encodedWitnessSay struct {
	Rid   uint64
	First bool
	Young bool
}

func encodeWitnessSay(w WitnessReply) encodedWitnessSay {
	return encodedWitnessSay{Rid: w.QueryID, First: w.First, Young: w.RecentlyStarted}
}

func decodeWitnessSay(f encodedWitnessSay) WitnessReply {
	return WitnessReply{QueryID: f.Rid, First: f.First, RecentlyStarted: f.Young}
}

type encodedWitnessForget encodedWitnessAsk

func encodeWitnessForget(w WitnessForget) encodedWitnessForget {
	return encodedWitnessForget(encodeWitnessAsk(WitnessQuery(w)))
}

func decodeWitnessForget(f encodedWitnessForget) WitnessForget {
	return WitnessForget(decodeWitnessAsk(encodedWitnessAsk(f)))
}

// encodedDiskState is the encoded form of a DiskState in the slots.
type encodedDiskState struct {
	Pact   register.EncodedState
	Grants map[string]lease.EncodedRecord
}

func encodeDiskState(s DiskState) encodedDiskState {
	f := encodedDiskState{Pact: register.EncodeState(s.Register)}
	if s.Grants != nil {
		f.Grants = make(map[string]lease.EncodedRecord, len(s.Grants))
	}
	for role, record := range s.Grants {
		f.Grants[role] = lease.EncodeRecord(record)
	}
	return f
}

func (f encodedDiskState) decode() DiskState {
	s := DiskState{Register: f.Pact.Decode()}
	if f.Grants != nil {
		s.Grants = make(map[string]lease.Record, len(f.Grants))
	}
	for role, record := range f.Grants {
		s.Grants[role] = record.Decode()
	}
	return s
}

// encodedEntry is the encoded form of an entry in the log.
type encodedEntry struct {
	Promised *Promised
	Accepted *encodedAcceptedEntry
	Granted  *encodedGranted
	Document *chunk.Delta
}

type encodedAcceptedEntry struct {
	Ballot register.Ballot
	Value  *register.EncodedValue
}

type encodedGranted struct {
	Duty   string
	Record lease.EncodedRecord
}

func encodeEntry(e entry) encodedEntry {
	f := encodedEntry{Promised: e.Promised, Document: e.Document}
	if a := e.Accepted; a != nil {
		f.Accepted = &encodedAcceptedEntry{Ballot: a.Ballot, Value: register.EncodeValue(a.Value)}
	}
	if g := e.Granted; g != nil {
		f.Granted = &encodedGranted{Duty: g.Role, Record: lease.EncodeRecord(g.Record)}
	}
	return f
}

func (f encodedEntry) decode() entry {
	e := entry{Promised: f.Promised, Document: f.Document}
	if a := f.Accepted; a != nil {
		e.Accepted = &AcceptedEntry{Ballot: a.Ballot, Value: a.Value.Decode()}
	}
	if g := f.Granted; g != nil {
		e.Granted = &Granted{Role: g.Duty, Record: g.Record.Decode()}
	}
	return e
}
