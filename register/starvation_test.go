package register

import (
	"slices"
	"testing"
	"time"
)

// slowProposer is a pair in which y is fast and changes the register again and again, and x is slow: each of its messages takes delay.
type slowProposer struct {
	*proposerPair
	delay    time.Duration
	inFlight []delayedCall
}

// delayedCall is the delivery of a message at a time.
type delayedCall struct {
	at   time.Duration
	call func()
}

// send delivers the slow proposer's messages and the replies to them, each after delay.
func (r *slowProposer) send() {
	sends, results := r.x.TakeOutput()
	for _, result := range results {
		r.last = result
	}
	for _, s := range sends {
		disk := r.disks[s.Disk]
		r.later(func() {
			switch m := s.Msg.(type) {
			case Prepare:
				reply, _ := disk.Prepare(m)
				r.later(func() { r.x.OnPromise(r.now, reply) })
			case Accept:
				reply, _ := disk.Accept(m)
				r.later(func() { r.x.OnAccepted(r.now, reply) })
			}
		})
	}
}

func (r *slowProposer) later(call func()) {
	r.inFlight = append(r.inFlight, delayedCall{at: r.now + r.delay, call: call})
}

// step advances the time by one millisecond.
func (r *slowProposer) step() {
	r.now += time.Millisecond
	r.x.Tick(r.now)
	due := slices.DeleteFunc(slices.Clone(r.inFlight), func(d delayedCall) bool { return d.at > r.now })
	r.inFlight = slices.DeleteFunc(r.inFlight, func(d delayedCall) bool { return d.at <= r.now })
	for _, d := range due {
		d.call()
	}
	r.send()
}

// TestChangeIsNotStarvedByOthers lets a competing proposer change the register every 40 to 60 ms, as a burst of operator requests at other nodes
// does. A change that takes 20 ms once its ballot is high enough must be applied soon, or a change of voters would still wait when the next
// voter is lost.
func TestChangeIsNotStarvedByOthers(t *testing.T) {
	const interval, limit = 40, time.Second
	for seed := range uint64(100) {
		r := &slowProposer{proposerPair: newProposerPair(t), delay: 5 * time.Millisecond}
		r.x = NewProposer("x", seed+10)
		r.x.LearnVoters(&Value{Fleet: "f", Voters: r.y.known.Voters})
		changes := 0
		for range 5 {
			r.competingChange(t)
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
			if r.last.ID == 0 && i%(interval+int(seed%21)) == 0 {
				r.competingChange(t)
				changes++
			}
		}
		if elapsed := r.now - from; r.last.Err != nil || elapsed > limit {
			t.Errorf("seed %d: the change ended with error %v after %s, with %d competing changes", seed, r.last.Err, elapsed, changes)
		}
	}
}

// competingChange makes a change with the fast proposer. It restores last, which must be the result of the slow one.
func (r *slowProposer) competingChange(t *testing.T) {
	t.Helper()
	last := r.last
	if err := r.submitAndWait(r.y, func(cur *Value) (*Value, error) {
		cur.Version++
		return cur, nil
	}); err != nil {
		t.Fatal(err)
	}
	r.last = last
}
