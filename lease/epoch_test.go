package lease

import (
	"testing"

	"github.com/mallowbridge/mallowbridge/register"
)

func voters(disks ...string) []register.Voter {
	var vs []register.Voter
	for _, d := range disks {
		vs = append(vs, register.Voter{Disk: d})
	}
	return vs
}

// TestGrantsCountUnderTheVotersAsked guards against two holders during a change of the voter set: a request that was sent while majorities of
// both sets were needed must not succeed by a majority of the new set alone, since another holder may have a majority of the old one.
func TestGrantsCountUnderTheVotersAsked(t *testing.T) {
	both := &register.Value{Epoch: 2, Voters: voters("a", "b", "c"), NextVoters: voters("a", "b", "s")}
	after := &register.Value{Epoch: 3, Voters: voters("a", "b", "s")}
	h := NewHolder("h", 1)
	requestID := h.Acquire(0, "d", both)[0].Msg.(Request).RequestID
	for _, d := range []string{"b", "s"} {
		h.OnGrant(0, Grant{RequestID: requestID, Disk: d, Role: "d", OK: true}, after)
	}
	if _, ok := h.Holds(0, "d"); ok {
		t.Error("the role is held by grants of another epoch")
	}
	for _, d := range []string{"b", "s", "a"} {
		h.OnGrant(0, Grant{RequestID: requestID, Disk: d, Role: "d", OK: true}, both)
	}
	if _, ok := h.Holds(0, "d"); !ok {
		t.Error("the role is not held although both majorities granted it")
	}
}

// TestGrantToAnEarlierIncarnationDoesNotCount covers a voter that was frozen and grants a request of the holder's previous incarnation.
func TestGrantToAnEarlierIncarnationDoesNotCount(t *testing.T) {
	voterSet := &register.Value{Epoch: 1, Voters: voters("a")}
	before, after := NewHolder("n/1", 1), NewHolder("n/2", 1)
	asked := before.Acquire(0, "d", voterSet)[0].Msg.(Request)
	after.Acquire(0, "d", voterSet)
	grant, _ := newGrantorAt("a", 1).HandleRequest(0, asked)
	after.OnGrant(0, grant, voterSet)
	if _, ok := after.Holds(0, "d"); ok || !grant.OK {
		t.Errorf("granted to the previous incarnation: %t, held by the current one: %t", grant.OK, ok)
	}
}

func newGrantorAt(disk string, epoch uint64) *Grantor {
	g := NewGrantor(disk, nil, 0)
	g.ChangeEpoch(-TTL, epoch)
	return g
}
