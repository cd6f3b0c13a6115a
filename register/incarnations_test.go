package register

import (
	"testing"
	"time"
)

// A voter that was frozen answers what the incarnation before asked, after the proposer restarted. Found by the model checker: a value was
// confirmed that nobody had accepted.
func TestAnswersToAnEarlierIncarnationDoNotCount(t *testing.T) {
	first := &Value{Fleet: "f", Voters: []Voter{{Disk: "a"}, {Disk: "b"}, {Disk: "c"}}}
	before, after := NewProposer("n/1", 1), NewProposer("n/2", 1)
	var overdue []Accepted
	var promises []Promise
	for _, p := range []*Proposer{before, after} {
		p.LearnVoters(first)
		p.Submit(0, time.Hour, 1, take(0, p.ID))
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
		overdue = append(overdue, Accepted{RequestID: m.RequestID, Disk: m.Disk, OK: true, Promised: m.Ballot})
	}
	for _, r := range promises {
		after.OnPromise(0, r)
	}
	for _, r := range overdue {
		after.OnAccepted(0, r)
	}
	if _, results := after.TakeOutput(); len(overdue) != 3 || len(results) != 0 {
		t.Errorf("%d late answers, confirmed by them: %v", len(overdue), results)
	}
}
