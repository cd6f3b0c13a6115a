package register

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// A duel drives two proposers over three disks by hand: x offers an order, and y may be faster.
type duel struct {
	t     *testing.T
	now   time.Duration
	disks map[string]*Acceptor
	x, y  *Proposer
	reach map[string]bool
	deaf  bool
	last  Result
}

const patience = 900 * time.Millisecond

func newDuel(t *testing.T) (d *duel) {
	d = &duel{t: t, disks: map[string]*Acceptor{}, reach: map[string]bool{}}
	var vs []Voter
	for _, disk := range []string{"a", "b", "c"} {
		d.disks[disk] = &Acceptor{State{Disk: disk}}
		vs = append(vs, Voter{Disk: disk})
	}
	first := &Value{Fleet: "f", Voters: vs}
	d.x, d.y = NewProposer("x", 1), NewProposer("y", 2)
	d.only("a", "b", "c")
	d.x.Bootstrap(0, time.Hour, 1, first)
	d.run(d.x, 100*time.Millisecond)
	d.y.Learn(first)
	return d
}

func (d *duel) only(disks ...string) {
	clear(d.reach)
	for _, disk := range disks {
		d.reach[disk] = true
	}
}

// take is an order on base that writes text, with the memory that operators' orders use.
func take(base uint64, text string) (change Change) {
	return func(cur *Value) (*Value, error) {
		if cur.TookEdit(base, text) {
			return nil, nil
		}
		if cur.Mark != base {
			return nil, cur.Refusal(base, cur.Mark)
		}
		cur.Mark++
		cur.Body = []byte(text)
		cur.TakeEdit(base, text)
		return cur, nil
	}
}

// pass carries messages of a proposer to the disks in reach, and the answers back unless it is deaf to Accepted.
func (d *duel) pass(p *Proposer) {
	sends, results := p.TakeOutput()
	for _, r := range results {
		d.last = r
	}
	for _, s := range sends {
		if !d.reach[s.Disk] {
			continue
		}
		switch m := s.Msg.(type) {
		case Prepare:
			r, _ := d.disks[s.Disk].Prepare(m)
			p.OnPromise(d.now, r)
		case Accept:
			r, _ := d.disks[s.Disk].Accept(m)
			if !d.deaf {
				p.OnAccepted(d.now, r)
			}
		}
	}
}

func (d *duel) run(p *Proposer, span time.Duration) {
	for until := d.now + span; d.now < until; d.now += 10 * time.Millisecond {
		p.Tick(d.now)
		d.pass(p)
	}
}

// until runs a proposer until its operation has ended.
func (d *duel) until(p *Proposer, change Change) (err error) {
	p.Submit(d.now, d.now+patience, 7, change, false)
	return d.end(p)
}

func (d *duel) end(p *Proposer) (err error) {
	d.last = Result{}
	for range 200 {
		d.run(p, 10*time.Millisecond)
		if d.last.ID != 0 {
			return d.last.Err
		}
	}
	d.t.Fatal("no answer")
	return nil
}

// expose lets x prepare everywhere, and its order reach only the disks named; x hears no answers.
func (d *duel) expose(base uint64, disks ...string) {
	d.x.Submit(d.now, d.now+patience, 9, take(base, "mine"), false)
	sends, _ := d.x.TakeOutput()
	for _, s := range sends {
		if r, _ := d.disks[s.Disk].Prepare(s.Msg.(Prepare)); d.x.phase == preparing {
			d.x.OnPromise(d.now, r)
		}
	}
	d.only(disks...)
	d.deaf = true
	d.pass(d.x)
	d.deaf = false
	if d.x.phase != accepting {
		d.t.Fatal("nothing was offered")
	}
}

func fateOf(err error) (what string) {
	var unknown *OutcomeUnknownError
	var none *NoQuorumError
	switch {
	case err == nil:
		return "200"
	case errors.As(err, &unknown):
		return "503 unknown"
	case errors.As(err, &none):
		return "503 unchanged"
	}
	return refused(err)
}

func TestExposedAndThenOvertaken(t *testing.T) {
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
			d.x.Submit(d.now, d.now+patience, 9, take(0, "mine"), false)
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

func TestAnOvertakenOrderNeverComesBack(t *testing.T) {
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
		if err := d.until(d.y, nil); err != nil || string(d.last.Value.Body) != "theirs" {
			t.Errorf("%v: %v, reads %q", order, err, d.last.Value.Body)
		}
	}
}

func TestARefusalStandsOnAChosenValue(t *testing.T) {
	// y's order is at one disk only: x must not be refused by it before it is chosen.
	d := newDuel(t)
	d.y.Submit(d.now, d.now+patience, 9, take(0, "theirs"), false)
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
	for _, two := range [][]string{{"a", "b"}, {"a", "c"}, {"b", "c"}} {
		d.only(two...)
		if err := d.until(d.x, nil); err != nil || string(d.last.Value.Body) != "theirs" {
			t.Errorf("%v: %v, reads %q after a refusal", two, err, d.last.Value.Body)
		}
	}
}

func TestAFrozenProposerDoesNotGoOnAfterItsDeadline(t *testing.T) {
	d := newDuel(t)
	d.x.Submit(d.now, d.now+patience, 9, take(0, "mine"), false)
	d.x.Submit(d.now, d.now+patience, 10, take(0, "queued"), false)
	sends, _ := d.x.TakeOutput()
	var late []Promise
	for _, s := range sends {
		r, _ := d.disks[s.Disk].Prepare(s.Msg.(Prepare))
		late = append(late, r)
	}
	d.now += 20 * time.Second
	for _, r := range late {
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

func TestAChangeThatWasChosenIsAcknowledgedAfterItsDeadline(t *testing.T) {
	d := newDuel(t)
	d.x.Submit(d.now, d.now+patience, 9, take(0, "mine"), false)
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
