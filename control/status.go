package control

import (
	"encoding/json"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

type MemberStatus struct {
	membership.Member
	State string `json:"state"`
}

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

func (n *Node) Status(now time.Duration) (s Status) {
	s = Status{
		Name: n.config.Name, Domain: n.config.Domain, Serving: n.notServing == "" && n.feedAt > 0, Why: n.notServing, Obeyed: n.applied, Unfit: n.Members.Self.Unfit,
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

func (n *Node) Holding(now time.Duration) (duties []string) {
	for _, d := range n.leases.Held() {
		if _, ok := n.leases.Holds(now, d); ok {
			duties = append(duties, d)
		}
	}
	return duties
}

// Picture is what this node obeys, or nil.
func (n *Node) Picture() (p *config.Snapshot) {
	if n.applied == 0 {
		return nil
	}
	return n.snapshot
}

func (n *Node) Value() (v *register.Value) { return n.value }
