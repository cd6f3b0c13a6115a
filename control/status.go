package control

import (
	"encoding/json"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

// MemberStatus is a member with its state in words.
type MemberStatus struct {
	membership.Member
	State string `json:"state"`
}

// Status is what a node tells operators of itself. Serving and NotServing say whether its router serves and if not why; Version is the newest revision
// that it knows, AppliedVersion the one its router goes by. EvacuatedZones are the evacuated zones, Leases the leases held here, Deaths and Refutes count
// members that were declared dead and took that back, GossipItems the gossip items held.
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
	// Config is the operators' document, where it holds no secrets.
	Config json.RawMessage `json:"config,omitempty"`
}

// Status is the node's state at the time now.
func (n *Node) Status(now time.Duration) Status {
	s := Status{
		Name: n.config.Name, Zone: n.config.Zone, Serving: n.serving.reason == "" && n.serving.reportedAt > 0, NotServing: n.serving.reason, AppliedVersion: n.applied, Degraded: n.Members.Self.Degraded,
		Deaths: n.Members.Deaths, Refutes: n.Members.Refutations, GossipItems: n.Gossip.Len(), EvacuatedZones: []string{}, Leases: []string{},
	}
	for _, m := range n.Members.Table.All() {
		s.Members = append(s.Members, MemberStatus{Member: m, State: m.State.String()})
	}
	for _, d := range n.leases.Roles() {
		if _, ok := n.leases.Holds(now, d); ok {
			s.Leases = append(s.Leases, d)
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

// HeldRoles names the roles whose lease the node holds at the time now.
func (n *Node) HeldRoles(now time.Duration) []string {
	var roles []string
	for _, d := range n.leases.Roles() {
		if _, ok := n.leases.Holds(now, d); ok {
			roles = append(roles, d)
		}
	}
	return roles
}

// Snapshot is the configuration that this node's router goes by, or nil.
func (n *Node) Snapshot() *config.Snapshot {
	if n.applied == 0 {
		return nil
	}
	return n.snapshot
}

// Value is the newest value of the register that the node knows, or nil.
func (n *Node) Value() *register.Value { return n.value }
