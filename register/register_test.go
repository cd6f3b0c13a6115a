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

// message is a message in flight. A disk is addressed by its ID, a proposer by its index.
type message struct {
	to, from string
	msg      any
}

// simulation runs three proposers and six disks, of which three are voters, with random delays, losses and duplicates of messages and
// random changes of voters, and records the history of operations.
type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	disks     map[string]*Acceptor
	proposers []*Proposer
	// inFlight are the messages in flight.
	inFlight []message
	ops      []porcupine.Operation
	// pending are the indices in ops of the operations that have no result yet, by proposer and operation ID.
	pending map[[2]uint64]int
	id      uint64
	// down are the disks that get no messages.
	down map[string]bool
	// registerLost means that an operation found no register.
	registerLost bool
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 3)), disks: map[string]*Acceptor{}, pending: map[[2]uint64]int{}, down: map[string]bool{}}
	var voters []Voter
	for i := range 6 {
		d := fmt.Sprintf("d%d", i)
		sim.disks[d] = &Acceptor{State{Disk: d}}
		if i < 3 {
			voters = append(voters, Voter{Disk: d})
		}
	}
	for i := range 3 {
		p := NewProposer(fmt.Sprintf("p%d", i), seed+uint64(i))
		sim.proposers = append(sim.proposers, p)
	}
	sim.proposers[0].Bootstrap(0, time.Hour, 0, &Value{Fleet: "f", Voters: voters})
	sim.deliverRandomly(400, 0)
	sim.proposers[0].TakeOutput()
	for _, p := range sim.proposers {
		p.LearnVoters(&Value{Fleet: "f", Voters: voters})
	}
	return sim
}

// collect collects the messages and the results of the proposers.
func (sim *simulation) collect() {
	for i, p := range sim.proposers {
		sends, results := p.TakeOutput()
		for _, s := range sends {
			sim.inFlight = append(sim.inFlight, message{to: s.Disk, from: fmt.Sprint(i), msg: s.Msg})
		}
		for _, r := range results {
			sim.done(uint64(i), r)
		}
	}
}

// done records the result of an operation.
func (sim *simulation) done(proposer uint64, r Result) {
	index, ok := sim.pending[[2]uint64{proposer, r.ID}]
	if !ok {
		return
	}
	delete(sim.pending, [2]uint64{proposer, r.ID})
	o := &sim.ops[index]
	o.Return = int64(sim.now)
	var conflict *ConflictError
	var notBootstrapped *NotBootstrappedError
	sim.registerLost = sim.registerLost || errors.As(r.Err, &notBootstrapped)
	switch {
	case errors.As(r.Err, &conflict):
		o.Output = result{conflict: true, version: conflict.Version}
	case r.Err != nil:
		o.Output, o.Return = result{unknown: true}, int64(time.Hour)
	case o.Input.(op).put:
		version, _ := r.Value.AppliedAt(o.Input.(op).body)
		o.Output = result{version: version}
	default:
		o.Output = result{version: r.Value.Version, body: string(r.Value.Document)}
	}
}

// deliverRandomly delivers one random message a step. A message is lost with probability loss, and stays in flight to be delivered again with
// probability 0.05.
func (sim *simulation) deliverRandomly(steps int, loss float64) {
	for range steps {
		sim.collect()
		sim.now += time.Duration(sim.rng.IntN(4)) * time.Millisecond
		for _, p := range sim.proposers {
			p.Tick(sim.now)
		}
		sim.collect()
		if len(sim.inFlight) == 0 {
			continue
		}
		i := sim.rng.IntN(len(sim.inFlight))
		m := sim.inFlight[i]
		if sim.rng.Float64() > 0.05 {
			sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...)
		}
		if sim.rng.Float64() < loss || sim.down[m.to] {
			continue
		}
		sim.deliver(m)
	}
}

