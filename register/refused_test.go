package register

import "testing"

// x's order stands on y's, and both are at one disk alone. x is refused by a majority that has seen neither: what it proposed must not
// be found and proposed again afterwards. Found by the model checker.
func TestRejectedProposalIsNeverChosen(t *testing.T) {
	d := newDuel(t)
	z := NewProposer("z", 3)
	z.LearnVoters(d.x.voters)
	d.x, d.y = d.y, d.x
	d.expose(0, "a")
	d.x, d.y = d.y, d.x
	d.expose(1, "a")
	d.only("b", "c")
	if got := fateOf(d.end(d.x)); got != "412" {
		t.Fatalf("the order on what was never chosen: %s", got)
	}
	d.only("a", "b")
	if err := d.until(z, nil); err != nil || d.last.Value.Version != 0 {
		t.Errorf("%v: revision %d is read, which a refused order made", err, d.last.Value.Version)
	}
}
