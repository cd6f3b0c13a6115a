package register

import (
	"fmt"
	"testing"
	"time"
)

func TestReadOnlyPrepareProposesNothing(t *testing.T) {
	d := newProposerPair(t)
	d.proposeTo(0, "a")
	d.setReachable("a", "b", "c")
	d.y.Submit(d.now, d.now+operationTimeout, 7, nil)
	prepares, _ := d.y.TakeOutput()
	for _, s := range prepares {
		if m := s.Msg.(Prepare); !m.ReadOnly {
			t.Fatalf("a read starts with %+v", m)
		}
		r, _ := d.disks[s.Disk].Prepare(s.Msg.(Prepare))
		d.y.OnPromise(d.now, r)
	}
	sends, results := d.y.TakeOutput()
	if len(results) > 0 {
		t.Fatalf("read %+v, which was not chosen", results[0])
	}
	for _, s := range sends {
		if m, ok := s.Msg.(Prepare); !ok || m.ReadOnly {
			t.Errorf("the read-only round is followed by %+v", s.Msg)
		}
	}
	if got := outcome(d.waitForResult(d.y)); got != "200" {
		t.Errorf("the read has the outcome %s, not 200", got)
	}
}

// changeVoters changes the voters. Unless complete is set, it makes only the first step, which sets NextVoters.
func (d *proposerPair) changeVoters(complete bool, disks ...string) {
	var next []Voter
	for _, disk := range disks {
		if d.disks[disk] == nil {
			d.disks[disk] = &Acceptor{State{Disk: disk}}
		}
		next = append(next, Voter{Disk: disk})
	}
	begin := func(cur *Value) (*Value, error) {
		cur.NextVoters, cur.Epoch = next, cur.Epoch+1
		return cur, nil
	}
	finish := func(cur *Value) (*Value, error) {
		if len(cur.NextVoters) == 0 {
			return nil, nil
		}
		cur.Voters, cur.NextVoters, cur.Epoch = cur.NextVoters, nil, cur.Epoch+1
		return cur, nil
	}
	for _, change := range []Change{begin, finish} {
		d.x.Submit(d.now, d.now+operationTimeout, 3, change)
		if err := d.waitForResult(d.x); err != nil {
			d.t.Fatal(err)
		}
		if !complete {
			return
		}
	}
}

// A reader that knows only the first voters never reads an older value than the confirmed one, however often the voters have changed since.
func TestReadWithOldVotersIsNeverStale(t *testing.T) {
	for seed := range uint64(200) {
		checkReadWithOldVoters(t, seed)
	}
}

func checkReadWithOldVoters(t *testing.T, seed uint64) {
	t.Helper()
	all := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	d := newProposerPair(t)
	stale := NewProposer("z", seed)
	stale.LearnVoters(d.x.known)
	rng := NewProposer("r", seed).rng
	d.setReachable(all...)
	version, confirmed := uint64(0), ""
	for range 6 {
		at := rng.Perm(len(all))
		unreachable := all[rng.IntN(len(all))]
		d.setReachable(all...)
		d.reachable[unreachable] = false
		if len(d.x.known.NextVoters) == 0 {
			d.changeVoters(rng.IntN(3) > 0, all[at[0]], all[at[1]], all[at[2]])
		}
		text := fmt.Sprint("t", version)
		d.x.Submit(d.now, d.now+operationTimeout, 4, edit(version, text))
		if err := d.waitForResult(d.x); err != nil {
			mustBeUnavailable(t, err)
			break
		}
		version, confirmed = version+1, text
		if len(d.x.known.NextVoters) > 0 {
			d.x.Submit(d.now, d.now+operationTimeout, 5, finishVoterChange)
			_ = d.waitForResult(d.x)
		}
	}
	d.setReachable(all...)
	d.reachable[all[rng.IntN(len(all))]] = rng.IntN(2) == 0
	stale.Submit(d.now, d.now+2*time.Second, 6, nil)
	if err := d.waitForResult(stale); err == nil && confirmed != "" && d.last.Value.Version < version {
		t.Fatalf("seed %d: read %q, confirmed was %q", seed, d.last.Value.Document, confirmed)
	}
}

// mustBeUnavailable fails the test for an error that is not due to unreachable voters.
func mustBeUnavailable(t *testing.T, err error) {
	t.Helper()
	if status := outcome(err); status != "503 unchanged" && status != "503 unknown" {
		t.Fatal(err)
	}
}

// finishVoterChange replaces the voters by the next voters.
func finishVoterChange(cur *Value) (*Value, error) {
	cur.Voters, cur.NextVoters, cur.Epoch = cur.NextVoters, nil, cur.Epoch+1
	return cur, nil
}
