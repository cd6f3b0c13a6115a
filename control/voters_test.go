package control

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/router"
)

func (l *lab) voters() []string {
	var disks []string
	for _, v := range l.nodes["n5"].Value().Voters {
		disks = append(disks, v.Disk)
	}
	slices.Sort(disks)
	return disks
}

func TestSeedsBootstrapOnce(t *testing.T) {
	l := newLab(t, 8)
	l.run(1500 * time.Millisecond)
	if a := l.write("n7", "first"); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.run(5 * time.Second)
	fleets := map[string]bool{}
	for _, name := range l.order {
		v := l.nodes[name].Value()
		if v == nil {
			t.Fatalf("%s knows no value of the register", name)
		}
		fleets[v.Fleet] = true
		if got := l.read(name); got != "first" {
			t.Errorf("%s read %q", name, got)
		}
	}
	if len(fleets) != 1 {
		t.Errorf("%d registers were bootstrapped", len(fleets))
	}
}

func TestBootstrapWithFirstSeedDown(t *testing.T) {
	l := newLab(t, 8)
	l.run(200 * time.Millisecond)
	l.down["n0"] = true
	l.run(3 * time.Second)
	l.boot("n0", true)
	l.run(3 * time.Second)
	if a := l.write("n6", "first"); a.Err != nil {
		t.Fatal(a.Err)
	}
}

func TestNoSecondBootstrapOnEmptyDisks(t *testing.T) {
	l := newLab(t, 8)
	l.run(2 * time.Second)
	l.write("n7", "first")
	l.wipe("n0")
	l.run(time.Second)
	l.boot("n0", false)
	l.run(3 * time.Second)
	if got := l.read("n0"); got != "first" {
		t.Errorf("read %q, want \"first\"", got)
	}
}

func TestWipedVotersAreReplacedBeforeTheNextLoss(t *testing.T) {
	l := newLab(t, 8)
	l.run(2 * time.Second)
	for i, name := range []string{"n1", "n0", "n2", "n1", "n3"} {
		text := strings.Repeat("x", i+1)
		if a := l.write("n7", text); a.Err != nil {
			t.Fatalf("round %d: %v", i, a.Err)
		}
		l.wipe(name)
		l.run(900 * time.Millisecond)
		l.boot(name, false)
		l.run(4 * time.Second)
		if got := l.read("n5"); got != text {
			t.Fatalf("round %d: after %s came back empty, read %q", i, name, got)
		}
		want := []string{l.disks["n0"], l.disks["n1"], l.disks["n2"]}
		if slices.Sort(want); !slices.Equal(l.voters(), want) {
			t.Fatalf("round %d: after %s came back empty, the voters are %v, want %v", i, name, l.voters(), want)
		}
	}
}

func TestLostVoterIsReplacedByStandbyDisk(t *testing.T) {
	l := newLab(t, 8)
	l.run(2 * time.Second)
	l.write("n7", "x")
	l.down["n1"] = true
	l.run(8 * time.Second)
	if vs := l.voters(); !slices.Equal(vs, []string{"disk-n0", "disk-n2", "disk-n3"}) {
		t.Fatalf("voters %v", vs)
	}
	l.down["n0"] = true
	if a := l.write("n7", "y"); a.Err != nil {
		t.Fatal(a.Err)
	}
}

func TestFailedEditChangesNothing(t *testing.T) {
	l := newLab(t, 6)
	l.run(2 * time.Second)
	l.write("n4", "x")
	bad := errors.New("flawed")
	if a := l.call("n5", Edit{ID: "e", Apply: func([]byte) ([]byte, error) { return nil, bad }}); !errors.Is(a.Err, bad) {
		t.Fatalf("an edit that fails ended with %v", a.Err)
	}
	if got := l.read("n4"); got != "x" {
		t.Errorf("read %q after an edit that failed, want \"x\"", got)
	}
}

func TestListIsReadByOneNodeAndKnownToAll(t *testing.T) {
	l := newLab(t, 9)
	l.list = []router.Instance{{ID: "i1", Service: "o"}}
	l.run(3 * time.Second)
	for name := range l.lists {
		l.lists[name] = 0
	}
	l.list = []router.Instance{{ID: "i1", Service: "o", Draining: true}}
	l.run(1500 * time.Millisecond)
	for _, name := range l.order {
		if r := l.replicaLists[name]; len(r) != 1 || !r[0].Draining {
			t.Errorf("%s has %v", name, r)
		}
	}
	l.run(8500 * time.Millisecond)
	sum, reader := 0, ""
	for name, n := range l.lists {
		sum += n
		if n > 5 {
			reader = name
		}
	}
	if sum > 14 || reader == "" {
		t.Errorf("%d reads of the list in 10 s: %v", sum, l.lists)
	}
	l.down[reader] = true
	l.list = nil
	l.run(2200 * time.Millisecond)
	for _, name := range l.order {
		if r := l.replicaLists[name]; len(r) != 0 && !l.down[name] {
			t.Errorf("%s has %v, 2.2 s after the node that reads the list died", name, r)
		}
	}
}

func TestNodeWithoutConfirmationsReadsTheList(t *testing.T) {
	l := newLab(t, 9)
	l.list = []router.Instance{{ID: "i1", Service: "o"}}
	l.run(3 * time.Second)
	for _, name := range l.order {
		l.down[name] = name != "n8"
	}
	l.list = nil
	l.run(4 * time.Second)
	if len(l.replicaLists["n8"]) != 0 {
		t.Error("an isolated node still lists a removed replica")
	}
}

func TestRecoveredDiskVotesAgain(t *testing.T) {
	l := newLab(t, 6)
	l.run(2 * time.Second)
	l.step("n0", Persisted{Err: errors.New("no space left")})
	if !l.nodes["n0"].Members.Self.Degraded {
		t.Fatal("a voter whose write failed is not marked as degraded")
	}
	l.step("n0", Persisted{Repaired: true})
	l.run(time.Second)
	l.down["n1"] = true
	if a := l.write("n5", "x"); a.Err != nil || l.nodes["n0"].Members.Self.Degraded {
		t.Fatalf("a write after the disk recovered: error %v, still degraded %v", a.Err, l.nodes["n0"].Members.Self.Degraded)
	}
}
