package control

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

// subset returns the disks whose bit is set.
func subset(disks []string, bits int) []string {
	var some []string
	for i, d := range disks {
		if bits&(1<<i) != 0 {
			some = append(some, d)
		}
	}
	return some
}

// TestVoterChangeInterruptedAtEachPoint confirms a request with a majority of a, b and c. Then c's voter slot moves to d, whose disk is
// empty; the accepts of each of the two rounds reach an arbitrary subset of the disks. After that no disk or any one disk is lost: its
// machine comes back under the same name with an empty disk that has another ID. A node that knows only the first voters must still read
// the request's document.
func TestVoterChangeInterruptedAtEachPoint(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	runs := 0
	for _, confirmedBy := range [][]string{{"a", "b"}, {"a", "c"}, {"b", "c"}, {"a", "b", "c"}} {
		for begins := range 16 {
			for finishes := range 16 {
				for _, lost := range append(all, "") {
					runs++
					interruptVoterChange(t, confirmedBy, subset(all, begins), subset(all, finishes), lost)
				}
			}
		}
	}
	t.Logf("%d runs", runs)
}

func interruptVoterChange(t *testing.T, confirmedBy []string, beginDisks, finishDisks []string, lost string) {
	t.Helper()
	h := newManualRegister(t)
	order := h.proposer("o", edit(0, "order"))
	accepts, _ := h.prepare(order, 1, "a", "b", "c")
	if !confirmed(h.accept(order, accepts, confirmedBy...)) {
		t.Fatal("the request was not confirmed")
	}
	h.changeVoters(beginDisks, finishDisks)
	delete(h.disks, lost)
	if got := h.readAll(); got != "order" {
		t.Fatalf("confirmed by %v, change started by %v and finished by %v, lost %s: read %q", confirmedBy, beginDisks, finishDisks, lost, got)
	}
}

// changeVoters starts the change and, if it was chosen, finishes it.
func (h *manualRegister) changeVoters(beginDisks, finishDisks []string) {
	begin := h.proposer("m", beginVoterChangeAt(0, votersOf("a", "b", "d")))
	accepts, _ := h.prepare(begin, 1, "a", "b", "c")
	done := h.accept(begin, accepts, beginDisks...)
	if !confirmed(done) {
		return
	}
	finish := h.proposer("n", finishVoterChangeAt(done[0].Value.Epoch))
	accepts, _ = h.prepare(finish, 3, "a", "b", "c", "d")
	h.accept(finish, accepts, finishDisks...)
}

// readAll reads the register from a node that knows only the first voters and reaches all remaining disks.
func (h *manualRegister) readAll() string {
	p := h.proposer("z", nil)
	for range 200 {
		sends, results := p.TakeOutput()
		if len(results) > 0 {
			if results[0].Err != nil {
				return results[0].Err.Error()
			}
			return string(results[0].Value.Document)
		}
		for _, s := range sends {
			a := h.disks[s.Disk]
			if a == nil {
				continue
			}
			switch m := s.Msg.(type) {
			case register.Prepare:
				r, _ := a.Prepare(m)
				p.OnPromise(h.now, r)
			case register.Accept:
				r, _ := a.Accept(m)
				p.OnAccepted(h.now, r)
			}
		}
		h.now += 10 * time.Millisecond
		p.Tick(h.now)
	}
	return "no answer"
}
