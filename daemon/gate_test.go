package daemon

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

// hands is a clock that is set by hand.
type hands struct{ now time.Duration }

func (h *hands) clock() time.Duration { return h.now }

// run lets the process run for d, with its ticks.
func (h *hands) run(g *PauseGuard, d time.Duration) {
	for until := h.now + d; h.now < until; {
		h.now += gateTicks
		g.Tick()
	}
}

func gateAt(now time.Duration) (*PauseGuard, *hands) {
	h := &hands{now: now}
	return NewPauseGuard(h.clock), h
}

func opened(g *PauseGuard) context.Context { return g.ConnContext(context.Background(), nil) }

func isStale(err error) bool {
	var stale *control.StaleRequestError
	return errors.As(err, &stale)
}

func TestOrdersOnConnectionsFromBeforePauseAreRejected(t *testing.T) {
	for _, ticked := range []bool{false, true} {
		g, h := gateAt(time.Hour)
		h.run(g, time.Second)
		old := opened(g)
		if _, err := g.Admit(old, 0); err != nil {
			t.Fatal(err)
		}
		h.now += 20 * time.Second
		if ticked {
			g.Tick()
		}
		if _, err := g.Admit(old, 0); !isStale(err) {
			t.Errorf("ticked %v: %v", ticked, err)
		}
		h.run(g, 10*time.Second)
		if _, err := g.Admit(old, 0); !isStale(err) {
			t.Errorf("ticked %v: a connection kept from before is taken later on: %v", ticked, err)
		}
	}
}

func TestConnectionsAcceptedLateAreRejected(t *testing.T) {
	for _, ticked := range []bool{false, true} {
		g, h := gateAt(time.Hour)
		h.run(g, time.Second)
		h.now += 20 * time.Second
		if ticked {
			g.Tick()
		}
		waited := opened(g)
		h.run(g, gateQuiet/2)
		also := opened(g)
		h.run(g, time.Second)
		fresh := opened(g)
		for _, ctx := range []context.Context{waited, also} {
			if _, err := g.Admit(ctx, 0); !isStale(err) {
				t.Errorf("ticked %v: %v", ticked, err)
			}
		}
		if until, err := g.Admit(fresh, 0); err != nil || until != h.now+control.OperationTimeout {
			t.Errorf("ticked %v: %v, until %v at %v", ticked, err, until, h.now)
		}
	}
}

func TestPauseWhileReadingBodyRejectsOrder(t *testing.T) {
	g, h := gateAt(time.Hour)
	ctx := opened(g)
	h.run(g, time.Second)
	h.now += gateGap + time.Millisecond
	if _, err := g.Admit(ctx, 1<<20); !isStale(err) {
		t.Errorf("%v", err)
	}
}

func TestDelayedProcessStillAcceptsOrders(t *testing.T) {
	g, h := gateAt(time.Hour)
	ctx := opened(g)
	for range 20 {
		h.now += gateGap - time.Millisecond
		g.Tick()
	}
	small, err := g.Admit(ctx, 100)
	if err != nil {
		t.Fatal(err)
	}
	large, err := g.Admit(ctx, 400<<10)
	if err != nil || large-small != 400*time.Millisecond {
		t.Errorf("%v, %s more for 400 KiB", err, large-small)
	}
	if at := g.ReadDeadline(); at != small {
		t.Errorf("a read is tried until %s, not %s", at, small)
	}
}
