package membership

import (
	"sort"

	"github.com/mallowbridge/mallowbridge/scheduler"
)

// State is what a member is held to be. Its numbers are part of the format between nodes; a higher one goes before a lower at the
// same incarnation.
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

// Member is a node of the fleet as gossip carries it. Its JSON names are part of the published status; the form that nodes send is in
// encoding.go. Degraded says that its disk is too slow to vote.
type Member struct {
	Name string `json:"name"`
	// Addr is where other nodes reach it, HTTP where clients do, both host:port.
	Addr string `json:"addr"`
	HTTP string `json:"http"`
	Zone string `json:"domain"`
	// Disk is the random id of its disk, empty where it has none.
	Disk        string `json:"disk,omitempty"`
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"-"`
	// Build is the number of its message formats, EmbeddedRouters how many embedded routers follow it.
	Build           uint32 `json:"build"`
	EmbeddedRouters int    `json:"libs"`
	Degraded        bool   `json:"unfit,omitempty"`
	// Retiring says that the process was told to end: it still votes, but gives its seat away where it can.
	Retiring bool `json:"retiring,omitempty"`
}

// Live tells that the member counts as present.
func (m Member) Live() bool { return m.State == Alive || m.State == Suspect }

// Newer tells that m replaces o: by incarnation, then by state.
func (m Member) Newer(o Member) bool {
	return m.Incarnation > o.Incarnation || (m.Incarnation == o.Incarnation && m.State > o.State)
}

// watchersInZone and watchersElsewhere are how many members watch each, of its own zone and of others.
const (
	watchersInZone    = 2
	watchersElsewhere = 2
)

// Watchers names the live members that watch the target: the first by rendezvous hashing in its zone and elsewhere.
func Watchers(target Member, all []Member) []string {
	var near, far []string
	for _, m := range all {
		switch {
		case m.Name == target.Name || !m.Live():
		case m.Zone == target.Zone:
			near = append(near, m.Name)
		default:
			far = append(far, m.Name)
		}
	}
	near, far = scheduler.SortByWeight(target.Name, near), scheduler.SortByWeight(target.Name, far)
	var names []string
	names = append(names, near[:min(watchersInZone, len(near))]...)
	return append(names, far[:min(watchersElsewhere, len(far))]...)
}

// watches tells whether by is among the watchers of target, without ranking all the others.
func watches(by, target Member, all []Member) bool {
	if by.Name == target.Name || !by.Live() {
		return false
	}
	most := watchersElsewhere
	if by.Zone == target.Zone {
		most = watchersInZone
	}
	mine, above := scheduler.RendezvousWeight(target.Name, by.Name), 0
	for _, m := range all {
		if m.Name == target.Name || m.Name == by.Name || !m.Live() || (m.Zone == target.Zone) != (by.Zone == target.Zone) {
			continue
		}
		if w := scheduler.RendezvousWeight(target.Name, m.Name); w > mine || (w == mine && m.Name < by.Name) {
			if above++; above == most {
				return false
			}
		}
	}
	return true
}

// Table holds the members by name. Its rows are not to be changed.
type Table struct {
	rows   map[string]Member
	sorted []Member
	rev    uint64
}

func (t *Table) put(m Member) {
	t.rows[m.Name] = m
	t.sorted = nil
	t.rev++
}

// Generation changes whenever the table does.
func (t *Table) Generation() uint64 { return t.rev }

// Get gives a member by its name.
func (t *Table) Get(name string) (Member, bool) {
	m, ok := t.rows[name]
	return m, ok
}

// All gives the members by name; the slice is shared until the table changes.
func (t *Table) All() []Member {
	if t.sorted != nil {
		return t.sorted
	}
	var ms []Member
	for _, m := range t.rows {
		ms = append(ms, m)
	}
	sort.Slice(ms, func(i, j int) bool { return ms[i].Name < ms[j].Name })
	t.sorted = ms
	return ms
}
