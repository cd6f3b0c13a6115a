package membership

import (
	"sort"

	"github.com/mallowbridge/mallowbridge/scheduler"
)

// State is the state of a member. Its values are part of the wire format; at the same incarnation, a higher value takes precedence.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// Member describes a node of the fleet and is spread by gossip. Its JSON names are part of the published status; the wire format is in
// encoding.go.
type Member struct {
	Name string `json:"name"`
	// Addr is the address for other nodes, HTTP that for clients, both as host:port.
	Addr string `json:"addr"`
	HTTP string `json:"http"`
	Zone string `json:"domain"`
	// Disk is the random ID of the node's disk, empty if it has none.
	Disk        string `json:"disk,omitempty"`
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"-"`
	// Build is the version of the node's message formats, EmbeddedRouters the number of embedded routers that follow this node.
	Build           uint32 `json:"build"`
	EmbeddedRouters int    `json:"libs"`
	// Degraded reports that the node's disk is too slow to vote.
	Degraded bool `json:"unfit,omitempty"`
	// Retiring reports that the process is shutting down. It still votes, but hands its place in the voter set to another node if it can.
	Retiring bool `json:"retiring,omitempty"`
}

// Live reports whether the member counts as present: alive or suspect.
func (m Member) Live() bool { return m.State == Alive || m.State == Suspect }

// Newer reports whether m replaces o: it has a higher incarnation, or the same one and a higher state.
func (m Member) Newer(o Member) bool {
	return m.Incarnation > o.Incarnation || (m.Incarnation == o.Incarnation && m.State > o.State)
}

// Each member is watched by sameZoneWatchers members of its own zone and otherZoneWatchers members of other zones.
const (
	sameZoneWatchers  = 2
	otherZoneWatchers = 2
)

// Watchers returns the names of the live members that watch the target: the first in its zone and the first in other zones by rendezvous
// hashing.
func Watchers(target Member, all []Member) []string {
	var sameZone, otherZones []string
	for _, m := range all {
		switch {
		case m.Name == target.Name || !m.Live():
		case m.Zone == target.Zone:
			sameZone = append(sameZone, m.Name)
		default:
			otherZones = append(otherZones, m.Name)
		}
	}
	sameZone, otherZones = scheduler.SortByWeight(target.Name, sameZone), scheduler.SortByWeight(target.Name, otherZones)
	var names []string
	names = append(names, sameZone[:min(sameZoneWatchers, len(sameZone))]...)
	return append(names, otherZones[:min(otherZoneWatchers, len(otherZones))]...)
}

// isWatcher reports whether by is one of target's Watchers. It is cheaper than Watchers because it does not sort the members.
func isWatcher(by, target Member, all []Member) bool {
	if by.Name == target.Name || !by.Live() {
		return false
	}
	count := otherZoneWatchers
	if by.Zone == target.Zone {
		count = sameZoneWatchers
	}
	weight, higher := scheduler.RendezvousWeight(target.Name, by.Name), 0
	for _, m := range all {
		if m.Name == target.Name || m.Name == by.Name || !m.Live() || (m.Zone == target.Zone) != (by.Zone == target.Zone) {
			continue
		}
		if w := scheduler.RendezvousWeight(target.Name, m.Name); w > weight || (w == weight && m.Name < by.Name) {
			if higher++; higher == count {
				return false
			}
		}
	}
	return true
}

// Table holds the known members by name. Callers must not change the members that it returns.
type Table struct {
	rows       map[string]Member
	sorted     []Member
	generation uint64
}

func (t *Table) put(m Member) {
	t.rows[m.Name] = m
	t.sorted = nil
	t.generation++
}

// Generation returns a number that increases with every change of the table.
func (t *Table) Generation() uint64 { return t.generation }

// Get returns the member with the given name, and whether there is one.
func (t *Table) Get(name string) (Member, bool) {
	m, ok := t.rows[name]
	return m, ok
}

// All returns all members, sorted by name. The slice is shared between callers until the table changes.
func (t *Table) All() []Member {
	if t.sorted != nil {
		return t.sorted
	}
	var members []Member
	for _, m := range t.rows {
		members = append(members, m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	t.sorted = members
	return members
}
