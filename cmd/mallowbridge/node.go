package main

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
	"github.com/phuslu/log"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/daemon"
	"github.com/mallowbridge/mallowbridge/httpapi"
	"github.com/mallowbridge/mallowbridge/platform"
	"github.com/mallowbridge/mallowbridge/proxy"
	"github.com/mallowbridge/mallowbridge/router"
)

// addNodeCommand adds the command that runs a node on the users' platform.
func addNodeCommand(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("node", "Run a node on the users' platform, with settings from a YAML file.")
	file := c.Flag("settings", "Settings file (YAML).").Short('s').Envar(platform.SettingsEnvVar).Required().String()
	var replicas placement
	replicas.addFlags(c)
	cmds["node"] = func(_ io.Reader, _ io.Writer) error {
		signals := newNodeSignals()
		s, err := platform.ReadSettings(*file)
		if err != nil {
			return err
		}
		return runNode(*file, s, replicas, signals)
	}
}

const (
	// listInterval is the time between reads of the platform's list of replicas.
	listInterval = time.Second
	// maxPredictionTTL is how long a prediction that a replica has a prefix in its cache may be trusted.
	maxPredictionTTL = 2 * time.Second
)

// retryAllowanceReserve is the part of the retry allowance that is not used. It keeps the fleet within the allowance while nodes have different views of
// the members.
const retryAllowanceReserve = 0.25

// documentReader returns a reader of the operators' documents that adds the bounds from the settings to the services.
func documentReader(documents *platform.CachingReader, b platform.Bounds) config.Reader {
	return func(raw []byte) (config.Config, error) {
		var err error
		var c config.Config
		if c, err = documents.Read(raw); err != nil {
			return c, err
		}
		for i := range c.Services {
			c.Services[i].MaxPredictionTTL = maxPredictionTTL
			c.Services[i].RetryRatio, c.Services[i].RetryAllowance = b.RetryRatio, int(float64(b.RetryAllowance)*(1-retryAllowanceReserve))
		}
		return c, nil
	}
}

// daemonSettings converts the platform's settings to those of the daemon.
func daemonSettings(s platform.Settings, documents *platform.CachingReader) daemon.Settings {
	settings := daemon.Settings{
		Role: "core", Name: s.Name, Listen: s.ListenAddr(), HTTP: s.FrontAddr, Zone: s.Zone, DataDir: s.DataDirectory, Seeds: s.InternalSeeds(),
		Backlog: 1024, MaxBodyBytes: 1, MaxStreams: 1, DrainMs: 1,
		Platform: daemon.PlatformOptions{
			ReadDocument: documentReader(documents, s.Bounds), ListInterval: listInterval, FaultTolerance: s.FaultTolerance.Machines, Bootstraps: s.FirstStart, ServesIsolated: true,
			Quota: s.Bounds.Quota, HidesDocument: true,
		},
	}
	get := platform.NewGetter(s.CloudAPI.Address)
	settings.Platform.ListReplicas = func() ([]router.Instance, error) { return platform.ListInstances(get) }
	return settings
}

// proxyHeaders returns the names and parsers of the platform's headers for the proxy.
func proxyHeaders() proxy.Headers {
	return proxy.Headers{
		AttemptID: platform.HeaderAttemptID, TargetInstance: platform.HeaderTargetInstance, NotExecuted: platform.HeaderNotExecuted, Load: platform.HeaderLoad,
		Deadline: platform.HeaderDeadline, Prefix: platform.HeaderPromptPrefix, Model: platform.HeaderModel, Tokens: platform.HeaderTokenUsage,
		Seal: platform.HeaderSeal, Instance: platform.HeaderInstanceID, Priority: platform.HeaderPriority,
		Credential: platform.HeaderCredential, Tenant: platform.HeaderTenant,
		WeightsVersion: platform.HeaderWeightVersions, ExpectedVersion: platform.HeaderExpectedVersion,
		ParseTokens: platform.ParseTokens, ParseLoad: platform.ParseLoad,
	}
}

// platformNode is a node on the users' platform.
type platformNode struct {
	tomb   *tomb.Tomb
	log    *log.Logger
	daemon *daemon.Daemon
	proxy  *proxy.Proxy
	// gracePeriod is the time.Duration that a shutdown may take. A reload changes it.
	gracePeriod atomic.Int64
	// documents may only be used by the goroutine that owns the control state.
	documents platform.CachingReader
	// limits are those of the current configuration.
	limits atomic.Pointer[config.Limits]
	// draining is set once the shutdown has started.
	draining atomic.Bool
}

