package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

// faultySimulation is a simulation with more faults: the grantors' clocks drift too, messages may be duplicated or wait for seconds in the
// socket of a frozen machine, and holders freeze and handle the messages that arrived meanwhile when they resume.
type faultySimulation struct {
	simulation
	grantorDrift map[string]float64
	// frozen is the time until which each holder is frozen.
	frozen []time.Duration
	// newest is the newest token under which a holder has had the role.
	newest Token
}

const (
	// clockError is the fraction by which each clock may run fast or slow. Over TTL, two clocks then differ by at most DriftMargin.
	clockError = 0.05
	longDelay  = 5 * time.Second
)

func (s *faultySimulation) grantorClock(disk string) time.Duration {
	return time.Duration(float64(s.now) * s.grantorDrift[disk])
}

// delay returns a random message delay, which is up to longDelay for one message in 20.
func (s *faultySimulation) delay() time.Duration {
	if s.rng.IntN(20) == 0 {
		return time.Duration(s.rng.Int64N(int64(longDelay)))
	}
	return time.Duration(s.rng.IntN(60)) * ms
}

// deliver delivers messages of holder i after random delays. It loses one in ten and duplicates one in ten.
func (s *faultySimulation) deliver(i int, sends []Send) {
	for _, send := range sends {
		copies := []int{1, 1, 1, 1, 1, 1, 1, 1, 2, 0}[s.rng.IntN(10)]
		for range copies {
			s.at(s.delay(), func() { s.handle(i, send) })
		}
	}
}

// handle passes a message of holder i to its grantor.
func (s *faultySimulation) handle(i int, send Send) {
	g := s.grantors[send.Disk]
	switch m := send.Msg.(type) {
	case Request:
		grant, _ := g.HandleRequest(s.grantorClock(send.Disk), m)
		s.at(s.delay(), func() { s.deliverGrant(i, grant) })
	case Release:
		g.HandleRelease(m)
	}
}

// deliverGrant delivers a grant to holder i, after it resumes if it is frozen.
func (s *faultySimulation) deliverGrant(i int, grant Grant) {
	if wait := s.frozen[i] - s.now; wait > 0 {
		s.at(wait, func() { s.deliverGrant(i, grant) })
		return
	}
	s.holders[i].OnGrant(s.clock(i), grant, s.views[i])
}

// changeVoters begins a change of the voter set to three random disks, or completes the change in progress. Holders learn
// of it later, and some voters not at all.
func (s *faultySimulation) changeVoters() {
	if len(s.voters.NextVoters) > 0 {
		s.voters = &register.Value{Epoch: s.voters.Epoch + 1, Voters: s.voters.NextVoters}
	} else {
		var next []register.Voter
		for _, d := range s.rng.Perm(5)[:3] {
			next = append(next, register.Voter{Disk: fmt.Sprint(d)})
		}
		s.voters = &register.Value{Epoch: s.voters.Epoch + 1, Voters: s.voters.Voters, NextVoters: next}
	}
	// While there are two voter sets, a change must be accepted by quorums of both. Only the value that begins a change needs the current
	// voters alone.
	needed := *s.voters
	if len(needed.NextVoters) > 0 {
		needed.NextVoters = nil
	}
	accepted := func(d string) bool { return s.grantors[d].epoch == s.voters.Epoch }
	for _, index := range s.rng.Perm(5) {
		disk := fmt.Sprint(index)
		if isVoter(s.voters, disk) && (s.rng.IntN(4) > 0 || !register.Quorum(&needed, accepted)) {
			s.grantors[disk].ChangeEpoch(s.grantorClock(disk), s.voters.Epoch)
		}
	}
	voters := s.voters
	for i := range s.holders {
		s.at(time.Duration(s.rng.IntN(9000))*ms, func() {
			if voters.Epoch > s.views[i].Epoch {
				s.views[i] = voters
			}
		})
	}
}

