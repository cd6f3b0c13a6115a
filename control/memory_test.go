package control

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

// restartAll stops all nodes at once and starts them again with what their disks contain.
func (l *lab) restartAll() {
	for _, name := range l.order {
		l.down[name] = true
	}
	l.run(500 * time.Millisecond)
	for _, name := range l.order {
		l.boot(name, false)
	}
	l.run(4 * time.Second)
}

func TestOrderLogsSurviveLossOfDisksAndPower(t *testing.T) {
	l := newLab(t, 6)
	l.run(2 * time.Second)
	for i := range 5 {
		if a := l.call("n4", onBase(i, i+1)); a.Err != nil {
			t.Fatal(a.Err)
		}
	}
	if a := l.call("n4", Evacuate{ID: "e", Zone: "z"}); a.Err != nil {
		t.Fatal(a.Err)
	}
	for _, name := range []string{"n0", "n1", "n2"} {
		l.wipe(name)
		l.run(900 * time.Millisecond)
		l.boot(name, false)
		l.run(4 * time.Second)
		l.restartAll()
		for i := range 5 {
			if a := l.call("n5", onBase(i, i+1)); a.Err != nil {
				t.Errorf("after %s was wiped: request %d: %v", name, i, a.Err)
			}
			if a := l.call("n5", onBase(i, 77)); !isConflict(a.Err) {
				t.Errorf("after %s was wiped: another request on base %d: %v", name, i, a.Err)
			}
		}
	}
	if a := l.call("n5", Get{}); string(a.Value.Document) != "5" || len(a.Value.EvacuatedZones) != 1 {
		t.Errorf("after all disks were wiped in turn, the register contains %+v", a.Value)
	}
}

func TestPutsByVersionAreLogged(t *testing.T) {
	l := newLab(t, 6)
	l.run(2 * time.Second)
	const puts = 600
	put := func(i uint64) Put {
		return Put{ID: fmt.Sprint("put", i), ExpectedVersion: i, Document: fmt.Append(nil, i)}
	}
	for i := range uint64(puts) {
		if a := l.call("n4", put(i)); a.Err != nil || a.Version != i+1 {
			t.Fatalf("put %d: %v, version %d", i, a.Err, a.Version)
		}
	}
	if a := l.call("n4", Evacuate{ID: "e", Zone: "z"}); a.Err != nil || a.Version != puts+1 {
		t.Fatalf("evacuation: %v, version %d", a.Err, a.Version)
	}
	for _, i := range []uint64{puts - 400, puts - 1} {
		if a := l.call("n5", put(i)); a.Err != nil || a.Version != i+1 {
			t.Errorf("repeated put %d: %v, version %d", i, a.Err, a.Version)
		}
	}
	var forgotten *register.BaseTooOldError
	if a := l.call("n5", put(3)); !errors.As(a.Err, &forgotten) {
		t.Errorf("a put that is no longer logged: %v", a.Err)
	}
	for _, i := range []uint64{puts - 400, puts, puts + 2} {
		if a := l.call("n5", Put{ID: "other", ExpectedVersion: i}); !isConflict(a.Err) {
			t.Errorf("another put on version %d: %v", i, a.Err)
		}
	}
}

// TestConcurrentEvacuationsAreAcknowledged checks that eight concurrent requests, each for a zone of its own, are all acknowledged within a
// second without being sent again.
func TestConcurrentEvacuationsAreAcknowledged(t *testing.T) {
	for seed := range 20 {
		l := newLab(t, 6)
		l.run(2*time.Second + time.Duration(seed)*7*time.Millisecond)
		var ids []uint64
		from := l.now
		for i := range 8 {
			l.ids++
			ids = append(ids, l.ids)
			l.step(l.order[i%len(l.order)], Command{ID: l.ids, Op: Evacuate{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i)}})
		}
		l.run(time.Second)
		for _, id := range ids {
			if a, ok := l.answers[id]; !ok || a.Err != nil {
				t.Errorf("seed %d: request %d: answered %v, error %v", seed, id, ok, a.Err)
			}
		}
		if a := l.call("n5", Get{}); len(a.Value.EvacuatedZones) != 8 {
			t.Errorf("seed %d, started at %s: evacuated zones %v", seed, from, a.Value.EvacuatedZones)
		}
	}
}
