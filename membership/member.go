package membership

import (
	"sort"

	"github.com/mallowbridge/mallowbridge/scheduler"
)

type State uint8

const (
	Alive State = iota
	Suspect
	Dead
	Left
)

func (s State) String() (name string) {
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

type Member struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	HTTP   string `json:"http"`
	Domain string `json:"domain"`
	Disk   string `json:"disk,omitempty"`
	Inc    uint64 `json:"incarnation"`
	State  State  `json:"-"`
	Build  uint32 `json:"build"`
	Libs   int    `json:"libs"`
	Unfit  bool   `json:"unfit,omitempty"`
	// Retiring says that the process was told to end: it still votes, but gives its seat away where it can.
	Retiring bool `json:"retiring,omitempty"`
}

func (m Member) Live() (yes bool) { return m.State == Alive || m.State == Suspect }

func (m Member) Newer(o Member) (yes bool) {
	return m.Inc > o.Inc || (m.Inc == o.Inc && m.State > o.State)
}

const (
	watchNear = 2
	watchFar  = 2
)

func Watchers(target Member, all []Member) (names []string) {
	var near, far []string
	for _, m := range all {
		switch {
		case m.Name == target.Name || !m.Live():
		case m.Domain == target.Domain:
			near = append(near, m.Name)
		default:
			far = append(far, m.Name)
		}
	}
	near, far = scheduler.Nearest(target.Name, near), scheduler.Nearest(target.Name, far)
	names = append(names, near[:min(watchNear, len(near))]...)
	return append(names, far[:min(watchFar, len(far))]...)
}

// watches tells whether by is among the watchers of target, without ranking all the others.
func watches(by, target Member, all []Member) (yes bool) {
	if by.Name == target.Name || !by.Live() {
		return false
	}
	most := watchFar
	if by.Domain == target.Domain {
		most = watchNear
	}
	mine, above := scheduler.Rank(target.Name, by.Name), 0
	for _, m := range all {
		if m.Name == target.Name || m.Name == by.Name || !m.Live() || (m.Domain == target.Domain) != (by.Domain == target.Domain) {
			continue
		}
		if w := scheduler.Rank(target.Name, m.Name); w > mine || (w == mine && m.Name < by.Name) {
			if above++; above == most {
				return false
			}
		}
	}
	return true
}

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

// Rev changes whenever the table does.
func (t *Table) Rev() (rev uint64) { return t.rev }

func (t *Table) Get(name string) (m Member, ok bool) {
	m, ok = t.rows[name]
	return m, ok
}

func (t *Table) All() (ms []Member) {
	if t.sorted != nil {
		return t.sorted
	}
	for _, m := range t.rows {
		ms = append(ms, m)
	}
	sort.Slice(ms, func(i, j int) bool { return ms[i].Name < ms[j].Name })
	t.sorted = ms
	return ms
}
