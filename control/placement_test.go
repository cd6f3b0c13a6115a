package control

import (
	"slices"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

func TestPlacesFollowTheMembers(t *testing.T) {
	l := newLab(t, 12)
	l.run(3 * time.Second)
	check := func(when string) {
		t.Helper()
		firsts := map[string]int{}
		for _, name := range l.order {
			if l.down[name] {
				continue
			}
			n := l.nodes[name]
			var all, near []string
			for _, m := range n.Members.Table.All() {
				if m.State == membership.Alive {
					all = append(all, m.Name)
					if m.Zone == "1" {
						near = append(near, m.Name)
					}
				}
			}
			for _, role := range []string{"mend", "list"} {
				ranked := scheduler.Nearest(role, all)
				if got, want := n.place("all/", role, func(m membership.Member) bool { return m.State == membership.Alive }), slices.Index(ranked, name); got != want {
					t.Errorf("%s: %s is at place %d of %s, want %d", when, name, got, role, want)
				}
				if n.ranksFirst(role, "1") != (scheduler.Nearest(role, near)[0] == name) || n.ranksFirst(role, "nowhere") != (ranked[0] == name) {
					t.Errorf("%s: %s disagrees on who is first for %s", when, name, role)
				}
				if n.ranksFirst(role, "") {
					firsts[role]++
				}
			}
		}
		if firsts["mend"] != 1 || firsts["list"] != 1 {
			t.Errorf("%s: %v are first", when, firsts)
		}
	}
	check("all are up")
	l.down[scheduler.Nearest("mend", l.order)[0]] = true
	l.run(4 * time.Second)
	check("the first is down")
}