// deliver passes a message to its disk or proposer.
func (sim *simulation) deliver(m message) {
	if a := sim.disks[m.to]; a != nil {
		switch x := m.msg.(type) {
		case Prepare:
			r, _ := a.Prepare(x)
			sim.inFlight = append(sim.inFlight, message{to: m.from, msg: r})
		case Accept:
			r, _ := a.Accept(x)
			sim.inFlight = append(sim.inFlight, message{to: m.from, msg: r})
		}
		return
	}
	p := sim.proposers[int(m.to[0]-'0')]
	switch x := m.msg.(type) {
	case Promise:
		p.OnPromise(sim.now, x)
	case Accepted:
		p.OnAccepted(sim.now, x)
	}
}

// submitRandomly submits a put or a read to a random proposer.
func (sim *simulation) submitRandomly(put bool, expect uint64) {
	sim.id++
	i := sim.rng.IntN(len(sim.proposers))
	o := op{put: put, expect: expect, body: fmt.Sprint(sim.id)}
	sim.pending[[2]uint64{uint64(i), sim.id}] = len(sim.ops)
	sim.ops = append(sim.ops, porcupine.Operation{ClientId: int(sim.id), Input: o, Call: int64(sim.now), Output: result{unknown: true}, Return: int64(time.Hour)})
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
	submit := sim.proposers[i].Submit
	if sim.rng.IntN(4) == 0 {
		submit = sim.proposers[i].SubmitFull
	}
	submit(sim.now, sim.now+2*time.Second, sim.id, change)
}

// changeVoters submits both steps of a change to three random voters.
func (sim *simulation) changeVoters() {
	var next []Voter
	for _, i := range sim.rng.Perm(6)[:3] {
		next = append(next, Voter{Disk: fmt.Sprintf("d%d", i)})
	}
	p := sim.proposers[sim.rng.IntN(len(sim.proposers))]
	sim.id += 2
	p.Submit(sim.now, sim.now+2*time.Second, sim.id-1, func(cur *Value) (*Value, error) {
		if len(cur.NextVoters) > 0 {
			return nil, nil
		}
		cur.NextVoters, cur.Epoch = next, cur.Epoch+1
		return cur, nil
	})
	p.Submit(sim.now, sim.now+2*time.Second, sim.id, func(cur *Value) (*Value, error) {
		if len(cur.NextVoters) == 0 {
			return nil, nil
		}
		cur.Voters, cur.NextVoters, cur.Epoch = cur.NextVoters, nil, cur.Epoch+1
		return cur, nil
	})
}

// run runs the simulation and returns the highest version that any disk accepted.
func (sim *simulation) run() int {
	var accepted int
	for range 24 {
		for range 1 + sim.rng.IntN(3) {
			sim.submitRandomly(sim.rng.IntN(3) > 0, uint64(accepted))
		}
		if sim.rng.IntN(4) == 0 {
			sim.changeVoters()
		}
		sim.down = map[string]bool{fmt.Sprintf("d%d", sim.rng.IntN(8)): true}
		sim.deliverRandomly(40+sim.rng.IntN(160), 0.1)
		for _, a := range sim.disks {
			if a.Value != nil {
				accepted = max(accepted, int(a.Value.Version))
			}
		}
	}
	sim.down = nil
	sim.deliverRandomly(2000, 0)
	return accepted
}

func TestRegisterIsLinearizable(t *testing.T) {
	applied := 0
	for seed := range uint64(*seeds) {
		sim := newSimulation(seed)
		applied += sim.run()
		if sim.registerLost {
			t.Fatalf("seed %d: an operation found no register: a voter set lacks the value", seed)
		}
		if !porcupine.CheckOperations(model, relevantOperations(sim.ops)) {
			t.Fatalf("seed %d: history is not linearizable: %v", seed, sim.ops)
		}
	}
	if applied < 4*(*seeds) {
		t.Errorf("only %d changes were applied: the test proves little", applied)
	}
}
