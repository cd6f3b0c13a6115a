package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

// A storm is a rig of lease_test.go whose granters' clocks drift as well, whose messages may be doubled or wait for seconds in the socket of a machine
// that stands still, and whose holders freeze: what reached them before is handled after.
type storm struct {
	rig
	granterDrift map[string]float64
	frozen       []time.Duration
	// newest is the newest token under which anyone held the role.
	newest Token
}

const (
	// clockError is how far each clock may run fast or slow; two of them differ by Drift of TTL at most.
	clockError = 0.05
	longDelay  = 5 * time.Second
)

func (s *storm) granterClock(disk string) time.Duration {
	return time.Duration(float64(s.now) * s.granterDrift[disk])
}

func (s *storm) delay() time.Duration {
	if s.rng.IntN(20) == 0 {
		return time.Duration(s.rng.Int64N(int64(longDelay)))
	}
	return time.Duration(s.rng.IntN(60)) * ms
}

func (s *storm) carry(i int, sends []Send) {
	for _, send := range sends {
		copies := []int{1, 1, 1, 1, 1, 1, 1, 1, 2, 0}[s.rng.IntN(10)]
		for range copies {
			s.at(s.delay(), func() { s.arrive(i, send) })
		}
	}
}

func (s *storm) arrive(i int, send Send) {
	g := s.granters[send.Disk]
	switch m := send.Msg.(type) {
	case Request:
		grant, _ := g.HandleRequest(s.granterClock(send.Disk), m)
		s.at(s.delay(), func() { s.answer(i, grant) })
	case Release:
		g.HandleRelease(m)
	}
}

// answer waits while the holder is frozen.
func (s *storm) answer(i int, grant Grant) {
	if wait := s.frozen[i] - s.now; wait > 0 {
		s.at(wait, func() { s.answer(i, grant) })
		return
	}
	s.holders[i].OnGrant(s.clock(i), grant, s.views[i])
}

func (s *storm) reseat() {
	if len(s.seats.NextVoters) > 0 {
		s.seats = &register.Value{Epoch: s.seats.Epoch + 1, Voters: s.seats.NextVoters}
	} else {
		var next []register.Voter
		for _, d := range s.rng.Perm(5)[:3] {
			next = append(next, register.Voter{Disk: fmt.Sprint(d)})
		}
		s.seats = &register.Value{Epoch: s.seats.Epoch + 1, Voters: s.seats.Voters, NextVoters: next}
	}
	// A change is accepted by both sets where there are two; the accept that begins a change needs the present ones alone.
	needed := *s.seats
	if len(needed.NextVoters) > 0 {
		needed.NextVoters = nil
	}
	accepted := func(d string) bool { return s.granters[d].epoch == s.seats.Epoch }
	for _, at := range s.rng.Perm(5) {
		disk := fmt.Sprint(at)
		if isSeated(s.seats, disk) && (s.rng.IntN(4) > 0 || !register.Quorum(&needed, accepted)) {
			s.granters[disk].ChangeEpoch(s.granterClock(disk), s.seats.Epoch)
		}
	}
	voters := s.seats
	for i := range s.holders {
		s.at(time.Duration(s.rng.IntN(9000))*ms, func() {
			if voters.Epoch > s.views[i].Epoch {
				s.views[i] = voters
			}
		})
	}
}

func isSeated(v *register.Value, disk string) bool {
	var yes bool
	for _, o := range v.AllVoters() {
		yes = yes || o.Disk == disk
	}
	return yes
}

func newStorm(seed uint64) *storm {
	s := &storm{rig: rig{rng: rand.New(rand.NewPCG(seed, 9)), granters: map[string]*Grantor{}, seats: &register.Value{Epoch: seed % 2}}, granterDrift: map[string]float64{}}
	drift := func() float64 { return 1 - clockError + 2*clockError*s.rng.Float64() }
	for i := range 5 {
		d := fmt.Sprint(i)
		s.granters[d], s.granterDrift[d] = NewGrantor(d, nil, 0), drift()
		if i < 3 {
			s.seats.Voters = append(s.seats.Voters, register.Voter{Disk: d})
			s.granters[d].ChangeEpoch(0, s.seats.Epoch)
		}
	}
	for i := range 4 {
		s.holders, s.views = append(s.holders, NewHolder(fmt.Sprint("h", i), seed*10+uint64(i))), append(s.views, s.seats)
		s.drift, s.frozen = append(s.drift, drift()), append(s.frozen, 0)
	}
	return s
}

func (s *storm) injectFault() {
	if s.rng.IntN(500) == 0 {
		s.reseat()
	}
	if s.rng.IntN(150) == 0 {
		d := fmt.Sprint(s.rng.IntN(5))
		old, now := s.granters[d], s.granterClock(d)
		s.granters[d] = NewGrantor(d, old.Records(), now+TTL)
		s.granters[d].ChangeEpoch(now, old.epoch)
	}
	if s.rng.IntN(200) == 0 {
		s.frozen[s.rng.IntN(len(s.frozen))] = s.now + time.Duration(s.rng.Int64N(int64(8*time.Second)))
	}
}

// play runs a minute and returns the steps in which someone held the role.
func (s *storm) play(t *testing.T, seed uint64) int {
	var current int
	for s.now = 0; s.now < time.Minute; s.now += 10 * ms {
		s.step()
		s.injectFault()
		var holders []string
		for i, h := range s.holders {
			if s.frozen[i] <= s.now && s.rng.IntN(5) == 0 {
				s.act(i, h)
			}
			token, ok := h.Holds(s.clock(i), "d")
			if !ok {
				continue
			}
			holders = append(holders, h.Name)
			if token.Less(s.newest) {
				t.Fatalf("seed %d at %s: %s holds it under %v after %v", seed, s.now, h.Name, token, s.newest)
			}
			s.newest = token
		}
		if len(holders) > 1 {
			t.Fatalf("seed %d at %s: %v hold it, epoch %d", seed, s.now, holders, s.seats.Epoch)
		}
		current += len(holders)
	}
	return current
}

// act has a holder ask, or now and then give the role up.
func (s *storm) act(i int, h *Holder) {
	if s.rng.IntN(400) == 0 {
		s.carry(i, h.Release("d", s.views[i]))
		return
	}
	s.carry(i, h.Acquire(s.clock(i), "d", s.views[i]))
}

func TestNeverTwoHoldersInAStorm(t *testing.T) {
	const seeds = 1000
	current := 0
	for seed := range uint64(seeds) {
		current += newStorm(seed).play(t, seed)
	}
	t.Logf("%d seeds, held in %d of %d steps", seeds, current, seeds*6000)
	if current < seeds*1000 {
		t.Errorf("held in %d steps only: the test proves little", current)
	}
}
