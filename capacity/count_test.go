package capacity

import (
	"testing"
	"time"
)

// TestCountsOfThreeNodes compares message counts with values derived by hand for three nodes with disks, one per zone, and one replica in the
// first zone, over 18 s with ticks 50 ms apart.
//
// Failure detector: each node pings both others. An ack takes a few milliseconds and the next ping is due 400 ms after it, so it is sent at the
// tick 450 ms after the last ping: 40 pings in 18 s to each of the two, and as many acks to their pings.
// Load gossip: n1 is the only node in the replica's zone and therefore holds the zone's role. It sends load reports to one node of each other
// zone once a second; those have no other node in their zone to pass them on to.
// Leases: n1 renews its lease once a second with the three voters, one of which is itself.
// Probes: n1 probes the replica every 250 ms.
func TestCountsOfThreeNodes(t *testing.T) {
	ticks := time.Duration(0)
	p := Plan{
		Nodes: 3, Replicas: 1, Disks: 3, Services: 1, Zones: []string{"a1", "b1", "a2"}, SettleTime: 15 * time.Second, MeasureTime: 18 * time.Second, Seed: 1,
		Clock: func() time.Duration {
			ticks += time.Microsecond
			return ticks
		},
	}
	r := p.Run()
	if r.Ready != 3 {
		t.Fatalf("%d of 3 nodes are ready", r.Ready)
	}
	type count struct{ sent, received, probes uint64 }
	want := map[Mechanism][]count{
		FailureDetector: {{160, 160, 0}, {160, 160, 0}, {160, 160, 0}},
		LoadGossip:      {{36, 0, 0}, {0, 18, 0}, {0, 18, 0}},
		Leases:          {{36, 36, 0}, {18, 18, 0}, {18, 18, 0}},
		Probes:          {{0, 0, 72}, {0, 0, 0}, {0, 0, 0}},
		Register:        {{0, 0, 0}, {0, 0, 0}, {0, 0, 0}},
		Config:          {{0, 0, 0}, {0, 0, 0}, {0, 0, 0}},
		MemberGossip:    {{0, 0, 0}, {0, 0, 0}, {0, 0, 0}},
	}
	for m, counts := range want {
		for i, c := range counts {
			got := r.Costs.Of(r.Nodes[i], m)
			if (count{got.Sent, got.Received, got.Probes}) != c {
				t.Errorf("%s of %s: got sent %d, received %d, probes %d, want %+v", m, r.Nodes[i].Name, got.Sent, got.Received, got.Probes, c)
			}
		}
	}
}

// TestTimeOfTicks counts clock readings. A node handles a tick of its control node and one of its router every 50 ms, and each input is timed
// with two readings of a clock that advances by 1 µs per reading. The control node responds to a tick with one ControlStatus to the router.
func TestTimeOfTicks(t *testing.T) {
	ticks := time.Duration(0)
	p := Plan{Nodes: 3, Replicas: 1, Disks: 3, Services: 1, Zones: []string{"a1", "b1", "a2"}, SettleTime: 15 * time.Second, MeasureTime: 10 * time.Second, Seed: 1,
		Clock: func() time.Duration {
			ticks += time.Microsecond
			return ticks
		},
	}
	r := p.Run()
	for _, n := range r.Nodes {
		if got := r.Costs.Of(n, Ticks).StepTime; got != 200*time.Microsecond {
			t.Errorf("control ticks of %s took %s, want 200 µs", n.Name, got)
		}
		if got := r.Costs.Of(n, RouterTick).StepTime; got != 400*time.Microsecond {
			t.Errorf("router ticks and control statuses of %s took %s, want 400 µs", n.Name, got)
		}
	}
}

func TestBytesAddUp(t *testing.T) {
	p := Plan{Nodes: 5, Replicas: 5, Disks: 3, Services: 1, Zones: []string{"a1", "b1", "a2"}, Rate: 20, Prefixes: 5, PutRate: 1, SettleTime: 12 * time.Second, MeasureTime: 5 * time.Second, Seed: 1,
		Clock: func() time.Duration { return 0 }}
	r := p.Run()
	var sent, zones, regions uint64
	for _, n := range r.Nodes {
		all := r.Costs.Total(n, func(Mechanism) bool { return true })
		sent, zones, regions = sent+all.BytesSent, zones+all.AcrossZones, regions+all.AcrossRegions
		if other := r.Costs.Of(n, Other); other.Sent > 0 {
			t.Errorf("%s sent %d messages that belong to no mechanism", n.Name, other.Sent)
		}
	}
	if sent == 0 || regions == 0 || regions >= zones || zones >= sent {
		t.Errorf("sent %d bytes, %d of them to other zones and %d to the other region", sent, zones, regions)
	}
	if len(r.ApplyTimes) != 5 {
		t.Errorf("%d configurations were applied everywhere, want 5 in 5 s", len(r.ApplyTimes))
	}
	if r.Outcomes["done"] < 80 {
		t.Errorf("outcomes %v, want most of 100 requests done", r.Outcomes)
	}
}

func TestScaledTargetKeepsProportions(t *testing.T) {
	p := ScaledTarget(37)
	if p.Replicas != 60 || p.Rate != 380 || p.Nodes != 37 || p.Disks != 4 {
		t.Errorf("a tenth of the target is scaled to %+v", p)
	}
}

func TestStateGrowsWithStoredItems(t *testing.T) {
	r := newSingleRouter(func() time.Duration { return 0 }, unbounded)
	before := StateByMechanism(r.node)
	for i := range 1000 {
		r.serveRequest(i, sharedPrefixHeader(i))
	}
	after := StateByMechanism(r.node)
	if r.done != 1000 {
		t.Fatalf("%d of 1000 requests done", r.done)
	}
	// 1000 shared prefixes have a block each; they begin with one common block.
	blocks := 1001.0
	if each := float64(after[Index]-before[Index]) / blocks; each < 100 || each > 400 {
		t.Errorf("an indexed prefix block takes %.0f bytes, want 100 to 400", each)
	}
	if after[FailureDetector] != before[FailureDetector] || after[Config] != before[Config] {
		t.Errorf("requests changed the state size of other mechanisms: before %v, after %v", before, after)
	}
}

func TestStateFieldsExist(t *testing.T) {
	for machine, fields := range stateFields {
		for name := range fields {
			if _, ok := machine.FieldByName(name); !ok {
				t.Errorf("%s has no field %s", machine, name)
			}
		}
	}
	if len(stateFields) != 3 {
		t.Errorf("stateFields has %d state machines, want the control node, the router and its scheduler", len(stateFields))
	}
}

func TestPaddedConfigurationsAreAccepted(t *testing.T) {
	p := Plan{Nodes: 3, Replicas: 3, Disks: 3, Services: 2, Zones: []string{"a1", "b1", "a2"}, ConfigBytes: 100000, PutRate: 1, SettleTime: 12 * time.Second, MeasureTime: 4 * time.Second, Seed: 1,
		Clock: func() time.Duration { return 0 }}
	r := p.Run()
	if len(r.ApplyTimes) != 4 || r.ConfigBytes < 100000 || r.ConfigBytes > 104000 {
		t.Errorf("%d configurations of %d bytes were applied, want 4 of 100000 to 104000 bytes", len(r.ApplyTimes), r.ConfigBytes)
	}
}
