package control

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

// applyWithin is the maximum time from a change's acknowledgement until all nodes have applied it.
const applyWithin = 2500 * time.Millisecond

func TestChangeOfOneRouteCostsWhatItChanges(t *testing.T) {
	l := newLab(t, 30)
	l.run(6 * time.Second)
	for i := range register.MaxLoggedOrders {
		l.put("n3", []byte(fmt.Sprint("the memory of orders is full, ", i)))
	}
	complete := document(1, -1)
	if a := l.put("n3", complete); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.untilApplied(complete, applyWithin)
	l.run(5 * time.Second)
	if kept := len(l.nodes["n3"].value.EditLog); kept < 6*register.MaxLoggedOrders {
		t.Errorf("the order log has %d bytes: the test proves little", kept)
	}
	m := l.meter()
	const changes = 10
	for i := range changes {
		next := document(2+i, 250*i)
		if a := l.put(fmt.Sprint("n", i%7), next); a.Err != nil {
			t.Fatal(a.Err)
		}
		l.untilApplied(next, applyWithin)
		l.run(3 * time.Second)
	}
	for _, zone := range []string{"0", "1", "2"} {
		ratio := float64(m.into(zone)) / changes / float64(len(complete))
		t.Logf("zone %s: %d bytes a change, %.2f %% of the document; %v", zone, m.into(zone)/changes, 100*ratio, m.kinds)
		if ratio > 0.05 {
			t.Errorf("a change sends %.2f %% of the document into zone %s", 100*ratio, zone)
		}
	}
}

func TestDocumentEntersAZoneAboutOnce(t *testing.T) {
	l := newLab(t, 30)
	l.run(6 * time.Second)
	m := l.meter()
	complete := document(1, -1)
	if a := l.put("n3", complete); a.Err != nil {
		t.Fatal(a.Err)
	}
	t.Logf("applied after %v", l.untilApplied(complete, applyWithin))
	l.run(3 * time.Second)
	for _, zone := range []string{"0", "1", "2"} {
		t.Logf("zone %s: %d bytes of %d", zone, m.into(zone), len(complete))
		if m.into(zone) > len(complete)*3/2 {
			t.Errorf("%d bytes came into zone %s for a document of %d", m.into(zone), zone, len(complete))
		}
	}
}

func TestVoterWithoutChunksNeverAccepts(t *testing.T) {
	l := newLab(t, 8)
	l.run(6 * time.Second)
	base := document(1, -1)
	if a := l.put("n0", base); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.run(3 * time.Second)
	accepts, votes := 0, 0
	asked := map[string]register.Ballot{}
	l.sent = func(from, to string, msg any) bool {
		switch x := msg.(type) {
		case register.Accept:
			accepts++
			asked[to] = x.Ballot
			if x.Value.DocumentManifest == nil || x.Value.Document != nil {
				t.Errorf("%s sent an inline document of %d bytes, with a manifest: %v", from, len(x.Value.Document), x.Value.DocumentManifest != nil)
			}
		case register.Accepted:
			if x.OK && x.Promised == asked[from] {
				votes++
			}
		case ChunkData:
			return true
		}
		return false
	}
	next := bytes.ReplaceAll(document(2, 1250), []byte("site.example"), []byte("another.example"))
	if a := l.put("n0", next); a.Err == nil {
		t.Error("a change whose chunks no other voter has was acknowledged")
	}
	if accepts == 0 || votes > 0 {
		t.Errorf("%d of %d voters accepted a document that they do not have", votes, accepts)
	}
	l.sent = nil
	a := l.put("n1", document(3, 7))
	if a.Err != nil {
		t.Fatal(a.Err)
	}
	l.untilApplied(document(3, 7), applyWithin)
}

// TestRemainingMajorityHasTheDocument restarts two of three voters with what their disks contain.
func TestRemainingMajorityHasTheDocument(t *testing.T) {
	for seed := range 6 {
		checkRemainingMajority(t, seed)
	}
}

