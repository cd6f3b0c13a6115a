package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

const ms = time.Millisecond

type post struct {
	at time.Duration
	do func()
}

// A rig plays one role, several holders whose views of the voters lag, and granters that restart, on clocks that drift.
type rig struct {
	rng      *rand.Rand
	now      time.Duration
	posts    []post
	granters map[string]*Grantor
	holders  []*Holder
	drift    []float64
	views    []*register.Value
	seats    *register.Value
}

func (r *rig) at(d time.Duration, do func()) { r.posts = append(r.posts, post{at: r.now + d, do: do}) }

func (r *rig) clock(i int) time.Duration { return time.Duration(float64(r.now) * r.drift[i]) }

func (r *rig) carry(i int, sends []Send) {
	for _, s := range sends {
		if r.rng.IntN(10) == 0 {
			continue
		}
		r.at(time.Duration(r.rng.IntN(60))*ms, func() {
			g := r.granters[s.Disk]
			switch m := s.Msg.(type) {
			case Request:
				grant, _ := g.HandleRequest(r.now, m)
				r.at(time.Duration(r.rng.IntN(60))*ms, func() { r.holders[i].OnGrant(r.clock(i), grant, r.views[i]) })
			case Release:
				g.HandleRelease(m)
			}
		})
	}
}

func (r *rig) reseat() {
	if len(r.seats.NextVoters) > 0 {
		r.seats = &register.Value{Epoch: r.seats.Epoch + 1, Voters: r.seats.NextVoters}
	} else {
		var next []register.Voter
		for _, d := range r.rng.Perm(5)[:3] {
			next = append(next, register.Voter{Disk: fmt.Sprint(d)})
		}
		r.seats = &register.Value{Epoch: r.seats.Epoch + 1, Voters: r.seats.Voters, NextVoters: next}
	}
	for _, v := range r.seats.AllVoters() {
		if r.rng.IntN(4) > 0 || !register.Quorum(r.seats, func(d string) bool { return r.granters[d].epoch == r.seats.Epoch }) {
			r.granters[v.Disk].ChangeEpoch(r.now, r.seats.Epoch)
		}
	}
	voters := r.seats
	for i := range r.holders {
		r.at(time.Duration(r.rng.IntN(9000))*ms, func() {
			if voters.Epoch > r.views[i].Epoch {
				r.views[i] = voters
			}
		})
	}
}

func (r *rig) step() {
	due := r.posts[:0:0]
	kept := r.posts[:0]
	for _, p := range r.posts {
		if p.at <= r.now {
			due = append(due, p)
		} else {
			kept = append(kept, p)
		}
	}
	r.posts = kept
	for _, p := range due {
		p.do()
	}
}

func TestNeverTwoHolders(t *testing.T) {
	heldSteps := 0
	for seed := range uint64(150) {
		r := newRig(seed)
		for r.now = 0; r.now < 2*time.Minute; r.now += 10 * ms {
			r.step()
			r.disturb()
			holders := r.acquire()
			if len(holders) > 1 {
				t.Fatalf("seed %d at %s: %v hold it, epoch %d", seed, r.now, holders, r.seats.Epoch)
			}
			heldSteps += len(holders)
		}
	}
	if heldSteps < 150*3000 {
		t.Errorf("held in %d steps only", heldSteps)
	}
}

// newRig has five disks, three of them voters, and four holders whose clocks drift.
func newRig(seed uint64) *rig {
	r := &rig{rng: rand.New(rand.NewPCG(seed, 1)), granters: map[string]*Grantor{}, seats: &register.Value{Epoch: 1}}
	for d := range 5 {
		r.granters[fmt.Sprint(d)] = NewGrantor(fmt.Sprint(d), nil, 0)
	}
	for d := range 3 {
		r.seats.Voters = append(r.seats.Voters, register.Voter{Disk: fmt.Sprint(d)})
		r.granters[fmt.Sprint(d)].ChangeEpoch(0, 1)
	}
	for i := range 4 {
		r.holders, r.views = append(r.holders, NewHolder(fmt.Sprint("h", i), seed*10+uint64(i))), append(r.views, r.seats)
		r.drift = append(r.drift, 0.95+0.1*r.rng.Float64())
	}
	return r
}

// disturb changes the voters now and then, and restarts a grantor.
func (r *rig) disturb() {
	if r.rng.IntN(500) == 0 {
		r.reseat()
	}
	if r.rng.IntN(150) == 0 {
		d := fmt.Sprint(r.rng.IntN(5))
		old := r.granters[d]
		r.granters[d] = NewGrantor(d, old.Records(), r.now+TTL)
		r.granters[d].ChangeEpoch(r.now, old.epoch)
	}
}

// acquire has the holders ask for the lease now and then, and names those that hold it.
func (r *rig) acquire() []string {
	var holders []string
	for i, h := range r.holders {
		if r.rng.IntN(5) == 0 && int(r.now/(7*time.Second))%4 != i {
			r.carry(i, h.Acquire(r.clock(i), "d", r.views[i]))
		}
		if _, ok := h.Holds(r.clock(i), "d"); ok {
			holders = append(holders, h.Name)
		}
	}
	return holders
}
