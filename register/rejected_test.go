package register

import "testing"

// One disk has accepted y's order, and x's order that is based on it. A majority that has seen neither then rejects x's order: the proposal must
// not be found and proposed again afterwards. Found by the model checker.
func TestRejectedProposalIsNeverChosen(t *testing.T) {
	d := newProposerPair(t)
	z := NewProposer("z", 3)
	z.LearnVoters(d.x.known)
	d.x, d.y = d.y, d.x
	d.proposeTo(0, "a")
	d.x, d.y = d.y, d.x
	d.proposeTo(1, "a")
	d.setReachable("b", "c")
	if got := outcome(d.waitForResult(d.x)); got != "412" {
		t.Fatalf("the order based on a value that was never chosen: %s", got)
	}
	d.setReachable("a", "b")
	if err := d.submitAndWait(z, nil); err != nil || d.last.Value.Version != 0 {
		t.Errorf("%v: read revision %d, which a rejected order made", err, d.last.Value.Version)
	}
}
