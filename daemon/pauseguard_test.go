package daemon

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

// manualClock is a clock that the test advances.
type manualClock struct{ now time.Duration }

func (c *manualClock) read() time.Duration { return c.now }

// run advances the clock by d with a Tick every guardTickInterval, as if the process were running.
func (c *manualClock) run(g *PauseGuard, d time.Duration) {
	for until := c.now + d; c.now < until; {
		c.now += guardTickInterval
		g.Tick()
	}
}

// newGuard returns a guard and its clock, which starts at now.
func newGuard(now time.Duration) (*PauseGuard, *manualClock) {
	c := &manualClock{now: now}
	return NewPauseGuard(c.read), c
}

// connectionContext returns the context of a connection that is accepted now.
func connectionContext(g *PauseGuard) context.Context {
	return g.ConnContext(context.Background(), nil)
}

func isStale(err error) bool {
	var stale *control.StaleRequestError
	return errors.As(err, &stale)
}

func TestRequestsOnConnectionsFromBeforePauseAreRejected(t *testing.T) {
	for _, ticked := range []bool{false, true} {
		g, c := newGuard(time.Hour)
		c.run(g, time.Second)
		old := connectionContext(g)
		if _, err := g.Admit(old, 0); err != nil {
			t.Fatal(err)
		}
		c.now += 20 * time.Second
		if ticked {
			g.Tick()
		}
		if _, err := g.Admit(old, 0); !isStale(err) {
			t.Errorf("ticked %v: error %v, not a StaleRequestError", ticked, err)
		}
		c.run(g, 10*time.Second)
		if _, err := g.Admit(old, 0); !isStale(err) {
			t.Errorf("ticked %v: a request 10 s later on a connection from before the pause: error %v, not a StaleRequestError", ticked, err)
		}
	}
}

func TestConnectionsAcceptedShortlyAfterPauseAreRejected(t *testing.T) {
	for _, ticked := range []bool{false, true} {
		g, c := newGuard(time.Hour)
		c.run(g, time.Second)
		c.now += 20 * time.Second
		if ticked {
			g.Tick()
		}
		waited := connectionContext(g)
		c.run(g, acceptQueueTime/2)
		also := connectionContext(g)
		c.run(g, time.Second)
		fresh := connectionContext(g)
		for _, ctx := range []context.Context{waited, also} {
			if _, err := g.Admit(ctx, 0); !isStale(err) {
				t.Errorf("ticked %v: error %v, not a StaleRequestError", ticked, err)
			}
		}
		if deadline, err := g.Admit(fresh, 0); err != nil || deadline != c.now+control.OperationTimeout {
			t.Errorf("ticked %v: error %v, deadline %v at %v", ticked, err, deadline, c.now)
		}
	}
}

func TestPauseWhileReadingBodyRejectsRequest(t *testing.T) {
	g, c := newGuard(time.Hour)
	ctx := connectionContext(g)
	c.run(g, time.Second)
	c.now += pauseThreshold + time.Millisecond
	if _, err := g.Admit(ctx, 1<<20); !isStale(err) {
		t.Errorf("error %v, not a StaleRequestError", err)
	}
}

func TestTicksDelayedBelowThresholdAreNoPause(t *testing.T) {
	g, c := newGuard(time.Hour)
	ctx := connectionContext(g)
	for range 20 {
		c.now += pauseThreshold - time.Millisecond
		g.Tick()
	}
	small, err := g.Admit(ctx, 100)
	if err != nil {
		t.Fatal(err)
	}
	large, err := g.Admit(ctx, 400<<10)
	if err != nil || large-small != 400*time.Millisecond {
		t.Errorf("error %v, deadline %s later for 400 KiB", err, large-small)
	}
	if at := g.ReadDeadline(); at != small {
		t.Errorf("the deadline of a read is %s, not %s", at, small)
	}
}
