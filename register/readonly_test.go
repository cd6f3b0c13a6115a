package register

import (
	"fmt"
	"testing"
	"time"
)

func TestReadOnlyPrepareProposesNothing(t *testing.T) {
	d := newDuel(t)
	d.expose(0, "a")
	d.only("a", "b", "c")
	d.y.Submit(d.now, d.now+operationTimeout, 7, nil)
	looks, _ := d.y.TakeOutput()
	for _, s := range looks {
		if m := s.Msg.(Prepare); !m.ReadOnly {
			t.Fatalf("a read begins with %+v", m)
		}
		r, _ := d.disks[s.Disk].Prepare(s.Msg.(Prepare))
		d.y.OnPromise(d.now, r)
	}
	sends, results := d.y.TakeOutput()
	if len(results) > 0 {
		t.Fatalf("%+v was read while it was chosen by nobody", results[0])
	}
	for _, s := range sends {
		if m, ok := s.Msg.(Prepare); !ok || m.ReadOnly {
			t.Errorf("a look goes on with %+v", s.Msg)
		}
	}
	if got := fateOf(d.end(d.y)); got != "200" {
		t.Error(got)
	}
}

// changeVoters makes a change of voters, the whole of it or only its first half.
func (d *duel) changeVoters(complete bool, disks ...string) {
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
		if err := d.end(d.x); err != nil {
			d.t.Fatal(err)
		}
		if !complete {
			return
		}
	}
}

// A reader that knows only the first voters never reads an older value than was confirmed, however many sets have followed.
func TestReadWithOldVotersIsNeverStale(t *testing.T) {
	for seed := range uint64(200) {
		checkReadWithOldVoters(t, seed)
	}
}

func checkReadWithOldVoters(t *testing.T, seed uint64) {
	t.Helper()
	all := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	d := newDuel(t)
	stale := NewProposer("z", seed)
	stale.LearnVoters(d.x.voters)
	rng := NewProposer("r", seed).rng
	d.only(all...)
	version, confirmed := uint64(0), ""
	for range 6 {
		at := rng.Perm(len(all))
		away := all[rng.IntN(len(all))]
		d.only(all...)
		d.reach[away] = false
		if len(d.x.voters.NextVoters) == 0 {
			d.changeVoters(rng.IntN(3) > 0, all[at[0]], all[at[1]], all[at[2]])
		}
		text := fmt.Sprint("t", version)
		d.x.Submit(d.now, d.now+operationTimeout, 4, take(version, text))
		if err := d.end(d.x); err != nil {
			mustBeUnavailable(t, err)
			break
		}
		version, confirmed = version+1, text
		if len(d.x.voters.NextVoters) > 0 {
			d.x.Submit(d.now, d.now+operationTimeout, 5, seatNext)
			_ = d.end(d.x)
		}
	}
	d.only(all...)
	d.reach[all[rng.IntN(len(all))]] = rng.IntN(2) == 0
	stale.Submit(d.now, d.now+2*time.Second, 6, nil)
	if err := d.end(stale); err == nil && confirmed != "" && d.last.Value.Version < version {
		t.Fatalf("seed %d: read %q, %q was confirmed", seed, d.last.Value.Document, confirmed)
	}
}

// mustBeUnavailable fails for an error that isn't one of voters out of reach.
func mustBeUnavailable(t *testing.T, err error) {
	t.Helper()
	if fate := fateOf(err); fate != "503 unchanged" && fate != "503 unknown" {
		t.Fatal(err)
	}
}

// seatNext lets the next voters take over.
func seatNext(cur *Value) (*Value, error) {
	cur.Voters, cur.NextVoters, cur.Epoch = cur.NextVoters, nil, cur.Epoch+1
	return cur, nil
}
