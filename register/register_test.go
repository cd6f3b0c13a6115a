package register

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

var seeds = flag.Int("seeds", 60, "seeds for the histories")

type op struct {
	put    bool
	expect uint64
	body   string
}

type result struct {
	unknown, conflict bool
	mark              uint64
	body              string
}

type state struct {
	mark uint64
	body string
}

type mail struct {
	to, from string
	msg      any
}

type lab struct {
	rng   *rand.Rand
	now   time.Duration
	disks map[string]*Acceptor
	props []*Proposer
	bag   []mail
	ops   []porcupine.Operation
	open  map[[2]uint64]int
	id    uint64
	down  map[string]bool
	gone  bool
}

func newLab(seed uint64) *lab {
	l := &lab{rng: rand.New(rand.NewPCG(seed, 3)), disks: map[string]*Acceptor{}, open: map[[2]uint64]int{}, down: map[string]bool{}}
	var vs []Voter
	for i := range 6 {
		d := fmt.Sprintf("d%d", i)
		l.disks[d] = &Acceptor{State{Disk: d}}
		if i < 3 {
			vs = append(vs, Voter{Disk: d})
		}
	}
	for i := range 3 {
		p := NewProposer(fmt.Sprintf("p%d", i), seed+uint64(i))
		l.props = append(l.props, p)
	}
	l.props[0].Bootstrap(0, time.Hour, 0, &Value{Fleet: "f", Voters: vs})
	l.pump(400, 0)
	l.props[0].TakeOutput()
	for _, p := range l.props {
		p.LearnVoters(&Value{Fleet: "f", Voters: vs})
	}
	return l
}

func (l *lab) take() {
	for i, p := range l.props {
		sends, rs := p.TakeOutput()
		for _, s := range sends {
			l.bag = append(l.bag, mail{to: s.Disk, from: fmt.Sprint(i), msg: s.Msg})
		}
		for _, r := range rs {
			l.done(uint64(i), r)
		}
	}
}

func (l *lab) done(prop uint64, r Result) {
	at, ok := l.open[[2]uint64{prop, r.ID}]
	if !ok {
		return
	}
	delete(l.open, [2]uint64{prop, r.ID})
	o := &l.ops[at]
	o.Return = int64(l.now)
	var c *ConflictError
	var lost *NotBootstrappedError
	l.gone = l.gone || errors.As(r.Err, &lost)
	switch {
	case errors.As(r.Err, &c):
		o.Output = result{conflict: true, mark: c.Version}
	case r.Err != nil:
		o.Output, o.Return = result{unknown: true}, int64(time.Hour)
	case o.Input.(op).put:
		version, _ := r.Value.AppliedAt(o.Input.(op).body)
		o.Output = result{mark: version}
	default:
		o.Output = result{mark: r.Value.Version, body: string(r.Value.Document)}
	}
}

func (l *lab) pump(steps int, loss float64) {
	for range steps {
		l.take()
		l.now += time.Duration(l.rng.IntN(4)) * time.Millisecond
		for _, p := range l.props {
			p.Tick(l.now)
		}
		l.take()
		if len(l.bag) == 0 {
			continue
		}
		i := l.rng.IntN(len(l.bag))
		m := l.bag[i]
		if l.rng.Float64() > 0.05 {
			l.bag = append(l.bag[:i], l.bag[i+1:]...)
		}
		if l.rng.Float64() < loss || l.down[m.to] {
			continue
		}
		l.deliver(m)
	}
}

func (l *lab) deliver(m mail) {
	if a := l.disks[m.to]; a != nil {
		switch x := m.msg.(type) {
		case Prepare:
			r, _ := a.Prepare(x)
			l.bag = append(l.bag, mail{to: m.from, msg: r})
		case Accept:
			r, _ := a.Accept(x)
			l.bag = append(l.bag, mail{to: m.from, msg: r})
		}
		return
	}
	p := l.props[int(m.to[0]-'0')]
	switch x := m.msg.(type) {
	case Promise:
		p.OnPromise(l.now, x)
	case Accepted:
		p.OnAccepted(l.now, x)
	}
}

func (l *lab) ask(put bool, expect uint64) {
	l.id++
	i := l.rng.IntN(len(l.props))
	o := op{put: put, expect: expect, body: fmt.Sprint(l.id)}
	l.open[[2]uint64{uint64(i), l.id}] = len(l.ops)
	l.ops = append(l.ops, porcupine.Operation{ClientId: int(l.id), Input: o, Call: int64(l.now), Output: result{unknown: true}, Return: int64(time.Hour)})
	var change Change
	if put {
		change = func(cur *Value) (*Value, error) {
			if _, done := cur.AppliedAt(o.body); done {
				return nil, nil
			}
			if cur.Version != o.expect {
				return nil, &ConflictError{Version: cur.Version}
			}
			cur.Version++
			cur.Document = []byte(o.body)
			cur.LogUnscoped(o.body)
			return cur, nil
		}
	}
	submit := l.props[i].Submit
	if l.rng.IntN(4) == 0 {
		submit = l.props[i].SubmitFull
	}
	submit(l.now, l.now+2*time.Second, l.id, change)
}

func (l *lab) reseat() {
	var next []Voter
	for _, i := range l.rng.Perm(6)[:3] {
		next = append(next, Voter{Disk: fmt.Sprintf("d%d", i)})
	}
	p := l.props[l.rng.IntN(len(l.props))]
	l.id += 2
	p.Submit(l.now, l.now+2*time.Second, l.id-1, func(cur *Value) (*Value, error) {
		if len(cur.NextVoters) > 0 {
			return nil, nil
		}
		cur.NextVoters, cur.Epoch = next, cur.Epoch+1
		return cur, nil
	})
	p.Submit(l.now, l.now+2*time.Second, l.id, func(cur *Value) (*Value, error) {
		if len(cur.NextVoters) == 0 {
			return nil, nil
		}
		cur.Voters, cur.NextVoters, cur.Epoch = cur.NextVoters, nil, cur.Epoch+1
		return cur, nil
	})
}

func (l *lab) run() int {
	var accepted int
	for range 24 {
		for range 1 + l.rng.IntN(3) {
			l.ask(l.rng.IntN(3) > 0, uint64(accepted))
		}
		if l.rng.IntN(4) == 0 {
			l.reseat()
		}
		l.down = map[string]bool{fmt.Sprintf("d%d", l.rng.IntN(8)): true}
		l.pump(40+l.rng.IntN(160), 0.1)
		for _, a := range l.disks {
			if a.Value != nil {
				accepted = max(accepted, int(a.Value.Version))
			}
		}
	}
	l.down = nil
	l.pump(2000, 0)
	return accepted
}

func TestRegisterIsLinearizable(t *testing.T) {
	taken := 0
	for seed := range uint64(*seeds) {
		l := newLab(seed)
		taken += l.run()
		if l.gone {
			t.Fatalf("seed %d: a voter set without the value", seed)
		}
		if !porcupine.CheckOperations(model, telling(l.ops)) {
			t.Fatalf("seed %d: history is not linearizable: %v", seed, l.ops)
		}
	}
	if taken < 4*(*seeds) {
		t.Errorf("only %d changes were taken: the test proves little", taken)
	}
}
