package control

import (
	"testing"

	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

// TestFirstReplyAfterStartWaitsForSync guards against a reply with state that was read at start but is not synced yet, and so may not
// survive a power failure.
func TestFirstReplyAfterStartWaitsForSync(t *testing.T) {
	kept := &DiskState{Register: register.State{Disk: "d", Accepted: register.Ballot{N: 4, By: "x"}, Value: &register.Value{Version: 7}}}
	n := New(0, Config{Name: "n0", Addr: "n0", Membership: membership.Defaults(), Gossip: gossip.Defaults(), Read: anyDocument, Disk: kept})
	prepare := Received{From: "n1", Msg: register.Prepare{RequestID: 1, Disk: "d", ReadOnly: true}}
	out := n.Step(1, prepare)
	if promises(out) != 0 || len(out.Writes) != 1 {
		t.Fatalf("%d replies and %d writes", promises(out), len(out.Writes))
	}
	if out = n.Step(2, prepare); promises(out) != 0 {
		t.Fatal("a second prepare got a reply before the disk was synced")
	}
	if out = n.Step(3, Persisted{Seq: 1}); promises(out) != 2 {
		t.Fatalf("%d replies after the sync", promises(out))
	}
	if out = n.Step(4, prepare); promises(out) != 1 || len(out.Writes) != 0 {
		t.Fatal("a later prepare caused a write")
	}
}

func promises(out Output) int {
	var count int
	for _, s := range out.Sends {
		if _, ok := s.Msg.(register.Promise); ok {
			count++
		}
	}
	return count
}
