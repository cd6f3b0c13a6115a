package control

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

// repairWorld has several nodes change the voters concurrently while operators change the document. Messages are lost, duplicated and
// reordered. Each actor knows the newest value that it has received, which may be out of date.
type repairWorld struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	now      time.Duration
	disks    map[string]*register.Acceptor
	actors   []*repairActor
	inFlight []repairMessage
	ids      uint64
	// confirmed is the request that each version was confirmed for, highest the highest such version.
	confirmed map[uint64]string
	highest   uint64
}

// repairActor is an operator or a node that changes voters. busy are its pending requests by operation.
type repairActor struct {
	proposer *register.Proposer
	known    *register.Value
	operator bool
	busy     map[uint64]string
}

// repairMessage is a message from the actor by to the disk to, or a reply to that actor (to is empty).
type repairMessage struct {
	to  string
	by  int
	msg any
}

const repairDisks = 6

var voterChangeSeeds = flag.Int("menders", 150, "seeds of TestConcurrentVoterChanges")

func newRepairWorld(t *testing.T, seed uint64) *repairWorld {
	w := &repairWorld{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 13)), disks: map[string]*register.Acceptor{}, confirmed: map[uint64]string{}}
	first := &register.Value{Fleet: "f", Voters: votersOf("d0", "d1", "d2")}
	for i := range repairDisks {
		name := fmt.Sprint("d", i)
		w.disks[name] = &register.Acceptor{State: register.State{Disk: name}}
		if i < 3 {
			w.disks[name].State = register.State{Disk: name, Promised: register.Ballot{N: 1}, Accepted: register.Ballot{N: 1}, Value: first}
		}
	}
	for i := range 5 {
		a := &repairActor{proposer: register.NewProposer(fmt.Sprint("p", i), seed*8+uint64(i)), known: first, operator: i < 2, busy: map[uint64]string{}}
		a.proposer.LearnChosen(first)
		w.actors = append(w.actors, a)
	}
	return w
}

// submitNext makes an idle actor submit its next change, computed from the value that it knows.
func (w *repairWorld) submitNext(a *repairActor) {
	if len(a.busy) > 0 {
		return
	}
	w.ids++
	body := fmt.Sprint(w.ids)
	within := w.now + time.Duration(100+w.rng.IntN(1500))*time.Millisecond
	a.busy[w.ids] = body
	a.proposer.Submit(w.now, within, w.ids, w.nextChange(a, body))
}

func (w *repairWorld) nextChange(a *repairActor, body string) register.Change {
	switch {
	case a.operator:
		return edit(a.known.Version, body)
	case len(a.known.NextVoters) > 0:
		return finishVoterChangeAt(a.known.Epoch)
	}
	vs := append([]register.Voter{}, a.known.Voters...)
	for {
		added := fmt.Sprint("d", w.rng.IntN(repairDisks))
		if !isVoter(vs, added) {
			vs[w.rng.IntN(len(vs))] = register.Voter{Disk: added, Name: added}
			return beginVoterChangeAt(a.known.Epoch, vs)
		}
	}
}

func (w *repairWorld) collect() {
	for i, a := range w.actors {
		sends, results := a.proposer.TakeOutput()
		for _, s := range sends {
			w.inFlight = append(w.inFlight, repairMessage{to: s.Disk, by: i, msg: s.Msg})
		}
		for _, r := range results {
			w.done(a, r)
		}
	}
}

func (w *repairWorld) done(a *repairActor, r register.Result) {
	body := a.busy[r.ID]
	delete(a.busy, r.ID)
	if r.Value == nil {
		return
	}
	if r.Value.Newer(a.known) {
		a.known = r.Value
		a.proposer.LearnChosen(r.Value)
	}
	version, applied := r.Value.AppliedAt(body)
	if !a.operator || r.Err != nil || !applied {
		return
	}
	if other, ok := w.confirmed[version]; ok && other != body {
		w.t.Fatalf("seed %d at %s: version %d is confirmed for requests %s and %s", w.seed, w.now, version, other, body)
	}
	w.confirmed[version] = body
	w.highest = max(w.highest, version)
}

func (w *repairWorld) deliver(m repairMessage) {
	reply := func(msg any) { w.inFlight = append(w.inFlight, repairMessage{by: m.by, msg: msg}) }
	switch x := m.msg.(type) {
	case register.Prepare:
		r, _ := w.disks[m.to].Prepare(x)
		reply(r)
	case register.Accept:
		r, _ := w.disks[m.to].Accept(x)
		reply(r)
	case register.Promise:
		w.actors[m.by].proposer.OnPromise(w.now, x)
	case register.Accepted:
		w.actors[m.by].proposer.OnAccepted(w.now, x)
	}
}

func (w *repairWorld) step() {
	w.now += time.Duration(w.rng.IntN(3)) * time.Millisecond
	for _, a := range w.actors {
		if w.rng.IntN(40) == 0 {
			w.submitNext(a)
		}
		a.proposer.Tick(w.now)
	}
	w.collect()
	if len(w.inFlight) == 0 {
		return
	}
	at := w.rng.IntN(len(w.inFlight))
	m := w.inFlight[at]
	if w.rng.IntN(20) > 0 {
		w.inFlight[at] = w.inFlight[len(w.inFlight)-1]
		w.inFlight = w.inFlight[:len(w.inFlight)-1]
	}
	if w.rng.IntN(6) > 0 {
		w.deliver(m)
	}
}

// TestConcurrentVoterChanges checks that no version is confirmed for two different requests, which would mean that one of them was lost.
func TestConcurrentVoterChanges(t *testing.T) {
	const steps = 6000
	seeds := *voterChangeSeeds
	epochs, versions := uint64(0), uint64(0)
	for seed := range uint64(seeds) {
		w := newRepairWorld(t, seed)
		for range steps {
			w.step()
		}
		versions += w.highest
		for _, a := range w.actors {
			epochs = max(epochs, a.known.Epoch)
		}
	}
	if t.Logf("%d changes confirmed over %d seeds, up to %d epochs in one", versions, seeds, epochs); versions < uint64(seeds) || epochs < 4 {
		t.Error("the test proves little")
	}
}
