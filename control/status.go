package control

import (
	"encoding/json"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

// MemberStatus is a member with its state as a word.
type MemberStatus struct {
	membership.Member
	State string `json:"state"`
}

// Status is a node's state as shown to operators. Serving and NotServing are whether its router serves and, if not, the reason. Version is
// the newest version that the node knows, AppliedVersion the one that its router applies. Next are the next voters during a change of
// voters. Leases are the roles whose lease this node has. Deaths counts members that died or left, Refutes the reports about this node that
// it refuted because they contradicted its own state. GossipItems is the number of gossip items in the store.
type Status struct {
	Name           string           `json:"name"`
	Zone           string           `json:"domain"`
	Serving        bool             `json:"serving"`
	NotServing     string           `json:"why,omitempty"`
	Version        uint64           `json:"mark"`
	AppliedVersion uint64           `json:"obeyed"`
	EvacuatedZones []string         `json:"emptied"`
	Voters         []register.Voter `json:"voters"`
	Next           []register.Voter `json:"next,omitempty"`
	Voter          bool             `json:"voter"`
	Degraded       bool             `json:"unfit"`
	Leases         []string         `json:"claims"`
	Members        []MemberStatus   `json:"members"`
	Deaths         uint64           `json:"deaths"`
	Refutes        uint64           `json:"refutes"`
	GossipItems    int              `json:"news"`
	// Config is the operators' document, unless it contains secrets.
	Config json.RawMessage `json:"config,omitempty"`
}

// Status returns the node's state at the time now.
func (n *Node) Status(now time.Duration) Status {
	s := Status{
		Name: n.config.Name, Zone: n.config.Zone, Serving: n.serving.reason == "" && n.serving.reportedAt > 0, NotServing: n.serving.reason, AppliedVersion: n.applied, Degraded: n.Members.Self.Degraded,
		Deaths: n.Members.Deaths, Refutes: n.Members.Refutations, GossipItems: n.Gossip.Len(), EvacuatedZones: []string{}, Leases: []string{},
	}
	for _, m := range n.Members.Table.All() {
		s.Members = append(s.Members, MemberStatus{Member: m, State: m.State.String()})
	}
	for _, role := range n.leases.Roles() {
		if _, ok := n.leases.Holds(now, role); ok {
			s.Leases = append(s.Leases, role)
		}
	}
	if n.value != nil {
		s.Version, s.Voters, s.Next = n.value.Version, n.value.Voters, n.value.NextVoters
		if !n.config.HidesDocument {
			s.Config = n.value.Document
		}
		s.EvacuatedZones = append(s.EvacuatedZones, n.value.EvacuatedZones...)
		s.Voter = n.acceptor != nil && n.isVoter()
	}
	return s
}

// HeldRoles returns the roles whose lease the node has at the time now.
func (n *Node) HeldRoles(now time.Duration) []string {
	var roles []string
	for _, role := range n.leases.Roles() {
		if _, ok := n.leases.Holds(now, role); ok {
			roles = append(roles, role)
		}
	}
	return roles
}

// Snapshot returns the configuration that this node's router applies, or nil.
func (n *Node) Snapshot() *config.Snapshot {
	if n.applied == 0 {
		return nil
	}
	return n.snapshot
}

// Value returns the newest value of the register that the node knows, or nil.
func (n *Node) Value() *register.Value { return n.value }
