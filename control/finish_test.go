package control

import (
	"slices"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

// manualRegister delivers messages manually: each proposer reaches the disks that the test names, first for prepare, then for accept.
type manualRegister struct {
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

func newManualRegister(t *testing.T) *manualRegister {
	h := &manualRegister{t: t, disks: map[string]*register.Acceptor{}, first: &register.Value{Fleet: "f", Voters: votersOf("a", "b", "c")}}
	for _, d := range []string{"a", "b", "c", "d", "e"} {
		h.disks[d] = &register.Acceptor{State: register.State{Disk: d}}
		if d < "d" {
			h.disks[d].State = register.State{Disk: d, Promised: register.Ballot{N: 1}, Accepted: register.Ballot{N: 1}, Value: h.first}
		}
	}
	return h
}

func (h *manualRegister) proposer(by string, change register.Change) *register.Proposer {
	p := register.NewProposer(by, 1)
	p.LearnVoters(h.first)
	h.ids++
	p.Submit(h.now, time.Hour, h.ids, change)
	return p
}

// prepare runs a proposer whose messages reach only some disks until it sends accepts, returns a result, or the time of the given number of
// rounds has passed.
func (h *manualRegister) prepare(p *register.Proposer, rounds int, reach ...string) ([]register.Accept, []register.Result) {
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

func (h *manualRegister) accept(p *register.Proposer, accepts []register.Accept, reach ...string) []register.Result {
	for _, m := range accepts {
		if slices.Contains(reach, m.Disk) {
			accepted, _ := h.disks[m.Disk].Accept(m)
			p.OnAccepted(h.now, accepted)
		}
	}
	_, results := p.TakeOutput()
	return results
}

func edit(base uint64, body string) register.Change {
	return putChange(Put{ID: body, ExpectedVersion: base, Document: []byte(body)})
}

// TestLateFinishDoesNotSplitVoters guards against finishing a change of voters that one disk accepted but that was never chosen. A delayed
// finish of an earlier change must not finish it; otherwise both the old and the new voters could choose values on their own.
func TestLateFinishDoesNotSplitVoters(t *testing.T) {
	h := newManualRegister(t)
	begin := h.proposer("p1", beginVoterChangeAt(0, votersOf("a", "b", "d")))
	accepts, _ := h.prepare(begin, 1, "a", "b", "c")
	h.accept(begin, accepts, "c")

	lateFinish := h.proposer("p2", finishVoterChangeAt(0))
	accepts, _ = h.prepare(lateFinish, 3, "b", "c", "d")
	h.accept(lateFinish, accepts, "d")

	second := h.proposer("q", edit(0, "second"))
	h.prepare(second, 1, "c")

	first := h.proposer("r", edit(0, "first"))
	h.prepare(first, 20)
	firstAccepts, _ := h.prepare(first, 4, "a", "b")

	accepts, _ = h.prepare(second, 20, "a", "d")
	secondDone := h.accept(second, accepts, "a", "d")
	firstDone := h.accept(first, firstAccepts, "b", "c")
	if confirmed(firstDone) && confirmed(secondDone) {
		t.Fatal("two changes of the same version were both confirmed")
	}
	if !confirmed(firstDone) && !confirmed(secondDone) && len(firstAccepts) == 0 {
		t.Fatal("the test proves little: no change was attempted")
	}
}

func confirmed(results []register.Result) bool {
	return len(results) == 1 && results[0].Err == nil
}
