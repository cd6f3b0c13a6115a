package register

import (
	"testing"
	"time"
)

// Of three voters, one lacks the newest value and one was restored from an older copy of its files, so that these two are a majority without
// the confirmed value. A proposer that knows that the value was chosen must not read an older one or build on one.
func TestRestoredDiskLosesNoKnownValue(t *testing.T) {
	voters := []Voter{{Disk: "a"}, {Disk: "b"}, {Disk: "c"}}
	old := &Value{Fleet: "f", Version: 1, Voters: voters}
	confirmed := &Value{Fleet: "f", Version: 2, Voters: voters}
	for _, change := range []Change{nil, func(cur *Value) (*Value, error) { cur.Version++; return cur, nil }} {
		disks := map[string]*Acceptor{}
		for _, d := range []string{"b", "c"} {
			disks[d] = &Acceptor{State{Disk: d, Promised: Ballot{N: 1}, Accepted: Ballot{N: 1}, Value: old}}
		}
		p := NewProposer("p", 1)
		p.LearnChosen(confirmed)
		p.Submit(0, time.Second, 1, change)
		r := runAlone(p, disks)
		if r == nil || r.Err != nil || r.Value.Version < confirmed.Version {
			t.Fatalf("the operation lost the confirmed value: %+v", r)
		}
		if change != nil && r.Value.Version != confirmed.Version+1 {
			t.Fatalf("a change builds on version %d", r.Value.Version-1)
		}
		for _, d := range disks {
			if d.Value.Version < confirmed.Version {
				t.Errorf("%s still has version %d", d.Disk, d.Value.Version)
			}
		}
	}
}

// runAlone delivers messages to the given disks without delay, until the proposer's operation has ended.
func runAlone(p *Proposer, disks map[string]*Acceptor) *Result {
	for now := time.Duration(0); now < time.Second; now += time.Millisecond {
		sends, results := p.TakeOutput()
		if len(results) > 0 {
			return &results[0]
		}
		for _, s := range sends {
			a := disks[s.Disk]
			if a == nil {
				continue
			}
			switch m := s.Msg.(type) {
			case Prepare:
				promise, _ := a.Prepare(m)
				p.OnPromise(now, promise)
			case Accept:
				accepted, _ := a.Accept(m)
				p.OnAccepted(now, accepted)
			}
		}
		p.Tick(now)
	}
	return nil
}
