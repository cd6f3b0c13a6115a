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
)

// supervise takes signals until the node ends: SIGHUP reads the settings file again, others drain the node.
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

// reload takes the seeds and the grace period of a settings file that changed; what else the node was started with stays as it is.
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

// retireWithin bounds the wait for the owner of control state, which a hanging disk may hold up, before a stop goes on.
const retireWithin = 200 * time.Millisecond

// drain lets clients go elsewhere first, then hands in what this node does for others, and ends when nothing runs here.
func (n *platformNode) drain() {
	schedule := proxy.ShutdownSchedule{Grace: n.settings.Bounds.GracePeriod}
	n.retired.Store(true)
	n.proxy.Shutdown(schedule.Grace)
	n.daemon.CallWithDeadline(context.Background(), daemon.Clock()+retireWithin, control.Retire{})
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	end, leave := time.After(schedule.ExitAfter()), time.After(schedule.LeaveAfter())
	left := false
	for {
		select {
		case <-end:
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
