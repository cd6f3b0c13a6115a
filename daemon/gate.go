package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

const (
	// gateTicks is how often the gate notes that the process runs, gateGap the time without a note that counts as having stood still.
	gateTicks = 50 * time.Millisecond
	gateGap   = 300 * time.Millisecond
	// gateQuiet is how long after a gap a connection that is accepted may still come from the listener's queue of that time.
	gateQuiet = 250 * time.Millisecond
)

// A PauseGuard keeps out operators' orders that may have lain in a socket, or in the listener's queue, while the process stood still (a frozen
// machine, SIGSTOP). Each order that comes looks for a gap itself, as it may run before anything else after the gap. All times are of one
// steady clock that runs on while the process doesn't.
type PauseGuard struct {
	clock func() time.Duration
	ran   atomic.Int64
	woke  atomic.Int64
	gap   atomic.Int64
	// StaleRequests counts orders that were denied because the process stood still, ClientsDisconnected those whose callers had left.
	StaleRequests, ClientsDisconnected atomic.Uint64
}

// NewPauseGuard makes a gate that goes by the clock.
func NewPauseGuard(clock func() time.Duration) *PauseGuard {
	g := &PauseGuard{clock: clock}
	g.ran.Store(int64(clock()))
	return g
}

// Tick notes that the process runs. It is to be called each gateTicks.
func (g *PauseGuard) Tick() { g.ran.Store(int64(g.look())) }

// look tells the time, and finds a gap that ends here.
func (g *PauseGuard) look() time.Duration {
	now := g.clock()
	gap := now - time.Duration(g.ran.Load())
	if gap <= gateGap {
		return now
	}
	g.gap.Store(int64(gap))
	g.woke.Store(int64(now))
	g.ran.Store(int64(now))
	return now
}

// ConnContext notes a connection and when it was accepted, for http.Server.
func (g *PauseGuard) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, newCaller(conn, g.look()))
}

// ReadDeadline is the deadline of a read that comes now.
func (g *PauseGuard) ReadDeadline() time.Duration { return control.Deadline(g.clock(), 0) }

// Admit is the deadline of an order with a body of size bytes, which has been read whole by now. An order on a connection that was open,
// or waiting to be accepted, while the process stood still is denied: when it was sent can't be known.
func (g *PauseGuard) Admit(ctx context.Context, size int) (time.Duration, error) {
	now := g.look()
	from := callerOf(ctx)
	woke := time.Duration(g.woke.Load())
	if from != nil && woke > 0 && from.acceptedAt < woke+gateQuiet {
		g.StaleRequests.Add(1)
		return 0, &control.StaleRequestError{Pause: time.Duration(g.gap.Load())}
	}
	return control.Deadline(now, size), nil
}

func (h *Daemon) tickGate() error {
	tick := time.NewTicker(gateTicks)
	defer tick.Stop()
	for {
		select {
		case <-h.Tomb.Dying():
			return nil
		case <-tick.C:
			h.PauseGuard.Tick()
		}
	}
}
