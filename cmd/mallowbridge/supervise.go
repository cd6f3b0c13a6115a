package main

import (
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/daemon"
	"github.com/mallowbridge/mallowbridge/platform"
	"github.com/mallowbridge/mallowbridge/proxy"
)

// superviseNode takes signals until the node ends: SIGHUP reads the settings again, others drain it.
func superviseNode(t *tomb.Tomb, h *daemon.Daemon, p *proxy.Proxy, file string, s platform.Settings, retired *atomic.Bool, lg *log.Logger) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	var err error
	for {
		select {
		case <-t.Dying():
			return t.Wait()
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				s = reload(h, file, s, lg)
				continue
			}
			lg.Info().Msg("draining")
			retired.Store(true)
			p.Shutdown(s.Bounds.GracePeriod)
			h.CallBy(daemon.Clock()+retireWithin, control.Retire{})
			drainNode(h, p, s.Bounds.GracePeriod)
			t.Kill(nil)
			err = t.Wait()
			lg.Info().Msg("stopped")
			return err
		}
	}
}

// reload takes the seeds of a settings file that changed; what it was started with stays as it is.
func reload(h *daemon.Daemon, file string, old platform.Settings, lg *log.Logger) platform.Settings {
	s, err := platform.ReadSettings(file)
	if err != nil {
		lg.Warn().Err(err).Msg("settings invalid, keeping the previous ones")
		return old
	}
	h.Call(control.SetSeeds{Addrs: s.InternalSeeds()})
	lg.Info().Msg("settings reloaded")
	return s
}

// retireWithin bounds the wait for the owner of control state, which a hanging disk may hold up, before a stop goes on.
const retireWithin = 200 * time.Millisecond

// drainNode lets clients go elsewhere first, then hands in what this node does for others, and ends when nothing runs here.
func drainNode(h *daemon.Daemon, p *proxy.Proxy, grace time.Duration) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	schedule := proxy.ShutdownSchedule{Grace: grace}
	end, leave := time.After(schedule.ExitAfter()), time.After(schedule.LeaveAfter())
	left := false
	for {
		select {
		case <-end:
			return
		case <-leave:
			left = true
			h.Call(control.Leave{})
		case <-tick.C:
			if left && p.Running() == 0 {
				return
			}
		}
	}
}
