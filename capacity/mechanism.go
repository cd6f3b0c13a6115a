// Package capacity measures what the machines of a fleet cost as the fleet grows, and fits lines through it.
package capacity

import (
	"reflect"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/scheduler"
	"github.com/mallowbridge/mallowbridge/sim/light"
)

// Mechanism is what a cost is for.
type Mechanism string

// The mechanisms; they are written into the tables of points as they stand.
const (
	FailureDetector Mechanism = "failure detector"
	MemberGossip    Mechanism = "membership gossip"
	LoadGossip      Mechanism = "load gossip"
	ReplicaListings Mechanism = "replica listings"
	Config          Mechanism = "configuration"
	Register        Mechanism = "register"
	Leases          Mechanism = "leases"
	AntiEntropy     Mechanism = "anti-entropy"
	Witnesses       Mechanism = "witnesses"
	Probes          Mechanism = "replica probes"
	Ticks           Mechanism = "control tick"
	CapacityShares  Mechanism = "capacity shares"
	RouterTick      Mechanism = "router tick"
	Requests        Mechanism = "requests"
	Prefills        Mechanism = "prefill broadcast"
	Index           Mechanism = "prefix index"
	Connections     Mechanism = "connections"
	Other           Mechanism = "other"
)

// IsControl tells whether a mechanism runs without requests and so counts against the budget for control.
func (m Mechanism) IsControl() bool {
	return m != Requests && m != Index && m != Witnesses && m != Prefills
}

// ofMessage tells which mechanism a message between nodes belongs to.
func ofMessage(msg any) Mechanism {
	switch v := msg.(type) {
	case membership.Ping, membership.Ack, membership.PingFor:
		return FailureDetector
	case gossip.Checksum, gossip.Digest, gossip.Pull:
		return AntiEntropy
	case gossip.Announcement, control.ChunkPull, control.ChunkData:
		return Config
	case gossip.Update:
		return ofUpdate(v)
	case register.Prepare, register.Promise, register.Accept, register.Accepted:
		return Register
	case lease.Request, lease.Grant, lease.Release:
		return Leases
	case control.WitnessQuery, control.WitnessReply, control.WitnessForget:
		return Witnesses
	case control.Prefills:
		return Prefills
	}
	return Other
}

// ofUpdate takes an update for what weighs most in it; an empty answer belongs to the digest that asked for it.
func ofUpdate(n gossip.Update) Mechanism {
	most := 0
	m := AntiEntropy
	for _, kind := range []Mechanism{MemberGossip, LoadGossip, Config, ReplicaListings, Other} {
		weight := 0
		for _, it := range n.Items {
			if ofItem(it) == kind {
				weight += itemWeight(it)
			}
		}
		if weight > most {
			m, most = kind, weight
		}
	}
	return m
}

func ofItem(it gossip.Item) Mechanism {
	switch it.Data.(type) {
	case membership.Member:
		return MemberGossip
	case control.LoadReports:
		return LoadGossip
	case *register.Value:
		return Config
	case control.ReplicaState, control.ReplicaListItem, control.ListConfirmation:
		return ReplicaListings
	}
	return Other
}

// itemWeight reckons the bytes of an item.
func itemWeight(it gossip.Item) int {
	switch d := it.Data.(type) {
	case control.LoadReports:
		return 40 * (1 + len(d.Rows))
	case *register.Value:
		return 200 + d.DocumentSize()
	case control.ReplicaListItem:
		return d.Size()
	}
	return 80
}

// ofInput tells which mechanism an input of a state machine belongs to.
func ofInput(in any) Mechanism {
	switch v := in.(type) {
	case control.Received:
		return ofMessage(v.Msg)
	case control.Tick:
		return Ticks
	case control.Persisted:
		return Register
	case control.Probed, control.ConnectionChange:
		return Probes
	case control.Prefills, router.Prefill:
		return Prefills
	case control.ListRead, router.Listing, router.ReplicaList:
		return ReplicaListings
	case control.Command:
		return ofCommand(v.Op)
	case router.Tick, router.ControlStatus:
		return RouterTick
	case router.LoadReport, router.ReplicaSuspect:
		return LoadGossip
	case router.Routers:
		return CapacityShares
	case router.SnapshotUpdate:
		return Config
	case router.Arrival, router.ReadyToSend, router.ResponseHead, router.ResponseStarted, router.AttemptEnded, router.ClientDisconnected, router.RanElsewhere,
		router.ReplicaLoad, router.WrongInstance:
		return Requests
	}
	return Other
}

func ofCommand(op control.Op) Mechanism {
	switch op.(type) {
	case control.Witness:
		return Witnesses
	case control.SetReplicaStates:
		return ReplicaListings
	case control.Put, control.Edit, control.Get, control.Bootstrap, control.ReplaceVoters, control.Evacuate:
		return Register
	}
	return Other
}

// stateFields says which mechanism a field of the state machines is state of; fields that are not named count for Other. Types are
// named by the compiler and TestStateFieldsExist checks the fields, so that a rename cannot move state to Other unseen.
var stateFields = map[reflect.Type]map[string]Mechanism{
	reflect.TypeFor[control.Node](): {
		"Members": FailureDetector, "Gossip": AntiEntropy, "proposer": Register, "acceptor": Register, "value": Config, "snapshot": Config, "documents": Config,
		"replicasByName": Config, "grantor": Leases, "leases": Leases, "health": LoadGossip, "platformStates": ReplicaListings,
		"replicaList": ReplicaListings, "witness": Witnesses, "serving": CapacityShares,
	},
	reflect.TypeFor[router.Router](): {
		"snapshot": Config, "services": Config, "classes": Config, "replicaIDs": Config, "replicas": Config,
		"requestIDs": Requests, "requests": Requests, "alreadyRan": Requests,
	},
	reflect.TypeFor[scheduler.Scheduler](): {
		"Index": Index, "Requests": Requests, "Services": Config, "Replicas": LoadGossip, "routers": CapacityShares, "routerZones": CapacityShares,
		"divisions": CapacityShares, "queued": Requests,
	},
}

// StateByMechanism is a node's bytes of state by mechanism. What several mechanisms share counts for the first.
func StateByMechanism(n *light.Node) map[Mechanism]uint64 {
	bytes := map[Mechanism]uint64{}
	w := newSizer()
	for _, machine := range []reflect.Value{reflect.ValueOf(n.Control), reflect.ValueOf(n.Router)} {
		w.addState(bytes, machine)
	}
	return bytes
}

// addState adds the state that a pointer to a state machine holds; a machine inside it is divided by its own fields.
func (w *sizer) addState(bytes map[Mechanism]uint64, machine reflect.Value) {
	if machine.IsNil() {
		return
	}
	v := machine.Elem()
	fields := stateFields[v.Type()]
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Type.Kind() == reflect.Pointer && stateFields[f.Type.Elem()] != nil {
			w.addState(bytes, v.Field(i))
			continue
		}
		m, known := fields[f.Name]
		if !known {
			m = Other
		}
		bytes[m] += uint64(f.Type.Size()) + w.reachable(v.Field(i))
	}
}
