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

// addDaemonCommands adds the commands that run a node of the product's own interface, with or without a disk.
func addDaemonCommands(app *kingpin.Application, cmds map[string]command) {
	for _, r := range []struct{ role, help string }{
		{"core", "Run a node with a disk, which can be a voter on the configuration and routes requests."},
		{"edge", "Run a node without a disk, which only routes requests."},
	} {
		role := r.role
		c := app.Command(role, r.help)
		var s daemon.Settings
		file := c.Flag("settings", "Settings file (JSON); flags override it.").Short('s').String()
		c.Flag("name", "Name of the node, unique in the fleet.").StringVar(&s.Name)
		c.Flag("listen", "IP:port for the other nodes.").StringVar(&s.Listen)
		c.Flag("http", "IP:port for clients and operators.").StringVar(&s.HTTP)
		c.Flag("domain", "Zone of the node.").StringVar(&s.Zone)
		c.Flag("seed", "IP:port of another node to contact first; can be repeated up to three times.").StringsVar(&s.Seeds)
		if role == "core" {
			c.Flag("data", "Data directory.").StringVar(&s.DataDir)
		}
		c.Flag("max-body", "Maximum size of a request body in bytes (1048576).").IntVar(&s.MaxBodyBytes)
		c.Flag("max-streams", "Maximum number of concurrent requests (1024).").IntVar(&s.MaxStreams)
		c.Flag("backlog", "Maximum number of requests that wait for a replica (256).").IntVar(&s.Backlog)
		c.Flag("drain-ms", "Maximum time in milliseconds to wait for running streams during a shutdown (10000).").IntVar(&s.DrainMs)
		cmds[role] = func(_ io.Reader, _ io.Writer) error {
			s.Role = role
			merged, err := mergeSettings(*file, s)
			if err != nil {
				return err
			}
			return runDaemon(merged)
		}
	}
}

// mergeSettings overrides the settings file with the flags and validates the result.
func mergeSettings(file string, flags daemon.Settings) (daemon.Settings, error) {
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

// runDaemon runs a node until it gets a signal, then drains it.
func runDaemon(s daemon.Settings) error {
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
	g := httpapi.New(h.RouterLoop, func(request string, spareTime time.Duration, peek bool) router.AttemptResult {
		return control.WitnessOutcome(h.Call(control.Witness{Request: request, SpareTime: spareTime, Peek: peek}))
	}, httpapi.DefaultLimits(s.MaxBodyBytes, s.MaxStreams))
	g.NodeID = h.FrontendID
	ops := &httpapi.Operations{Control: h, Frontend: g, Clock: daemon.Clock, ExtraCounters: func() map[string]uint64 { return daemonCounters(h) }}
	mux := bunrouter.New()
	ops.Routes(mux)
	srv := &http.Server{
		Handler: mux, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 64 << 10,
		ConnContext: h.PauseGuard.ConnContext,
	}
	t.Go(func() error { return ignoreServerClosed(srv.Serve(lis)) })
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

// daemonCounters returns the node's counters under their published names: "wire.*" for messages between nodes, and "orders.*" for operator
// requests that were not started.
func daemonCounters(h *daemon.Daemon) map[string]uint64 {
	n := &h.Endpoint.Counters
	return map[string]uint64{
		"wire.sent": n.Sent.Load(), "wire.bytes": n.Bytes.Load(), "wire.dropped": n.Dropped.Load(),
		"wire.unreadable": n.ProtocolErrors.Load(), "wire.dials": n.Dials.Load(),
		"orders.stale": h.PauseGuard.StaleRequests.Load(), "orders.callersLeft": h.PauseGuard.ClientsDisconnected.Load(),
	}
}

// ignoreServerClosed returns nil for the error of a server that was closed on purpose.
func ignoreServerClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return trace.Wrap(err)
}

const (
	// admitAfterRetire is how long requests are still admitted after /readyz reports that the node is not ready, while clients move to other nodes.
	// It is at most a quarter of the drain timeout.
	admitAfterRetire = 1500 * time.Millisecond
	// maxUnsentWait is how long, after that, the node waits for admitted requests to be sent to replicas.
	maxUnsentWait = 3 * time.Second
)

// drain shuts the node down in order, within the timeout or until a second signal. It first reports that the node is not ready, then
// stops admitting requests, waits until the admitted ones are sent, gives up leases and capacity, and waits for the running streams.
func drain(h *daemon.Daemon, g *httpapi.Frontend, signals chan os.Signal, timeout time.Duration) {
	g.Retire()
	h.CallWithDeadline(context.Background(), daemon.Clock()+retireTimeout, control.Retire{})
	deadline := time.After(timeout)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	stopAdmitting := time.After(min(admitAfterRetire, timeout/4))
	left := false
	for stoppedAt := time.Now(); ; {
		select {
		case <-tick.C:
		case <-stopAdmitting:
			g.StopAdmitting()
			stoppedAt = time.Now()
			stopAdmitting = nil
		case <-signals:
			return
		case <-deadline:
			return
		}
		if stopAdmitting != nil {
			continue
		}
		unsent := 0
		h.RouterLoop.Inspect(func(r *router.Router) { unsent = r.UnsentRequests() })
		if !left && (unsent == 0 || time.Since(stoppedAt) > maxUnsentWait) {
			left = true
			h.Call(control.Leave{})
		}
		if left && g.RunningRequests() == 0 {
			return
		}
	}
}
