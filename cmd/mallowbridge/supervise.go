package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/daemon"
	"github.com/mallowbridge/mallowbridge/platform"
	"github.com/mallowbridge/mallowbridge/proxy"
	"github.com/mallowbridge/mallowbridge/router"
)

// nodeSignals are the signals that a node handles, with a channel for each purpose, so that a series of one kind cannot displace the other. A signal
// that arrives while one of its kind waits adds nothing and is dropped.
type nodeSignals struct {
	reload, stop chan os.Signal
}

// newNodeSignals registers SIGHUP, which would end the process by default; one that arrives during the start waits until the node is up.
// The stop signals keep their default effect until the node is up.
func newNodeSignals() nodeSignals {
	signals := nodeSignals{reload: make(chan os.Signal, 1), stop: make(chan os.Signal, 1)}
	signal.Notify(signals.reload, syscall.SIGHUP)
	return signals
}

// supervise handles signals until the node ends: SIGHUP reloads the settings file, SIGTERM and SIGINT drain and stop the node.
func (n *platformNode) supervise(file string, signals nodeSignals) error {
	signal.Notify(signals.stop, syscall.SIGTERM, os.Interrupt)
	// The tomb does not wait for this goroutine: reading the settings file can block for ever.
	go n.reloadOnSignal(file, signals.reload)
	select {
	case <-n.tomb.Dying():
		return n.tomb.Wait()
	case <-signals.stop:
	}
	n.log.Info().Msg("draining")
	n.drain()
	n.tomb.Kill(nil)
	err := n.tomb.Wait()
	n.log.Info().Msg("stopped")
	return err
}

// reloadOnSignal reloads the settings file on each signal until the node ends.
func (n *platformNode) reloadOnSignal(file string, signals <-chan os.Signal) {
	for {
		select {
		case <-n.tomb.Dying():
			return
		case <-signals:
			n.reload(file)
		}
	}
}

// reload applies the seeds and the grace period from the settings file. The other settings keep the values with which the node was started.
func (n *platformNode) reload(file string) {
	s, err := platform.ReadSettings(file)
	if err != nil {
		n.log.Warn().Err(err).Msg("settings invalid, keeping the previous ones")
		return
	}
	n.gracePeriod.Store(int64(s.Bounds.GracePeriod))
	n.daemon.Call(control.SetSeeds{Addrs: s.InternalSeeds()})
	n.log.Info().Msg("settings reloaded")
}

// retireTimeout limits how long a shutdown waits for the goroutine that owns the control state, which a hanging disk can block.
const retireTimeout = 200 * time.Millisecond

// drain shuts the node down in order within its grace period. It first reports that the node is not ready, so that clients use other nodes,
// and lets no request wait for a replica any more, then gives up the node's leases and roles, and returns when no request is running.
func (n *platformNode) drain() {
	schedule := proxy.ShutdownSchedule{Grace: time.Duration(n.gracePeriod.Load())}
	n.draining.Store(true)
	n.proxy.Shutdown(schedule.Grace)
	n.daemon.RouterLoop.Inspect((*router.Router).StopQueueing)
	n.daemon.CallWithDeadline(context.Background(), daemon.Clock()+retireTimeout, control.Retire{})
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	exit, leave := time.After(schedule.ExitAfter()), time.After(schedule.LeaveAfter())
	left := false
	for {
		select {
		case <-exit:
			return
		case <-leave:
			left = true
			n.daemon.Call(control.Leave{})
		case <-tick.C:
			if left && n.proxy.RequestsInFlight() == 0 {
				return
			}
		}
	}
}
