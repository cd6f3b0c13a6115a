package control

import (
	"slices"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/router"
)

func (l *lab) await(what string, within time.Duration, ok func() bool) {
	l.t.Helper()
	for from := l.now; !ok(); {
		if l.run(10 * time.Millisecond); l.now-from > within {
			l.t.Fatalf("%s: not within %s", what, within)
		}
	}
}

func (l *lab) serves(name string) bool {
	return l.nodes[name].Snapshot() != nil && l.nodes[name].serving.reason == ""
}

// TestAllVotersLosePowerAndOneItsDisk covers docs/incidents/inc-3a1a.md: right after a change is acknowledged, all three voters lose power
// and one of them its disk. There is no standby disk.
func TestAllVotersLosePowerAndOneItsDisk(t *testing.T) {
	l := newLab(t, 9)
	l.down["n3"] = true
	l.list = []router.Instance{{ID: "i1", Service: "o"}}
	l.run(2 * time.Second)
	if a := l.write("n7", "x"); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.wipe("n2")
	l.down["n0"], l.down["n1"] = true, true
	l.run(1200 * time.Millisecond)
	for _, name := range []string{"n4", "n5", "n6", "n7", "n8"} {
		if !l.serves(name) {
			t.Errorf("%s does not serve while there are no voters: %q", name, l.nodes[name].serving.reason)
		}
	}
	for _, name := range []string{"n0", "n1", "n2"} {
		l.boot(name, false)
		l.step(name, Tick{})
	}
	l.await("the wiped disk becomes a voter", 1500*time.Millisecond, func() bool { return slices.Contains(l.voters(), l.disks["n2"]) })
	for _, name := range l.order {
		if name != "n3" && !l.serves(name) {
			t.Errorf("%s does not serve", name)
		}
	}
	l.down["n0"] = true
	if got := l.read("n2"); got != "x" {
		t.Errorf("read %q", got)
	}
	if a := l.write("n6", "y"); a.Err != nil {
		t.Fatalf("change after one further loss: %v", a.Err)
	}
}

// TestDisklessMachinesRestartBeforeVoters covers docs/incidents/inc-d97d.md: a voter loses power after a change is acknowledged. Later all
// machines do, and those without a disk restart first.
func TestDisklessMachinesRestartBeforeVoters(t *testing.T) {
	l := newLab(t, 12)
	l.list = []router.Instance{{ID: "i1", Service: "o"}}
	l.run(2 * time.Second)
	l.write("n7", "x")
	l.down["n2"] = true
	l.run(3 * time.Second)
	l.boot("n2", false)
	l.run(2 * time.Second)
	if a := l.write("n2", "y"); a.Err != nil {
		t.Fatal(a.Err)
	}
	for _, name := range l.order {
		l.down[name] = true
	}
	l.inFlight = nil
	l.run(time.Second)
	back := slices.Clone(l.order)
	slices.Reverse(back)
	for _, name := range back {
		l.boot(name, false)
		l.step(name, Tick{})
		l.run(40 * time.Millisecond)
	}
	l.await("all serve", 400*time.Millisecond, func() bool {
		return !slices.ContainsFunc(l.order, func(name string) bool { return !l.serves(name) })
	})
	for _, name := range l.order {
		if got := l.read(name); got != "y" {
			t.Errorf("%s read %q", name, got)
		}
	}
}
