package register

import (
	"github.com/mallowbridge/mallowbridge/chunk"
	"github.com/mallowbridge/mallowbridge/wire"
)

// The types in this file are the encoded form of messages and of the state on disk. Their field names are part of the format and must not change.

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
	return encodedPrepare{Rid: m.RequestID, Disk: m.Disk, Ballot: m.Ballot, Look: m.ReadOnly}
}

func decodePrepare(f encodedPrepare) Prepare {
	return Prepare{RequestID: f.Rid, Disk: f.Disk, Ballot: f.Ballot, ReadOnly: f.Look}
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
	return encodedPromise{Rid: m.RequestID, Disk: m.Disk, OK: m.OK, Promised: m.Promised, Accepted: m.Accepted, Value: EncodeValue(m.Value)}
}

func decodePromise(f encodedPromise) Promise {
	return Promise{RequestID: f.Rid, Disk: f.Disk, OK: f.OK, Promised: f.Promised, Accepted: f.Accepted, Value: f.Value.Decode()}
}

type encodedAccept struct {
	Rid    uint64
	Disk   string
	Ballot Ballot
	Value  *EncodedValue
}

func encodeAccept(m Accept) encodedAccept {
	return encodedAccept{Rid: m.RequestID, Disk: m.Disk, Ballot: m.Ballot, Value: EncodeValue(m.Value)}
}

func decodeAccept(f encodedAccept) Accept {
	return Accept{RequestID: f.Rid, Disk: f.Disk, Ballot: f.Ballot, Value: f.Value.Decode()}
}

type encodedAccepted struct {
	Rid      uint64
	Disk     string
	OK       bool
	Promised Ballot
}

func encodeAccepted(m Accepted) encodedAccepted {
	return encodedAccepted{Rid: m.RequestID, Disk: m.Disk, OK: m.OK, Promised: m.Promised}
}

func decodeAccepted(f encodedAccepted) Accepted {
	return Accepted{RequestID: f.Rid, Disk: f.Disk, OK: f.OK, Promised: f.Promised}
}

type encodedLegacyOrder struct {
	ID   string
	Mark uint64
}

func encodeLegacyOrder(o LegacyOrder) encodedLegacyOrder {
	return encodedLegacyOrder{ID: o.ID, Mark: o.Version}
}

func decodeLegacyOrder(f encodedLegacyOrder) LegacyOrder {
	return LegacyOrder{ID: f.ID, Version: f.Mark}
}

// EncodedValue is the encoded form of a Value in messages and on disk.
type EncodedValue struct {
	Fleet   string
	Mark    uint64
	Seat    uint64
	Body    []byte
	Emptied []string
	Voters  []Voter
	Next    []Voter
	Ops     []encodedLegacyOrder
	Edits   EditLog
	Recent  OrderLog
	Taken   uint64
	Parts   *chunk.Manifest
	Orders  *chunk.Manifest
}

// EncodeValue returns the encoded form of a value, which shares the value's slices. It returns nil for nil.
func EncodeValue(v *Value) *EncodedValue {
	if v == nil {
		return nil
	}
	return &EncodedValue{
		Fleet: v.Fleet, Mark: v.Version, Seat: v.Epoch, Body: v.Document, Emptied: v.EvacuatedZones, Voters: v.Voters, Next: v.NextVoters,
		Ops: wire.ConvertSlice(v.LegacyOrders, encodeLegacyOrder), Edits: v.EditLog, Recent: v.OrderLog, Taken: v.AppliedOrders, Parts: v.DocumentManifest, Orders: v.LogManifest,
	}
}

// Decode returns the value, or nil for nil.
func (f *EncodedValue) Decode() *Value {
	if f == nil {
		return nil
	}
	return &Value{
		Fleet: f.Fleet, Version: f.Mark, Epoch: f.Seat, Document: f.Body, EvacuatedZones: f.Emptied, Voters: f.Voters, NextVoters: f.Next,
		LegacyOrders: wire.ConvertSlice(f.Ops, decodeLegacyOrder), EditLog: f.Edits, OrderLog: f.Recent, AppliedOrders: f.Taken, DocumentManifest: f.Parts, LogManifest: f.Orders,
	}
}

// EncodedState is the encoded form of a State on disk.
type EncodedState struct {
	Disk     string
	Promised Ballot
	Accepted Ballot
	Value    *EncodedValue
}

// EncodeState returns the encoded form of an acceptor's state.
func EncodeState(s State) EncodedState {
	return EncodedState{Disk: s.Disk, Promised: s.Promised, Accepted: s.Accepted, Value: EncodeValue(s.Value)}
}

// Decode returns the acceptor's state.
func (f EncodedState) Decode() State {
	return State{Disk: f.Disk, Promised: f.Promised, Accepted: f.Accepted, Value: f.Value.Decode()}
}
