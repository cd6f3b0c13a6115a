package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
	"github.com/phuslu/log"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/daemon"
	"github.com/mallowbridge/mallowbridge/httpapi"
	"github.com/mallowbridge/mallowbridge/router"
)

func daemons(app *kingpin.Application, cmds map[string]command) {
	for _, r := range []struct{ role, help string }{
		{"core", "Run a node with a disk: it may vote on the configuration, and routes too."},
		{"edge", "Run a node without a disk: it routes."},
	} {
		role := r.role
		c := app.Command(role, r.help)
		var s daemon.Settings
		file := c.Flag("settings", "Settings file (JSON); flags go on top of it.").Short('s').String()
		c.Flag("name", "Name of this node, unique in the fleet.").StringVar(&s.Name)
		c.Flag("listen", "IP:port for the other nodes.").StringVar(&s.Listen)
		c.Flag("http", "IP:port for clients and operators.").StringVar(&s.HTTP)
		c.Flag("domain", "Zone this node is in.").StringVar(&s.Zone)
		c.Flag("seed", "IP:port of another node; give up to three.").StringsVar(&s.Seeds)
		if role == "core" {
			c.Flag("data", "Data folder.").StringVar(&s.DataDir)
		}
		c.Flag("max-body", "Longest request body in bytes (1048576).").IntVar(&s.MaxBodyBytes)
		c.Flag("max-streams", "Most requests at once (1024).").IntVar(&s.MaxStreams)
		c.Flag("backlog", "Most requests that wait for a replica (256).").IntVar(&s.Backlog)
		c.Flag("drain-ms", "Longest wait for running streams at a stop (10000).").IntVar(&s.DrainMs)
		cmds[role] = func(_ io.Reader, _ io.Writer) error {
			s.Role = role
			full, err := merge(*file, s)
			if err != nil {
				return err
			}
			return serve(full)
		}
	}
}

// merge puts flags on top of the settings file and checks the whole.
func merge(file string, flags daemon.Settings) (daemon.Settings, error) {
	var err error
	var s daemon.Settings
	if file != "" {
		if s, err = daemon.ReadSettings(file); err != nil {
			return s, err
		}
	}
	s.Role = flags.Role
	for _, f := range []struct{ to, from *string }{
		{&s.Name, &flags.Name}, {&s.Listen, &flags.Listen}, {&s.HTTP, &flags.HTTP}, {&s.Zone, &flags.Zone}, {&s.DataDir, &flags.DataDir},
	} {
		if *f.from != "" {
			*f.to = *f.from
		}
	}
	for _, f := range []struct{ to, from *int }{
		{&s.MaxBodyBytes, &flags.MaxBodyBytes}, {&s.MaxStreams, &flags.MaxStreams}, {&s.Backlog, &flags.Backlog}, {&s.DrainMs, &flags.DrainMs},
	} {
		if *f.from != 0 {
			*f.to = *f.from
		}
	}
	if len(flags.Seeds) > 0 {
		s.Seeds = flags.Seeds
	}
	return daemon.ValidateSettings(s)
}

// serve runs a core or edge until a signal, then drains it.
func serve(s daemon.Settings) error {
	lg := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: os.Stderr}}
	lg.Context = log.NewContext(nil).Str("node", s.Name).Value()
	lis, err := net.Listen("tcp", s.HTTP)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	t := &tomb.Tomb{}
	h, err := daemon.Start(t, s, lg)
	if err != nil {
		t.Kill(nil)
		_ = lis.Close()
		return err
	}
	g := httpapi.New(h.RouterLoop, func(request string, margin time.Duration, peek bool) router.AttemptResult {
		return control.WitnessOutcome(h.Call(control.Witness{Request: request, SpareTime: margin, Peek: peek}))
	}, httpapi.DefaultLimits(s.MaxBodyBytes, s.MaxStreams))
	g.NodeID = h.FrontendID
	ops := &httpapi.Operations{Control: h, Frontend: g, Clock: daemon.Clock, ExtraCounters: func() map[string]uint64 { return daemonCounters(h) }}
	routes := bunrouter.New()
	ops.Routes(routes)
	srv := &http.Server{
		Handler: routes, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 64 << 10,
		ConnContext: h.PauseGuard.ConnContext,
	}
	t.Go(func() error { return served(srv.Serve(lis)) })
	lg.Info().Str("listen", s.Listen).Str("http", s.HTTP).Str("domain", s.Zone).Msg("started")
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	select {
	case <-stop:
		lg.Info().Msg("draining")
		drain(h, g, stop, time.Duration(s.DrainMs)*time.Millisecond)
	case <-t.Dying():
	}
	t.Kill(nil)
	_ = srv.Close()
	err = t.Wait()
	lg.Info().Msg("stopped")
	return err
}

// daemonCounters are published as "wire.*", as operators know them, and "orders.*": orders that were not begun.
func daemonCounters(h *daemon.Daemon) map[string]uint64 {
	n := &h.Endpoint.Counters
	return map[string]uint64{
		"wire.sent": n.Sent.Load(), "wire.bytes": n.Bytes.Load(), "wire.dropped": n.Dropped.Load(),
		"wire.unreadable": n.ProtocolErrors.Load(), "wire.dials": n.Dials.Load(),
		"orders.stale": h.PauseGuard.StaleRequests.Load(), "orders.callersLeft": h.PauseGuard.ClientsDisconnected.Load(),
	}
}

// served takes a closed server for no error.
func served(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return trace.Wrap(err)
}

const (
	// retireFor is how long clients are still admitted after /readyz says no, at most a quarter of the drain.
	retireFor = 1500 * time.Millisecond
	// unsentFor is how long admitted requests may wait to be sent after that.
	unsentFor = 3 * time.Second
)

// drain has clients sent elsewhere first, then admits no more, sends what was admitted, gives up leases and room, and waits for the
// streams.
func drain(h *daemon.Daemon, g *httpapi.Frontend, reload chan os.Signal, most time.Duration) {
	g.Retire()
	h.CallWithDeadline(context.Background(), daemon.Clock()+retireWithin, control.Retire{})
	end := time.After(most)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	shut := time.After(min(retireFor, most/4))
	departed := false
	for from := time.Now(); ; {
		select {
		case <-tick.C:
		case <-shut:
			g.StopAdmitting()
			from = time.Now()
			shut = nil
		case <-reload:
			return
		case <-end:
			return
		}
		if shut != nil {
			continue
		}
		unsent := 0
		h.RouterLoop.Inspect(func(r *router.Router) { unsent = r.UnsentRequests() })
		if !departed && (unsent == 0 || time.Since(from) > unsentFor) {
			departed = true
			h.Call(control.Leave{})
		}
		if departed && g.RunningRequests() == 0 {
			return
		}
	}
}
