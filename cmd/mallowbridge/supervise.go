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

// supervise handles signals until the node ends: SIGHUP reloads the settings file, other signals drain and stop the node.
func (n *platformNode) supervise(file string, signals chan os.Signal) error {
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	for {
		select {
		case <-n.tomb.Dying():
			return n.tomb.Wait()
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				n.reload(file)
				continue
			}
			n.log.Info().Msg("draining")
			n.drain()
			n.tomb.Kill(nil)
			err := n.tomb.Wait()
			n.log.Info().Msg("stopped")
			return err
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
	n.settings = s
	n.daemon.Call(control.SetSeeds{Addrs: s.InternalSeeds()})
	n.log.Info().Msg("settings reloaded")
}

// retireTimeout limits how long a shutdown waits for the goroutine that owns the control state, which a hanging disk can block.
const retireTimeout = 200 * time.Millisecond

// drain shuts the node down in order within its grace period. It first reports that the node is not ready, so that clients use other nodes,
// and lets no request wait for a replica any more, then gives up the node's leases and roles, and returns when no request is running.
func (n *platformNode) drain() {
	schedule := proxy.ShutdownSchedule{Grace: n.settings.Bounds.GracePeriod}
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
