package control

import (
	"slices"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

// A handRegister delivers by hand: each proposer reaches the disks that the test names, first to prepare, then to accept.
type handRegister struct {
	t     *testing.T
	now   time.Duration
	disks map[string]*register.Acceptor
	first *register.Value
	ids   uint64
}

func votersOf(disks ...string) []register.Voter {
	var vs []register.Voter
	for _, d := range disks {
		vs = append(vs, register.Voter{Disk: d, Name: d})
	}
	return vs
}

func newHandRegister(t *testing.T) *handRegister {
	h := &handRegister{t: t, disks: map[string]*register.Acceptor{}, first: &register.Value{Fleet: "f", Voters: votersOf("a", "b", "c")}}
	for _, d := range []string{"a", "b", "c", "d", "e"} {
		h.disks[d] = &register.Acceptor{State: register.State{Disk: d}}
		if d < "d" {
			h.disks[d].State = register.State{Disk: d, Promised: register.Ballot{N: 1}, Accepted: register.Ballot{N: 1}, Value: h.first}
		}
	}
	return h
}

func (h *handRegister) proposer(by string, change register.Change) *register.Proposer {
	p := register.NewProposer(by, 1)
	p.LearnVoters(h.first)
	h.ids++
	p.Submit(h.now, time.Hour, h.ids, change)
	return p
}

// prepare runs a proposer, whose messages reach only some disks, until it asks to accept or rounds have gone by.
func (h *handRegister) prepare(p *register.Proposer, rounds int, reach ...string) ([]register.Accept, []register.Result) {
	var accepts []register.Accept
	var results []register.Result
	for range rounds * 60 {
		sends, done := p.TakeOutput()
		results = append(results, done...)
		for _, s := range sends {
			switch m := s.Msg.(type) {
			case register.Prepare:
				if slices.Contains(reach, s.Disk) {
					promise, _ := h.disks[s.Disk].Prepare(m)
					p.OnPromise(h.now, promise)
				}
			case register.Accept:
				accepts = append(accepts, m)
			}
		}
		if len(accepts) > 0 || len(results) > 0 {
			return accepts, results
		}
		h.now += 10 * time.Millisecond
		p.Tick(h.now)
	}
	return nil, nil
}

func (h *handRegister) accept(p *register.Proposer, accepts []register.Accept, reach ...string) []register.Result {
	for _, m := range accepts {
		if slices.Contains(reach, m.Disk) {
			said, _ := h.disks[m.Disk].Accept(m)
			p.OnAccepted(h.now, said)
		}
	}
	_, results := p.TakeOutput()
	return results
}

func edit(base uint64, body string) register.Change {
	return putChange(Put{ID: body, ExpectedVersion: base, Document: []byte(body)})
}

// TestLateFinishDoesNotSplitVoters: a change of voters that one disk accepted was never chosen; a finish that was meant for an
// earlier change must leave it alone, or both the old voters and the new ones choose by themselves.
func TestLateFinishDoesNotSplitVoters(t *testing.T) {
	h := newHandRegister(t)
	begin := h.proposer("p1", beginVoterChangeAt(0, votersOf("a", "b", "d")))
	accepts, _ := h.prepare(begin, 1, "a", "b", "c")
	h.accept(begin, accepts, "c")

	overdue := h.proposer("p2", finishVoterChangeAt(0))
	accepts, _ = h.prepare(overdue, 3, "b", "c", "d")
	h.accept(overdue, accepts, "d")

	second := h.proposer("q", edit(0, "second"))
	h.prepare(second, 1, "c")

	first := h.proposer("r", edit(0, "first"))
	h.prepare(first, 20)
	firstAccepts, _ := h.prepare(first, 4, "a", "b")

	accepts, _ = h.prepare(second, 20, "a", "d")
	secondDone := h.accept(second, accepts, "a", "d")
	firstDone := h.accept(first, firstAccepts, "b", "c")
	if confirmed(firstDone) && confirmed(secondDone) {
		t.Fatal("two changes of one version are both confirmed")
	}
	if !confirmed(firstDone) && !confirmed(secondDone) && len(firstAccepts) == 0 {
		t.Fatal("nothing was tried")
	}
}

func confirmed(results []register.Result) bool {
	return len(results) == 1 && results[0].Err == nil
}
