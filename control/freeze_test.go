package control

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

// TestReadFromBeforePauseDoesNotJoin freezes a starting node for 8 s while the replies to its first read are in flight. They wait in its
// sockets. The value they contain is replaced meanwhile, and the node must not apply it.
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
			t.Fatal("the node caught up without a read")
		}
		l.frozen = map[string]bool{name: true}
		l.run(4 * time.Second)
		l.write("n6", "new")
		l.run(4 * time.Second)
		l.frozen = nil
		for range 2000 {
			if l.run(time.Millisecond); l.nodes[name].applied == old {
				t.Fatalf("%s applied a value that was replaced 4 s before the node resumed", name)
			}
		}
		if l.nodes[name].applied != old+1 {
			t.Fatalf("applied version is %d two seconds after the node resumed", l.nodes[name].applied)
		}
	}
}

// runToAnswer runs until replies to a starting node's read are in flight. It returns false if the node caught up before.
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
	for _, p := range l.inFlight {
		_, promise := p.msg.(register.Promise)
		yes = yes || (promise && p.to == name)
	}
	return yes
}