func checkRemainingMajority(t *testing.T, seed int) {
	t.Helper()
	l := newDiskLab(t, 9)
	l.run(time.Duration(6000+37*seed) * time.Millisecond)
	at := fmt.Sprint("n", 3+seed)
	last := document(9, 77*seed)
	for _, next := range [][]byte{document(1, 0), document(2, 300), document(3, 600), document(4, 900), last} {
		if a := l.put(at, next); a.Err != nil {
			t.Fatal(a.Err)
		}
	}
	for _, name := range l.order {
		l.down[name] = true
	}
	l.inFlight = nil
	l.run(time.Second)
	remaining := slices.Delete([]string{"n0", "n1", "n2"}, seed%3, seed%3+1)
	for _, name := range remaining {
		l.boot(name, false)
	}
	l.run(8 * time.Second)
	for _, name := range remaining {
		if l.read(name) != string(last) {
			t.Fatalf("seed %d: %s does not have the acknowledged document", seed, name)
		}
	}
}

func TestNodeThatWasAwayForManyChanges(t *testing.T) {
	l := newDiskLab(t, 12)
	l.run(6 * time.Second)
	if a := l.put("n3", document(1, -1)); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.run(2 * time.Second)
	l.down["n7"], l.down["n2"] = true, true
	for i := range 300 {
		if a := l.put(fmt.Sprint("n", 3+i%3), document(2+i, i*8)); a.Err != nil {
			t.Fatal(a.Err)
		}
	}
	l.run(2 * time.Second)
	m := l.meter()
	last := l.nodes["n0"].value.Document
	for _, name := range []string{"n7", "n2"} {
		l.boot(name, false)
		t.Logf("%s applied the document after %v", name, l.untilApplied(last, applyWithin))
	}
	t.Logf("bytes by kind of message: %v", m.kinds)
	for name, folder := range l.folders {
		if folder.size() > 8<<20 {
			t.Errorf("%s has %d bytes on disk", name, folder.size())
		}
	}
	for name, n := range l.nodes {
		if stored := n.documents.store.StoredBytes(); stored > keptBytes {
			t.Errorf("%s stores %d bytes of chunks", name, stored)
		}
	}
}

// TestRestartedNodesFetchInTheirZone checks that machines without a disk start with nothing and get the document from the machine with a
// disk in their zone.
func TestRestartedNodesFetchInTheirZone(t *testing.T) {
	l := newDiskLab(t, 36)
	l.run(6 * time.Second)
	complete := document(1, -1)
	if a := l.put("n3", complete); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.untilApplied(complete, applyWithin)
	l.run(2 * time.Second)
	m := l.meter()
	for i := 4; i < 36; i++ {
		l.down[fmt.Sprint("n", i)] = true
	}
	l.run(time.Second)
	for i := 4; i < 36; i++ {
		l.boot(fmt.Sprint("n", i), false)
	}
	l.run(time.Second)
	l.untilApplied(complete, 3*time.Second)
	for _, zone := range []string{"0", "1", "2"} {
		if m.into(zone) > len(complete)/4 {
			t.Errorf("%d bytes came into zone %s for a document that a machine there has", m.into(zone), zone)
		}
	}
}

// TestProposalBringsWhatVotersLack checks that voters accept a change of one route without requesting chunks: the proposal contains those
// that they lack.
func TestProposalBringsWhatVotersLack(t *testing.T) {
	l := newLab(t, 8)
	l.run(6 * time.Second)
	if a := l.put("n4", document(1, -1)); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.untilApplied(document(1, -1), applyWithin)
	l.run(time.Second)
	l.sent = func(_, _ string, msg any) bool {
		_, lost := msg.(ChunkPull)
		return lost
	}
	if a := l.put("n4", document(2, 1250)); a.Err != nil {
		t.Error(a.Err)
	}
}
