package modelcheck

import (
	"errors"
	"slices"
	"testing"
)

// jugs is a toy model: a jug of three liters and a jug of five. Four liters in the large jug break the invariant, which takes six steps.
type jugs struct{ small, large uint8 }

var errFour = errors.New("four")

const (
	fillSmall uint8 = iota
	fillLarge
	emptySmall
	emptyLarge
	pourSmall
	pourLarge
)

func (jugs) Events() []Event {
	var events []Event
	for kind := fillSmall; kind <= pourLarge; kind++ {
		events = append(events, Event{Kind: kind})
	}
	return events
}

func (j jugs) Apply(e Event) jugs {
	switch e.Kind {
	case fillSmall:
		return jugs{3, j.large}
	case fillLarge:
		return jugs{j.small, 5}
	case emptySmall:
		return jugs{0, j.large}
	case emptyLarge:
		return jugs{j.small, 0}
	case pourSmall:
		n := min(j.small, 5-j.large)
		return jugs{j.small - n, j.large + n}
	}
	n := min(j.large, 3-j.small)
	return jugs{j.small + n, j.large - n}
}

func (j jugs) Fingerprint() uint64 { return uint64(j.small)<<8 | uint64(j.large) }

func (j jugs) BrokenInvariant() error {
	if j.large == 4 {
		return errFour
	}
	return nil
}

func (jugs) Describe(e Event) string {
	return []string{"fill 3", "fill 5", "empty 3", "empty 5", "pour 3", "pour 5"}[e.Kind]
}

func TestExploreReportsShortestTrace(t *testing.T) {
	want := []string{"fill 5", "pour 5", "empty 3", "pour 5", "fill 5", "pour 5"}
	for workers := 1; workers <= 4; workers++ {
		r := Explore(jugs{}, Bounds{Workers: workers})
		if !errors.Is(r.Err, errFour) || !slices.Equal(r.Trace, want) {
			t.Errorf("%d workers: %s", workers, r)
		}
	}
}

func TestBoundsLimitExploration(t *testing.T) {
	if r := Explore(jugs{}, Bounds{MaxDepth: 5}); r.Err != nil || r.Depth != 5 || r.Complete {
		t.Error("broken invariant at depth six, explored to depth five:", r)
	}
	if r := Explore(jugs{}, Bounds{MaxStates: 5}); r.States != 5 || r.Complete {
		t.Error("explored with a limit of five states:", r)
	}
}

// TestExplorationDoesNotDependOnWorkers checks that the counts of a register model are the same with one and with four goroutines.
func TestExplorationDoesNotDependOnWorkers(t *testing.T) {
	model := registerCases["two requests on one base"].model
	model.Protocol = ProductionProtocol()
	one, four := Explore(NewRegisterState(model), Bounds{Workers: 1}), Explore(NewRegisterState(model), Bounds{Workers: 4})
	if !one.Complete || one.String() != four.String() {
		t.Errorf("one worker: %s\nfour workers: %s", one, four)
	}
}
