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

// Status is what a node tells operators of itself. Serving and Why say whether its router serves and if not why; Mark is the newest revision
// that it knows, Obeyed the one its router goes by. Emptied are the evacuated zones, Claims the leases held here, Deaths and Refutes count
// members that were declared dead and took that back, News the gossip items held.
type Status struct {
	Name    string           `json:"name"`
	Domain  string           `json:"domain"`
	Serving bool             `json:"serving"`
	Why     string           `json:"why,omitempty"`
	Mark    uint64           `json:"mark"`
	Obeyed  uint64           `json:"obeyed"`
	Emptied []string         `json:"emptied"`
	Voters  []register.Voter `json:"voters"`
	Next    []register.Voter `json:"next,omitempty"`
	Voter   bool             `json:"voter"`
	Unfit   bool             `json:"unfit"`
	Claims  []string         `json:"claims"`
	Members []MemberStatus   `json:"members"`
	Deaths  uint64           `json:"deaths"`
	Refutes uint64           `json:"refutes"`
	News    int              `json:"news"`
	Config  json.RawMessage  `json:"config,omitempty"`
}

// Status is the node's state at the time now.
func (n *Node) Status(now time.Duration) Status {
	s := Status{
		Name: n.config.Name, Domain: n.config.Domain, Serving: n.notServing == "" && n.servingReportedAt > 0, Why: n.notServing, Obeyed: n.applied, Unfit: n.Members.Self.Unfit,
		Deaths: n.Members.Deaths, Refutes: n.Members.Refutes, News: n.Gossip.Len(), Emptied: []string{}, Claims: []string{},
	}
	for _, m := range n.Members.Table.All() {
		s.Members = append(s.Members, MemberStatus{Member: m, State: m.State.String()})
	}
	for _, d := range n.leases.Held() {
		if _, ok := n.leases.Holds(now, d); ok {
			s.Claims = append(s.Claims, d)
		}
	}
	if n.value != nil {
		s.Mark, s.Voters, s.Next, s.Config = n.value.Mark, n.value.Voters, n.value.Next, n.value.Body
		s.Emptied = append(s.Emptied, n.value.Emptied...)
		s.Voter = n.acceptor != nil && n.isVoter()
	}
	return s
}

// Holding names the duties whose lease the node holds at the time now.
func (n *Node) Holding(now time.Duration) []string {
	var duties []string
	for _, d := range n.leases.Held() {
		if _, ok := n.leases.Holds(now, d); ok {
			duties = append(duties, d)
		}
	}
	return duties
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
