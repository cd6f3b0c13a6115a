// Package capacity measures how the resource consumption of a node's state machines grows with the fleet, and fits lines through the results.
//
// A Plan describes one simulated fleet; Plan.Run runs it in one process and returns a Result with the Costs of each node by Mechanism. A Sweep
// runs plans that differ in one dimension and yields Points, through which FitAll fits lines. Save writes points and fits as CSV and plots as
// SVG.
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

// Mechanism is a part of the system that costs are attributed to.
type Mechanism string

// The mechanisms. Their values are written to the CSV tables.
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

// IsControl reports whether a mechanism runs even without requests, so that it counts against the budget of the control plane.
func (m Mechanism) IsControl() bool {
	return m != Requests && m != Index && m != Witnesses && m != Prefills
}

// mechanismOfMessage returns the mechanism that a message between nodes belongs to.
func mechanismOfMessage(msg any) Mechanism {
	switch v := msg.(type) {
	case membership.Ping, membership.Ack, membership.PingFor:
		return FailureDetector
	case gossip.Checksum, gossip.Digest, gossip.Pull:
		return AntiEntropy
	case gossip.Announcement, control.ChunkPull, control.ChunkData:
		return Config
	case gossip.Update:
		return mechanismOfUpdate(v)
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

// mechanismOfUpdate attributes an update to the mechanism whose items take the most bytes in it. An empty update is the response to a digest and
// belongs to anti-entropy.
func mechanismOfUpdate(u gossip.Update) Mechanism {
	most := 0
	m := AntiEntropy
	for _, kind := range []Mechanism{MemberGossip, LoadGossip, Config, ReplicaListings, Other} {
		weight := 0
		for _, it := range u.Items {
			if mechanismOfItem(it) == kind {
				weight += estimatedItemBytes(it)
			}
		}
		if weight > most {
			m, most = kind, weight
		}
	}
	return m
}

func mechanismOfItem(it gossip.Item) Mechanism {
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

// estimatedItemBytes estimates the encoded size of an item in bytes.
func estimatedItemBytes(it gossip.Item) int {
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

// mechanismOfInput returns the mechanism that an input of a state machine belongs to.
func mechanismOfInput(in any) Mechanism {
	switch v := in.(type) {
	case control.Received:
		return mechanismOfMessage(v.Msg)
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
		return mechanismOfCommand(v.Op)
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

func mechanismOfCommand(op control.Op) Mechanism {
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

// stateFields maps the fields of each state machine to the mechanism whose state they contain; other fields count as Other. The compiler checks
// the types and TestStateFieldsExist the field names, so a renamed field can't silently move state to Other.
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

// StateByMechanism returns the size of a node's state in bytes by mechanism. Memory that several mechanisms share counts for the first one.
func StateByMechanism(n *light.Node) map[Mechanism]uint64 {
	bytes := map[Mechanism]uint64{}
	s := newSizer()
	for _, machine := range []reflect.Value{reflect.ValueOf(n.Control), reflect.ValueOf(n.Router)} {
		s.addState(bytes, machine)
	}
	return bytes
}

// addState adds the size of a state machine, given as a pointer, to bytes. A state machine nested in it is attributed by its own fields.
func (s *sizer) addState(bytes map[Mechanism]uint64, machine reflect.Value) {
	if machine.IsNil() {
		return
	}
	v := machine.Elem()
	fields := stateFields[v.Type()]
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Type.Kind() == reflect.Pointer && stateFields[f.Type.Elem()] != nil {
			s.addState(bytes, v.Field(i))
			continue
		}
		m, known := fields[f.Name]
		if !known {
			m = Other
		}
		bytes[m] += uint64(f.Type.Size()) + s.reachableBytes(v.Field(i))
	}
}
