package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

const (
	// guardTickInterval is the time between two calls of PauseGuard.Tick.
	guardTickInterval = 50 * time.Millisecond
	// pauseThreshold is the longest time without a Tick that does not count as a pause.
	pauseThreshold = 300 * time.Millisecond
	// acceptQueueTime is how long after a pause a newly accepted connection may still have waited in the listener's queue during the pause.
	acceptQueueTime = 250 * time.Millisecond
)

// PauseGuard rejects operator requests that may have waited in a socket, or in the listener's queue, while the process was paused, for example
// by SIGSTOP or because the machine was frozen. The client of such a request may have given up long ago. Each request that arrives checks for a
// pause itself, because it may be the first to run after the pause. All times are from one monotonic clock that continues during a pause.
type PauseGuard struct {
	clock func() time.Duration
	// lastTick is the time of the last Tick, or the end of the last pause if that is later. resumedAt is the end of the last pause, 0 if there
	// was none, and lastPause its duration. All are in nanoseconds.
	lastTick  atomic.Int64
	resumedAt atomic.Int64
	lastPause atomic.Int64
	// StaleRequests counts operator requests that were rejected because the process had been paused, ClientsDisconnected those whose client
	// disconnected.
	StaleRequests, ClientsDisconnected atomic.Uint64
}

// NewPauseGuard returns a guard that uses the given clock.
func NewPauseGuard(clock func() time.Duration) *PauseGuard {
	g := &PauseGuard{clock: clock}
	g.lastTick.Store(int64(clock()))
	return g
}

// Tick records that the process runs. It must be called every guardTickInterval.
func (g *PauseGuard) Tick() { g.lastTick.Store(int64(g.checkPause())) }

// checkPause returns the current time. If the process was paused until now, it records the pause.
func (g *PauseGuard) checkPause() time.Duration {
	now := g.clock()
	pause := now - time.Duration(g.lastTick.Load())
	if pause <= pauseThreshold {
		return now
	}
	g.lastPause.Store(int64(pause))
	g.resumedAt.Store(int64(now))
	g.lastTick.Store(int64(now))
	return now
}

// ConnContext adds a connection and the time at which it was accepted to ctx. It is used as http.Server.ConnContext.
func (g *PauseGuard) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, operatorConnKey{}, newOperatorConn(conn, g.checkPause()))
}

// ReadDeadline returns the deadline of a read that arrives now.
func (g *PauseGuard) ReadDeadline() time.Duration { return control.Deadline(g.clock(), 0) }

// Admit returns the deadline of an operator request whose body of size bytes has just been read completely. If the request's connection was
// open, or waiting to be accepted, while the process was paused, Admit returns a *control.StaleRequestError, because the time at which the
// request was sent is unknown.
func (g *PauseGuard) Admit(ctx context.Context, size int) (time.Duration, error) {
	now := g.checkPause()
	conn := operatorConnOf(ctx)
	resumedAt := time.Duration(g.resumedAt.Load())
	if conn != nil && resumedAt > 0 && conn.acceptedAt < resumedAt+acceptQueueTime {
		g.StaleRequests.Add(1)
		return 0, &control.StaleRequestError{Pause: time.Duration(g.lastPause.Load())}
	}
	return control.Deadline(now, size), nil
}

func (d *Daemon) tickPauseGuard() error {
	tick := time.NewTicker(guardTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-d.Tomb.Dying():
			return nil
		case <-tick.C:
			d.PauseGuard.Tick()
		}
	}
}