// runNode starts the node and runs it until it is stopped.
func runNode(file string, s platform.Settings, replicas placement, signals nodeSignals) error {
	if mb := s.Resources.MemoryMB; mb > 0 {
		// The soft limit of the Go runtime is 70 % of the process's memory.
		debug.SetMemoryLimit(int64(mb) << 20 * 7 / 10)
	}
	lg := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: os.Stderr}}
	lg.Context = log.NewContext(nil).Str("node", s.Name).Value()
	n := &platformNode{tomb: &tomb.Tomb{}, log: lg}
	n.gracePeriod.Store(int64(s.Bounds.GracePeriod))
	n.limits.Store(&config.Limits{})
	listeners, err := openListeners(s)
	if err != nil {
		return err
	}
	if n.daemon, err = daemon.Start(n.tomb, daemonSettings(s, &n.documents), lg); err != nil {
		n.tomb.Kill(nil)
		return err
	}
	n.daemon.RouterLoop.Inspect(replicas.apply)
	n.proxy = proxy.New(n.daemon.RouterLoop, proxyHeaders(), proxySettings(s), n.currentLimits, n.daemon.FrontendID)
	n.daemon.OnSnapshot(n.applyLimits)
	n.serve(listeners)
	lg.Info().Str("zone", s.Zone).Bool("first", s.FirstStart).Msg("started")
	return n.supervise(file, signals)
}

// applyLimits applies the limits of a new configuration. Existing connections are updated in a separate goroutine, because the owner of the control
// state, which calls applyLimits, must not block.
func (n *platformNode) applyLimits(snapshot *config.Snapshot) {
	if previous := n.limits.Swap(&snapshot.Config.Limits); *previous != snapshot.Config.Limits {
		go n.proxy.LimitsChanged()
	}
}

func (n *platformNode) currentLimits() config.Limits { return *n.limits.Load() }

// serve serves each interface that has a listener.
func (n *platformNode) serve(listeners map[string]net.Listener) {
	if lis := listeners[frontInterface]; lis != nil {
		n.tomb.Go(func() error {
			awaitReady(n.tomb, n.daemon)
			proxy.Serve(n.tomb, lis, n.proxy, n.currentLimits)
			return nil
		})
	}
	if lis := listeners[readinessInterface]; lis != nil {
		serveHTTP(n.tomb, lis, platform.ReadinessHandler(func() string { return readiness(n.daemon, &n.draining) }), nil)
	}
	if lis := listeners[controlInterface]; lis != nil {
		serveHTTP(n.tomb, lis, n.controlRoutes(), n.daemon.PauseGuard.ConnContext)
	}
}

// controlRoutes returns the routes of the operators' interface.
func (n *platformNode) controlRoutes() *bunrouter.Router {
	routes := bunrouter.New()
	platform.AddRoutes(routes, daemon.OperatorControl{Daemon: n.daemon}, &n.documents)
	operations := &httpapi.Operations{
		Control: n.daemon, Router: n.daemon.RouterLoop, Clock: daemon.Clock,
		ExtraCounters: func() map[string]uint64 { return mergeCounters(daemonCounters(n.daemon), n.proxy.Counters.Map()) },
	}
	operations.StatusRoutes(routes)
	return routes
}

// proxySettings returns the proxy's settings. Buffered requests and responses may use at most a quarter of the memory.
func proxySettings(s platform.Settings) proxy.Settings {
	settings := proxy.Defaults()
	if mb := s.Resources.MemoryMB; mb > 0 {
		settings.BudgetBytes = min(settings.BudgetBytes, mb<<20/4)
	}
	return settings
}

// mergeCounters merges counters, whose names must be different.
func mergeCounters(all ...map[string]uint64) map[string]uint64 {
	merged := map[string]uint64{}
	for _, c := range all {
		maps.Copy(merged, c)
	}
	return merged
}

// The interfaces of a node on the users' platform.
const (
	frontInterface     = "front"
	readinessInterface = "readiness"
	controlInterface   = "control"
)

// openListeners listens on each address in the settings. It returns the listeners by interface.
func openListeners(s platform.Settings) (map[string]net.Listener, error) {
	listeners := map[string]net.Listener{}
	var err error
	for name, addr := range map[string]string{frontInterface: s.FrontAddr, readinessInterface: s.ReadinessAddr, controlInterface: s.ControlAddr} {
		if addr == "" {
			continue
		}
		if listeners[name], err = net.Listen("tcp", addr); err != nil {
			return nil, trace.ConvertSystemError(err)
		}
	}
	return listeners, nil
}

// serveHTTP serves probes and operators' requests until the tomb dies. connContext may be nil; otherwise it is called for each new connection.
func serveHTTP(t *tomb.Tomb, lis net.Listener, h http.Handler, connContext func(context.Context, net.Conn) context.Context) {
	srv := &http.Server{Handler: h, ConnContext: connContext, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	t.Go(func() error { return ignoreServerClosed(srv.Serve(lis)) })
	t.Go(func() error {
		<-t.Dying()
		return srv.Close()
	})
}
