package register

import (
	"github.com/mallowbridge/mallowbridge/chunk"
	"github.com/mallowbridge/mallowbridge/wire"
)

// The types of this file are what messages and the disk hold. Their field names are a format and stay as they are.

func init() {
	wire.Register("pp", encodePrepare, decodePrepare)
	wire.Register("pq", encodePromise, decodePromise)
	wire.Register("pa", encodeAccept, decodeAccept)
	wire.Register("pb", encodeAccepted, decodeAccepted)
	wire.Register("pv", EncodeValue, (*EncodedValue).Decode)
}

type encodedPrepare struct {
	Rid    uint64
	Disk   string
	Ballot Ballot
	Look   bool
}

func encodePrepare(m Prepare) encodedPrepare {
	return encodedPrepare{Rid: m.Rid, Disk: m.Disk, Ballot: m.Ballot, Look: m.Look}
}

func decodePrepare(f encodedPrepare) Prepare {
	return Prepare{Rid: f.Rid, Disk: f.Disk, Ballot: f.Ballot, Look: f.Look}
}

type encodedPromise struct {
	Rid      uint64
	Disk     string
	OK       bool
	Promised Ballot
	Accepted Ballot
	Value    *EncodedValue
}

func encodePromise(m Promise) encodedPromise {
	return encodedPromise{Rid: m.Rid, Disk: m.Disk, OK: m.OK, Promised: m.Promised, Accepted: m.Accepted, Value: EncodeValue(m.Value)}
}

func decodePromise(f encodedPromise) Promise {
	return Promise{Rid: f.Rid, Disk: f.Disk, OK: f.OK, Promised: f.Promised, Accepted: f.Accepted, Value: f.Value.Decode()}
}

type encodedAccept struct {
	Rid    uint64
	Disk   string
	Ballot Ballot
	Value  *EncodedValue
}

func encodeAccept(m Accept) encodedAccept {
	return encodedAccept{Rid: m.Rid, Disk: m.Disk, Ballot: m.Ballot, Value: EncodeValue(m.Value)}
}

func decodeAccept(f encodedAccept) Accept {
	return Accept{Rid: f.Rid, Disk: f.Disk, Ballot: f.Ballot, Value: f.Value.Decode()}
}

type encodedAccepted struct {
	Rid      uint64
	Disk     string
	OK       bool
	Promised Ballot
}

func encodeAccepted(m Accepted) encodedAccepted {
	return encodedAccepted{Rid: m.Rid, Disk: m.Disk, OK: m.OK, Promised: m.Promised}
}

func decodeAccepted(f encodedAccepted) Accepted {
	return Accepted{Rid: f.Rid, Disk: f.Disk, OK: f.OK, Promised: f.Promised}
}

type encodedOp struct {
	ID   string
	Mark uint64
}

func encodeOp(o Op) encodedOp { return encodedOp{ID: o.ID, Mark: o.Mark} }

func decodeOp(f encodedOp) Op { return Op{ID: f.ID, Mark: f.Mark} }

// EncodedValue is a Value as messages and the disk hold it.
type EncodedValue struct {
	Fleet   string
	Mark    uint64
	Seat    uint64
	Body    []byte
	Emptied []string
	Voters  []Voter
	Next    []Voter
	Ops     []encodedOp
	Edits   Changes
	Recent  Recent
	Taken   uint64
	Parts   *chunk.Manifest
	Orders  *chunk.Manifest
}

// EncodeValue gives the encoded form of a value, which shares its lists; nil for nil.
func EncodeValue(v *Value) *EncodedValue {
	if v == nil {
		return nil
	}
	return &EncodedValue{
		Fleet: v.Fleet, Mark: v.Mark, Seat: v.Seat, Body: v.Body, Emptied: v.Emptied, Voters: v.Voters, Next: v.Next,
		Ops: wire.Each(v.Ops, encodeOp), Edits: v.Edits, Recent: v.Recent, Taken: v.Taken, Parts: v.Parts, Orders: v.Orders,
	}
}

// Decode gives the value of an encoded form; nil for nil.
func (f *EncodedValue) Decode() *Value {
	if f == nil {
		return nil
	}
	return &Value{
		Fleet: f.Fleet, Mark: f.Mark, Seat: f.Seat, Body: f.Body, Emptied: f.Emptied, Voters: f.Voters, Next: f.Next,
		Ops: wire.Each(f.Ops, decodeOp), Edits: f.Edits, Recent: f.Recent, Taken: f.Taken, Parts: f.Parts, Orders: f.Orders,
	}
}

// EncodedState is a State as the disk holds it.
type EncodedState struct {
	Disk     string
	Promised Ballot
	Accepted Ballot
	Value    *EncodedValue
}

// EncodeState gives the encoded form of what an acceptor keeps.
func EncodeState(s State) EncodedState {
	return EncodedState{Disk: s.Disk, Promised: s.Promised, Accepted: s.Accepted, Value: EncodeValue(s.Value)}
}

// Decode gives what an acceptor keeps of its encoded form.
func (f EncodedState) Decode() State {
	return State{Disk: f.Disk, Promised: f.Promised, Accepted: f.Accepted, Value: f.Value.Decode()}
}
