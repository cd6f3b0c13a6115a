package register

import (
	"slices"
	"testing"
	"time"
)

// rivals are a fast proposer that changes the register again and again, and a slow one, each of whose messages takes hop.
type rivals struct {
	*duel
	hop  time.Duration
	mail []envelope
}

type envelope struct {
	at time.Duration
	do func()
}

// send carries the slow proposer's messages and the answers to them, each after a hop.
func (r *rivals) send() {
	sends, results := r.x.TakeOutput()
	for _, got := range results {
		r.last = got
	}
	for _, s := range sends {
		disk := r.disks[s.Disk]
		r.later(func() {
			switch m := s.Msg.(type) {
			case Prepare:
				answer, _ := disk.Prepare(m)
				r.later(func() { r.x.OnPromise(r.now, answer) })
			case Accept:
				answer, _ := disk.Accept(m)
				r.later(func() { r.x.OnAccepted(r.now, answer) })
			}
		})
	}
}

func (r *rivals) later(do func()) { r.mail = append(r.mail, envelope{at: r.now + r.hop, do: do}) }

// step takes one millisecond.
func (r *rivals) step() {
	r.now += time.Millisecond
	r.x.Tick(r.now)
	due := slices.DeleteFunc(slices.Clone(r.mail), func(l envelope) bool { return l.at > r.now })
	r.mail = slices.DeleteFunc(r.mail, func(l envelope) bool { return l.at <= r.now })
	for _, l := range due {
		l.do()
	}
	r.send()
}

// TestChangeIsNotStarvedByOthers lets a rival change the register every 40 to 60 ms, as operators of a storm do at other nodes. A change
// that needs 20 ms once its ballot is high enough must be taken soon, or a change of voters waits until the next loss.
func TestChangeIsNotStarvedByOthers(t *testing.T) {
	const every, within = 40, time.Second
	for seed := range uint64(100) {
		r := &rivals{duel: newDuel(t), hop: 5 * time.Millisecond}
		r.x = NewProposer("x", seed+10)
		r.x.LearnVoters(&Value{Fleet: "f", Voters: r.y.voters.Voters})
		changes := 0
		for range 5 {
			r.rivalChange(t)
			changes++
		}
		from := r.now
		r.x.Submit(r.now, r.now+4*time.Second, 7, func(cur *Value) (*Value, error) {
			cur.Epoch++
			return cur, nil
		})
		r.last = Result{}
		for i := 1; r.last.ID == 0; i++ {
			r.step()
			if r.last.ID == 0 && i%(every+int(seed%21)) == 0 {
				r.rivalChange(t)
				changes++
			}
		}
		if elapsed := r.now - from; r.last.Err != nil || elapsed > within {
			t.Errorf("seed %d: %v after %s, with %d changes of the rival", seed, r.last.Err, elapsed, changes)
		}
	}
}

// rivalChange has the rival make a change, without its result being taken for the other's.
func (r *rivals) rivalChange(t *testing.T) {
	t.Helper()
	last := r.last
	if err := r.until(r.y, func(cur *Value) (*Value, error) {
		cur.Version++
		return cur, nil
	}); err != nil {
		t.Fatal(err)
	}
	r.last = last
}