func isVoter(v *register.Value, disk string) bool {
	var found bool
	for _, voter := range v.AllVoters() {
		found = found || voter.Disk == disk
	}
	return found
}

func newFaultySimulation(seed uint64) *faultySimulation {
	s := &faultySimulation{simulation: simulation{rng: rand.New(rand.NewPCG(seed, 9)), grantors: map[string]*Grantor{}, voters: &register.Value{Epoch: seed % 2}}, grantorDrift: map[string]float64{}}
	drift := func() float64 { return 1 - clockError + 2*clockError*s.rng.Float64() }
	for i := range 5 {
		d := fmt.Sprint(i)
		s.grantors[d], s.grantorDrift[d] = NewGrantor(d, nil, 0), drift()
		if i < 3 {
			s.voters.Voters = append(s.voters.Voters, register.Voter{Disk: d})
			s.grantors[d].ChangeEpoch(0, s.voters.Epoch)
		}
	}
	for i := range 4 {
		s.holders, s.views = append(s.holders, NewHolder(fmt.Sprint("h", i), seed*10+uint64(i))), append(s.views, s.voters)
		s.drift, s.frozen = append(s.drift, drift()), append(s.frozen, 0)
	}
	return s
}

// injectFault occasionally changes the voter set, restarts a grantor or freezes a holder.
func (s *faultySimulation) injectFault() {
	if s.rng.IntN(500) == 0 {
		s.changeVoters()
	}
	if s.rng.IntN(150) == 0 {
		d := fmt.Sprint(s.rng.IntN(5))
		old, now := s.grantors[d], s.grantorClock(d)
		s.grantors[d] = NewGrantor(d, old.Records(), now+TTL)
		s.grantors[d].ChangeEpoch(now, old.epoch)
	}
	if s.rng.IntN(200) == 0 {
		s.frozen[s.rng.IntN(len(s.frozen))] = s.now + time.Duration(s.rng.Int64N(int64(8*time.Second)))
	}
}

// play simulates one minute and returns the number of steps in which the role was held.
func (s *faultySimulation) play(t *testing.T, seed uint64) int {
	var heldSteps int
	for s.now = 0; s.now < time.Minute; s.now += 10 * ms {
		s.step()
		s.injectFault()
		var holders []string
		for i, h := range s.holders {
			if s.frozen[i] <= s.now && s.rng.IntN(5) == 0 {
				s.requestOrRelease(i, h)
			}
			token, ok := h.Holds(s.clock(i), "d")
			if !ok {
				continue
			}
			holders = append(holders, h.Name)
			if token.Less(s.newest) {
				t.Fatalf("seed %d at %s: %s holds the role under %v after %v", seed, s.now, h.Name, token, s.newest)
			}
			s.newest = token
		}
		if len(holders) > 1 {
			t.Fatalf("seed %d at %s: %v hold the role, epoch %d", seed, s.now, holders, s.voters.Epoch)
		}
		heldSteps += len(holders)
	}
	return heldSteps
}

// requestOrRelease lets a holder request the lease, or occasionally release it.
func (s *faultySimulation) requestOrRelease(i int, h *Holder) {
	if s.rng.IntN(400) == 0 {
		s.deliver(i, h.Release("d", s.views[i]))
		return
	}
	s.deliver(i, h.Acquire(s.clock(i), "d", s.views[i]))
}

// TestNeverTwoHoldersInAStorm checks that at most one holder has the role at any time and that tokens never decrease, under the faults
// of a faultySimulation.
func TestNeverTwoHoldersInAStorm(t *testing.T) {
	const seeds = 1000
	heldSteps := 0
	for seed := range uint64(seeds) {
		heldSteps += newFaultySimulation(seed).play(t, seed)
	}
	t.Logf("%d seeds, role held in %d of %d steps", seeds, heldSteps, seeds*6000)
	if heldSteps < seeds*1000 {
		t.Errorf("the role was held in only %d steps: the test proves little", heldSteps)
	}
}
