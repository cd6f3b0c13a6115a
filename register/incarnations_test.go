package register

import (
	"testing"
	"time"
)

// After a proposer has restarted, voters that were frozen reply to requests of its previous incarnation. The replies must not count, or a value is
// confirmed that no voter has accepted. Found by the model checker.
func TestRepliesToAnEarlierIncarnationDoNotCount(t *testing.T) {
	first := &Value{Fleet: "f", Voters: []Voter{{Disk: "a"}, {Disk: "b"}, {Disk: "c"}}}
	before, after := NewProposer("n/1", 1), NewProposer("n/2", 1)
	var lateReplies []Accepted
	var promises []Promise
	for _, p := range []*Proposer{before, after} {
		p.LearnVoters(first)
		p.Submit(0, time.Hour, 1, edit(0, p.ID))
	}
	sends, _ := before.TakeOutput()
	for _, s := range sends {
		m := s.Msg.(Prepare)
		promises = append(promises, Promise{RequestID: m.RequestID, Disk: m.Disk, OK: true, Promised: m.Ballot, Accepted: Ballot{By: "f"}, Value: first})
		before.OnPromise(0, promises[len(promises)-1])
	}
	sends, _ = before.TakeOutput()
	for _, s := range sends {
		m := s.Msg.(Accept)
		lateReplies = append(lateReplies, Accepted{RequestID: m.RequestID, Disk: m.Disk, OK: true, Promised: m.Ballot})
	}
	for _, r := range promises {
		after.OnPromise(0, r)
	}
	for _, r := range lateReplies {
		after.OnAccepted(0, r)
	}
	if _, results := after.TakeOutput(); len(lateReplies) != 3 || len(results) != 0 {
		t.Errorf("%d late replies, results: %v", len(lateReplies), results)
	}
}
