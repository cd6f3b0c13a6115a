package router

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/transport"
	"github.com/mallowbridge/mallowbridge/wire"
)

// The types in this file are the encoded forms of the events that a daemon sends to its followers and that nodes send to each other. Their
// field names are part of the wire format and must not change.

func init() {
	wire.RegisterPlain("hello", transport.Hello{})
	wire.Register("ew", encodeWelcome, decodeWelcome)
	wire.Register("en", encodeNumbered, decodeNumbered)
	wire.Register("eo", encodeSnapshotUpdate, decodeSnapshotUpdate)
	wire.Register("er", encodeRouters, decodeRouters)
	wire.RegisterPlain("eu", LoadReport{})
	wire.RegisterPlain("el", Listing{})
	wire.RegisterPlain("ef", ControlStatus{})
	wire.RegisterPlain("ed", ReplicaSuspect{})
	wire.Register("eR", encodeReplicaList, decodeReplicaList)
	wire.RegisterPlain("eF", Failures{})
}

type encodedWelcome struct{ Self, Domain, Boot string }

func encodeWelcome(w Welcome) encodedWelcome {
	return encodedWelcome{Self: w.Self, Domain: w.Zone, Boot: w.BootID}
}

func decodeWelcome(f encodedWelcome) Welcome {
	return Welcome{Self: f.Self, Zone: f.Domain, BootID: f.Boot}
}

type encodedNumbered struct {
	N     uint64
	Event any
}

func encodeNumbered(n NumberedEvent) encodedNumbered {
	return encodedNumbered{N: n.Seq, Event: wire.Encode(n.Event)}
}

func decodeNumbered(f encodedNumbered) NumberedEvent {
	event, _ := wire.Decode(f.Event).(Event)
	return NumberedEvent{Seq: f.N, Event: event}
}

type encodedSnapshotUpdate struct{ Picture *config.EncodedSnapshot }

func encodeSnapshotUpdate(s SnapshotUpdate) encodedSnapshotUpdate {
	return encodedSnapshotUpdate{Picture: config.EncodeSnapshot(s.Snapshot)}
}

func decodeSnapshotUpdate(f encodedSnapshotUpdate) SnapshotUpdate {
	return SnapshotUpdate{Snapshot: f.Picture.Decode()}
}

type encodedRouters struct {
	Names   []string
	Domains []string
}

func encodeRouters(r Routers) encodedRouters {
	return encodedRouters{Names: r.Names, Domains: r.Zones}
}

func decodeRouters(f encodedRouters) Routers { return Routers{Names: f.Names, Zones: f.Domains} }

// EncodedInstance is an Instance in the wire format.
type EncodedInstance struct {
	ID, Offer, Addr, Domain string
	Model                   string
	Weights                 string
	Room                    int
	Leaving                 bool
	Cold                    time.Duration
}

// EncodeInstance returns the encoded form of an instance.
func EncodeInstance(i Instance) EncodedInstance {
	return EncodedInstance{
		ID: i.ID, Offer: i.Service, Addr: i.Addr, Domain: i.Zone, Model: i.Model, Weights: i.WeightsRevision, Room: i.Capacity, Leaving: i.Draining, Cold: i.WarmUpRemaining,
	}
}

// Decode returns the instance that f encodes.
func (f EncodedInstance) Decode() Instance {
	return Instance{
		ID: f.ID, Service: f.Offer, Addr: f.Addr, Zone: f.Domain, Model: f.Model, WeightsRevision: f.Weights, Capacity: f.Room, Draining: f.Leaving, WarmUpRemaining: f.Cold,
	}
}

type encodedReplicaList struct {
	Rows []EncodedInstance
	Age  time.Duration
}

func encodeReplicaList(l ReplicaList) encodedReplicaList {
	return encodedReplicaList{Rows: wire.ConvertSlice(l.Instances, EncodeInstance), Age: l.Age}
}

func decodeReplicaList(f encodedReplicaList) ReplicaList {
	return ReplicaList{Instances: wire.ConvertSlice(f.Rows, EncodedInstance.Decode), Age: f.Age}
}
