package control

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

// TestReadFromBeforePauseDoesNotJoin freezes a starting node for 8 s while the answers to its first read are under way. They
// wait in its sockets; what they tell was replaced meanwhile, and must not be obeyed.
func TestReadFromBeforePauseDoesNotJoin(t *testing.T) {
	for _, name := range []string{"n0", "n1", "n2", "n3"} {
		l := newLab(t, 8)
		l.run(2 * time.Second)
		l.write("n6", "old")
		l.run(3 * time.Second)
		old := l.nodes["n6"].applied
		l.down[name] = true
		l.run(300 * time.Millisecond)
		l.boot(name, false)
		l.step(name, Tick{})
		if !l.runToAnswer(name) {
			t.Fatal("caught up without a read")
		}
		l.frozen = map[string]bool{name: true}
		l.run(4 * time.Second)
		l.write("n6", "new")
		l.run(4 * time.Second)
		l.frozen = nil
		for range 2000 {
			if l.run(time.Millisecond); l.nodes[name].applied == old {
				t.Fatalf("%s obeys what was replaced 4 s before it woke", name)
			}
		}
		if l.nodes[name].applied != old+1 {
			t.Fatalf("obeys mark %d two seconds after it woke", l.nodes[name].applied)
		}
	}
}

// runToAnswer runs until answers to a read of a starting node are under way; false: it caught up before.
func (l *lab) runToAnswer(name string) bool {
	for range 1000 {
		if l.nodes[name].applied > 0 {
			return false
		}
		if l.answersTo(name) {
			return true
		}
		l.run(time.Millisecond)
	}
	return false
}

func (l *lab) answersTo(name string) bool {
	var yes bool
	for _, p := range l.mail {
		_, promise := p.msg.(register.Promise)
		yes = yes || (promise && p.to == name)
	}
	return yes
}
