package kin

import (
	"sort"

	"github.com/mallowbridge/mallowbridge/bid"
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
	near, far = bid.Nearest(target.Name, near), bid.Nearest(target.Name, far)
	names = append(names, near[:min(watchNear, len(near))]...)
	return append(names, far[:min(watchFar, len(far))]...)
}

type Table struct {
	rows   map[string]Member
	sorted []Member
}

func (t *Table) put(m Member) {
	t.rows[m.Name] = m
	t.sorted = nil
}

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
