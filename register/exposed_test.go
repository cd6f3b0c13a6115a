package register

import (
	"fmt"
	"testing"
	"time"
)

func TestProposedAndThenSuperseded(t *testing.T) {
	for _, c := range []struct {
		row    string
		accept []string
		rival  bool
		sees   []string
		want   string
		repeat string
	}{
		{"1: nobody was asked, no majority in reach", nil, false, []string{"a"}, "503 unchanged", "200"},
		{"2: a minority accepted, no majority since", []string{"a"}, false, []string{"a"}, "503 unknown", "200"},
		{"3: a minority accepted, found again", []string{"a"}, false, []string{"a", "b"}, "200", "200"},
		{"4: a minority accepted, not found: offered anew", []string{"a"}, false, []string{"b", "c"}, "200", "200"},
		{"5: a minority accepted, another order was chosen without it", []string{"a"}, true, []string{"a", "b", "c"}, "412", "412"},
		{"6: a majority accepted, answers lost, then found", []string{"a", "b"}, false, []string{"a", "c"}, "200", "200"},
		{"7: a majority accepted, answers lost, no majority since", []string{"a", "b"}, false, []string{"c"}, "503 unknown", "200"},
		{"8: a majority accepted, then another order on top of it", []string{"a", "b"}, true, []string{"a", "b", "c"}, "200", "200"},
	} {
		d := newDuel(t)
		if c.accept == nil {
			d.only(c.sees...)
			d.x.Submit(d.now, d.now+operationTimeout, 9, take(0, "mine"))
		} else {
			d.expose(0, c.accept...)
		}
		if c.rival {
			d.only("b", "c")
			base := uint64(len(c.accept) / 2)
			if err := d.until(d.y, take(base, "theirs")); err != nil {
				t.Fatalf("%s: the rival: %v", c.row, err)
			}
		}
		d.only(c.sees...)
		if got := fateOf(d.end(d.x)); got != c.want {
			t.Errorf("%s: %s, not %s", c.row, got, c.want)
		}
		d.only("a", "b", "c")
		if got := fateOf(d.until(d.y, take(0, "mine"))); got != c.repeat {
			t.Errorf("%s: the repeat elsewhere: %s, not %s", c.row, got, c.repeat)
		}
	}
}

func TestSupersededOrderNeverReturns(t *testing.T) {
	for _, order := range [][]string{{"a", "b"}, {"a", "c"}, {"b", "c"}} {
		d := newDuel(t)
		d.expose(0, "a")
		d.only("b", "c")
		if err := d.until(d.y, take(0, "theirs")); err != nil {
			t.Fatal(err)
		}
		d.only(order...)
		if got := fateOf(d.end(d.x)); got != "412" {
			t.Errorf("%v: %s", order, got)
		}
		if err := d.until(d.y, nil); err != nil || string(d.last.Value.Document) != "theirs" {
			t.Errorf("%v: %v, reads %q", order, err, d.last.Value.Document)
		}
	}
}

func TestRejectionBuildsOnChosenValue(t *testing.T) {
	// y's order is at one disk only: x must not be refused by it before it is chosen.
	d := newDuel(t)
	d.y.Submit(d.now, d.now+operationTimeout, 9, take(0, "theirs"))
	sends, _ := d.y.TakeOutput()
	for _, s := range sends {
		r, _ := d.disks[s.Disk].Prepare(s.Msg.(Prepare))
		d.y.OnPromise(d.now, r)
	}
	d.only("a")
	d.deaf = true
	d.pass(d.y)
	d.deaf = false
	d.only("a", "b")
	if got := fateOf(d.until(d.x, take(0, "mine"))); got != "412" {
		t.Errorf("%s", got)
	}
	for _, two := range [][]string{{"b", "c"}, {"a", "c"}, {"a", "b"}} {
		d.only(two...)
		if err := d.until(d.x, nil); err != nil || string(d.last.Value.Document) != "theirs" {
			t.Errorf("%v: %v, reads %q after a refusal", two, err, d.last.Value.Document)
		}
	}
}

func TestFrozenProposerStopsAtItsDeadline(t *testing.T) {
	d := newDuel(t)
	d.x.Submit(d.now, d.now+operationTimeout, 9, take(0, "mine"))
	d.x.Submit(d.now, d.now+operationTimeout, 10, take(0, "queued"))
	sends, _ := d.x.TakeOutput()
	var overdue []Promise
	for _, s := range sends {
		r, _ := d.disks[s.Disk].Prepare(s.Msg.(Prepare))
		overdue = append(overdue, r)
	}
	d.now += 20 * time.Second
	for _, r := range overdue {
		d.x.OnPromise(d.now, r)
	}
	sends, results := d.x.TakeOutput()
	if len(sends) != 0 || len(results) != 2 {
		t.Fatalf("%d messages and %d answers after the deadline", len(sends), len(results))
	}
	for _, r := range results {
		if got := fateOf(r.Err); got != "503 unchanged" {
			t.Errorf("%d: %s", r.ID, got)
		}
	}
}

func TestChosenChangeIsAcknowledgedAfterItsDeadline(t *testing.T) {
	d := newDuel(t)
	d.x.Submit(d.now, d.now+operationTimeout, 9, take(0, "mine"))
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
		t.Errorf("%v", fmt.Sprint(results))
	}
}

func TestQueuedOperationIsAnsweredInTime(t *testing.T) {
	d := newDuel(t)
	d.only()
	d.x.Submit(d.now, d.now+4*time.Second, 1, take(0, "long"))
	d.x.Submit(d.now, d.now+operationTimeout, 2, nil)
	if fateOf(d.end(d.x)) != "503 unchanged" || d.last.ID != 2 || d.now > operationTimeout+200*time.Millisecond {
		t.Errorf("%+v at %s", d.last, d.now)
	}
}

func TestExpiredOperationAsksNobody(t *testing.T) {
	d := newDuel(t)
	d.x.Submit(d.now, d.now, 2, take(0, "late"))
	if sends, results := d.x.TakeOutput(); len(sends) != 0 || len(results) != 1 || fateOf(results[0].Err) != "503 unchanged" {
		t.Errorf("%v %v", sends, results)
	}
}
