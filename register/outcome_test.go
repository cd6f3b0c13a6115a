package register

import (
	"fmt"
	"testing"
	"time"
)

// The table lists which disks accept x's order before all replies are lost, whether another order is chosen then, which disks x reaches
// afterwards, and the outcomes of x's order and of the same order sent again to y.
func TestOutcomeOfPartlyAcceptedOrders(t *testing.T) {
	for _, c := range []struct {
		description string
		accept      []string
		superseded  bool
		reachable   []string
		want        string
		repeat      string
	}{
		{"1: not proposed, no majority reachable", nil, false, []string{"a"}, "503 unchanged", "200"},
		{"2: a minority accepted, no majority since", []string{"a"}, false, []string{"a"}, "503 unknown", "200"},
		{"3: a minority accepted, found again", []string{"a"}, false, []string{"a", "b"}, "200", "200"},
		{"4: a minority accepted, not found: proposed again", []string{"a"}, false, []string{"b", "c"}, "200", "200"},
		{"5: a minority accepted, another order was chosen", []string{"a"}, true, []string{"a", "b", "c"}, "412", "412"},
		{"6: a majority accepted, replies lost, then found", []string{"a", "b"}, false, []string{"a", "c"}, "200", "200"},
		{"7: a majority accepted, replies lost, no majority since", []string{"a", "b"}, false, []string{"c"}, "503 unknown", "200"},
		{"8: a majority accepted, then another order on top of it", []string{"a", "b"}, true, []string{"a", "b", "c"}, "200", "200"},
	} {
		d := newProposerPair(t)
		if c.accept == nil {
			d.setReachable(c.reachable...)
			d.x.Submit(d.now, d.now+operationTimeout, 9, edit(0, "mine"))
		} else {
			d.proposeTo(0, c.accept...)
		}
		if c.superseded {
			d.setReachable("b", "c")
			base := uint64(len(c.accept) / 2)
			if err := d.submitAndWait(d.y, edit(base, "theirs")); err != nil {
				t.Fatalf("%s: the other order: %v", c.description, err)
			}
		}
		d.setReachable(c.reachable...)
		if got := outcome(d.waitForResult(d.x)); got != c.want {
			t.Errorf("%s: %s, not %s", c.description, got, c.want)
		}
		d.setReachable("a", "b", "c")
		if got := outcome(d.submitAndWait(d.y, edit(0, "mine"))); got != c.repeat {
			t.Errorf("%s: repeated at the other proposer: %s, not %s", c.description, got, c.repeat)
		}
	}
}

// x's order, which one disk has accepted, must not be applied after another order was chosen, whichever majority x reaches.
func TestSupersededOrderNeverReturns(t *testing.T) {
	for _, majority := range [][]string{{"a", "b"}, {"a", "c"}, {"b", "c"}} {
		d := newProposerPair(t)
		d.proposeTo(0, "a")
		d.setReachable("b", "c")
		if err := d.submitAndWait(d.y, edit(0, "theirs")); err != nil {
			t.Fatal(err)
		}
		d.setReachable(majority...)
		if got := outcome(d.waitForResult(d.x)); got != "412" {
			t.Errorf("%v reached: the superseded order has the outcome %s, not 412", majority, got)
		}
		if err := d.submitAndWait(d.y, nil); err != nil || string(d.last.Value.Document) != "theirs" {
			t.Errorf("%v reached: error %v, read %q", majority, err, d.last.Value.Document)
		}
	}
}

func TestRejectionBuildsOnChosenValue(t *testing.T) {
	// Only one disk has accepted y's order. x must not be rejected because of it before it is chosen.
	d := newProposerPair(t)
	d.y.Submit(d.now, d.now+operationTimeout, 9, edit(0, "theirs"))
	sends, _ := d.y.TakeOutput()
	for _, s := range sends {
		r, _ := d.disks[s.Disk].Prepare(s.Msg.(Prepare))
		d.y.OnPromise(d.now, r)
	}
	d.setReachable("a")
	d.dropAccepted = true
	d.deliver(d.y)
	d.dropAccepted = false
	d.setReachable("a", "b")
	if got := outcome(d.submitAndWait(d.x, edit(0, "mine"))); got != "412" {
		t.Errorf("x's order has the outcome %s, not 412", got)
	}
	for _, disks := range [][]string{{"b", "c"}, {"a", "c"}, {"a", "b"}} {
		d.setReachable(disks...)
		if err := d.submitAndWait(d.x, nil); err != nil || string(d.last.Value.Document) != "theirs" {
			t.Errorf("%v: %v, read %q after the rejection", disks, err, d.last.Value.Document)
		}
	}
}

// A proposer that was frozen past the deadline must not propose a change, although promises arrive then.
func TestFrozenProposerStopsAtItsDeadline(t *testing.T) {
	d := newProposerPair(t)
	d.x.Submit(d.now, d.now+operationTimeout, 9, edit(0, "mine"))
	d.x.Submit(d.now, d.now+operationTimeout, 10, edit(0, "queued"))
	sends, _ := d.x.TakeOutput()
	var lateReplies []Promise
	for _, s := range sends {
		r, _ := d.disks[s.Disk].Prepare(s.Msg.(Prepare))
		lateReplies = append(lateReplies, r)
	}
	d.now += 20 * time.Second
	for _, r := range lateReplies {
		d.x.OnPromise(d.now, r)
	}
	sends, results := d.x.TakeOutput()
	if len(sends) != 0 || len(results) != 2 {
		t.Fatalf("%d messages and %d results after the deadline", len(sends), len(results))
	}
	for _, r := range results {
		if got := outcome(r.Err); got != "503 unchanged" {
			t.Errorf("operation %d has the outcome %s, not 503 unchanged", r.ID, got)
		}
	}
}

func TestChosenChangeIsAcknowledgedAfterItsDeadline(t *testing.T) {
	d := newProposerPair(t)
	d.x.Submit(d.now, d.now+operationTimeout, 9, edit(0, "mine"))
	sends, _ := d.x.TakeOutput()
	for _, s := range sends {
		r, _ := d.disks[s.Disk].Prepare(s.Msg.(Prepare))
		d.x.OnPromise(d.now, r)
	}
	sends, _ = d.x.TakeOutput()
	d.now += 20 * time.Second
	for _, s := range sends {
		r, _ := d.disks[s.Disk].Accept(s.Msg.(Accept))
		d.x.OnAccepted(d.now, r)
	}
	if _, results := d.x.TakeOutput(); len(results) != 1 || results[0].Err != nil {
		t.Errorf("a chosen change was not acknowledged: %v", fmt.Sprint(results))
	}
}

func TestQueuedOperationEndsAtItsDeadline(t *testing.T) {
	d := newProposerPair(t)
	d.setReachable()
	d.x.Submit(d.now, d.now+4*time.Second, 1, edit(0, "long"))
	d.x.Submit(d.now, d.now+operationTimeout, 2, nil)
	if outcome(d.waitForResult(d.x)) != "503 unchanged" || d.last.ID != 2 || d.now > operationTimeout+200*time.Millisecond {
		t.Errorf("the first operation to end is %+v at %s", d.last, d.now)
	}
}

func TestExpiredOperationSendsNoMessages(t *testing.T) {
	d := newProposerPair(t)
	d.x.Submit(d.now, d.now, 2, edit(0, "late"))
	if sends, results := d.x.TakeOutput(); len(sends) != 0 || len(results) != 1 || outcome(results[0].Err) != "503 unchanged" {
		t.Errorf("an operation without time left sent %v and ended with %v", sends, results)
	}
}
