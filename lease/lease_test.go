package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

const ms = time.Millisecond

// event is an action that happens at a time of the simulation.
type event struct {
	at time.Duration
	do func()
}

// simulation contains one role, holders that learn of changes of the voter set with a delay and whose clocks drift, and grantors that restart.
type simulation struct {
	rng      *rand.Rand
	now      time.Duration
	events   []event
	grantors map[string]*Grantor
	holders  []*Holder
	drift    []float64
	// views contains the voter set that each holder knows; voters is the newest voter set.
	views  []*register.Value
	voters *register.Value
}

// at schedules do after the duration d.
func (s *simulation) at(d time.Duration, do func()) {
	s.events = append(s.events, event{at: s.now + d, do: do})
}

// clock returns the time on the clock of holder i.
func (s *simulation) clock(i int) time.Duration { return time.Duration(float64(s.now) * s.drift[i]) }

// deliver delivers messages of holder i after a random delay and loses one in ten.
func (s *simulation) deliver(i int, sends []Send) {
	for _, send := range sends {
		if s.rng.IntN(10) == 0 {
			continue
		}
		s.at(time.Duration(s.rng.IntN(60))*ms, func() {
			g := s.grantors[send.Disk]
			switch m := send.Msg.(type) {
			case Request:
				grant, _ := g.HandleRequest(s.now, m)
				s.at(time.Duration(s.rng.IntN(60))*ms, func() { s.holders[i].OnGrant(s.clock(i), grant, s.views[i]) })
			case Release:
				g.HandleRelease(m)
			}
		})
	}
}

// changeVoters begins a change of the voter set to three random disks, or completes the change in progress.
func (s *simulation) changeVoters() {
	if len(s.voters.NextVoters) > 0 {
		s.voters = &register.Value{Epoch: s.voters.Epoch + 1, Voters: s.voters.NextVoters}
	} else {
		var next []register.Voter
		for _, d := range s.rng.Perm(5)[:3] {
			next = append(next, register.Voter{Disk: fmt.Sprint(d)})
		}
		s.voters = &register.Value{Epoch: s.voters.Epoch + 1, Voters: s.voters.Voters, NextVoters: next}
	}
	for _, v := range s.voters.AllVoters() {
		if s.rng.IntN(4) > 0 || !register.Quorum(s.voters, func(d string) bool { return s.grantors[d].epoch == s.voters.Epoch }) {
			s.grantors[v.Disk].ChangeEpoch(s.now, s.voters.Epoch)
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

// step runs the events whose time has come.
func (s *simulation) step() {
	due := s.events[:0:0]
	kept := s.events[:0]
	for _, e := range s.events {
		if e.at <= s.now {
			due = append(due, e)
		} else {
			kept = append(kept, e)
		}
	}
	s.events = kept
	for _, e := range due {
		e.do()
	}
}

// TestNeverTwoHolders checks that at most one holder has the role at any time, through lost messages, drifting clocks, restarts of grantors
// and changes of the voter set.
func TestNeverTwoHolders(t *testing.T) {
	heldSteps := 0
	for seed := range uint64(150) {
		s := newSimulation(seed)
		for s.now = 0; s.now < 2*time.Minute; s.now += 10 * ms {
			s.step()
			s.injectFault()
			holders := s.acquire()
			if len(holders) > 1 {
				t.Fatalf("seed %d at %s: %v hold the role, epoch %d", seed, s.now, holders, s.voters.Epoch)
			}
			heldSteps += len(holders)
		}
	}
	if heldSteps < 150*3000 {
		t.Errorf("the role was held in only %d steps", heldSteps)
	}
}

// newSimulation returns a simulation with five disks, three of which are voters, and four holders whose clocks drift.
func newSimulation(seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), grantors: map[string]*Grantor{}, voters: &register.Value{Epoch: 1}}
	for d := range 5 {
		s.grantors[fmt.Sprint(d)] = NewGrantor(fmt.Sprint(d), nil, 0)
	}
	for d := range 3 {
		s.voters.Voters = append(s.voters.Voters, register.Voter{Disk: fmt.Sprint(d)})
		s.grantors[fmt.Sprint(d)].ChangeEpoch(0, 1)
	}
	for i := range 4 {
		s.holders, s.views = append(s.holders, NewHolder(fmt.Sprint("h", i), seed*10+uint64(i))), append(s.views, s.voters)
		s.drift = append(s.drift, 0.95+0.1*s.rng.Float64())
	}
	return s
}

// injectFault occasionally changes the voter set or restarts a grantor.
func (s *simulation) injectFault() {
	if s.rng.IntN(500) == 0 {
		s.changeVoters()
	}
	if s.rng.IntN(150) == 0 {
		d := fmt.Sprint(s.rng.IntN(5))
		old := s.grantors[d]
		s.grantors[d] = NewGrantor(d, old.Records(), s.now+TTL)
		s.grantors[d].ChangeEpoch(s.now, old.epoch)
	}
}

// acquire lets random holders request the lease, and returns the names of those that hold it.
func (s *simulation) acquire() []string {
	var holders []string
	for i, h := range s.holders {
		if s.rng.IntN(5) == 0 && int(s.now/(7*time.Second))%4 != i {
			s.deliver(i, h.Acquire(s.clock(i), "d", s.views[i]))
		}
		if _, ok := h.Holds(s.clock(i), "d"); ok {
			holders = append(holders, h.Name)
		}
	}
	return holders
}
