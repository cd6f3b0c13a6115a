package main

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
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

func nodes(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("node", "Run a node on the users' platform: its settings come from a YAML file.")
	file := c.Flag("settings", "Settings file.").Short('s').Envar(platform.SettingsEnvVar).Required().String()
	way := c.Flag("placement", "How replicas are chosen: index; blind (by load, the index off) and round-robin are for comparisons.").
		Default(byIndex).Enum(byIndex, blind, roundRobin)
	cmds["node"] = func(_ io.Reader, _ io.Writer) error {
		// SIGHUP would end the process; one that comes while the node starts waits here. Other signals end a node that starts, as they should.
		signals := make(chan os.Signal, pendingSignals)
		signal.Notify(signals, syscall.SIGHUP)
		s, err := platform.ReadSettings(*file)
		if err != nil {
			return err
		}
		return runNode(*file, s, *way, signals)
	}
}

// pendingSignals is how many signals may wait while the node starts.
const pendingSignals = 4

const (
	listEvery = time.Second
	// staleCap bounds how long a predicted holding may be trusted.
	staleCap = 2 * time.Second
)

// allowanceMargin keeps a part of the allowed second attempts back for the moments in which nodes hold different members.
const allowanceMargin = 0.25

// reader reads the platform's document and adds what the settings bound.
func reader(documents *platform.CachingReader, b platform.Bounds) config.Reader {
	return func(raw []byte) (config.Config, error) {
		var err error
		var c config.Config
		if c, err = documents.Read(raw); err != nil {
			return c, err
		}
		for i := range c.Services {
			c.Services[i].MaxPredictionTTL = staleCap
			c.Services[i].RetryRatio, c.Services[i].RetryAllowance = b.RetryRatio, int(float64(b.RetryAllowance)*(1-allowanceMargin))
		}
		return c, nil
	}
}

// nodeSettings puts the platform's settings into the daemon's.
func nodeSettings(s platform.Settings, documents *platform.CachingReader) daemon.Settings {
	h := daemon.Settings{
		Role: "core", Name: s.Name, Listen: s.ListenAddr(), HTTP: s.FrontAddr, Zone: s.Zone, Data: s.DataDirectory, Seeds: s.InternalSeeds(),
		Backlog: 1024, MaxBody: 1, MaxStreams: 1, DrainMs: 1,
		Host: daemon.Host{
			Read: reader(documents, s.Bounds), ListEvery: listEvery, FaultTolerance: s.FaultTolerance.Machines, Bootstraps: s.FirstStart, ServesIsolated: true,
			Quota: s.Bounds.Quota, HidesDocument: true,
		},
	}
	get := platform.NewGetter(s.CloudAPI.Address)
	h.Host.List = func() ([]router.Instance, error) { return platform.ListInstances(get) }
	return h
}

// headers names the platform's headers to the proxy.
func headers() proxy.Headers {
	return proxy.Headers{
		AttemptID: platform.HeaderAttemptID, TargetInstance: platform.HeaderTargetInstance, NotExecuted: platform.HeaderNotExecuted, Load: platform.HeaderLoad,
		Deadline: platform.HeaderDeadline, Prefix: platform.HeaderPromptPrefix, Model: platform.HeaderModel, Tokens: platform.HeaderTokenUsage,
		Seal: platform.HeaderSeal, Instance: platform.HeaderInstanceID, Priority: platform.HeaderPriority,
		Credential: platform.HeaderCredential, Tenant: platform.HeaderTenant,
		WeightsVersion: platform.HeaderWeightVersions, ExpectedVersion: platform.HeaderExpectedVersion,
		ParseTokens: platform.ParseTokens, ParseLoad: platform.ParseLoad,
	}
}

// platformNode is a node on the users' platform with what its listeners serve.
type platformNode struct {
	tomb     *tomb.Tomb
	log      *log.Logger
	settings platform.Settings
	daemon   *daemon.Daemon
	proxy    *proxy.Proxy
	// documents belongs to the owner of control state.
	documents platform.CachingReader
	// limits are those of the configuration in force.
	limits  atomic.Pointer[config.Limits]
	retired atomic.Bool
}

func runNode(file string, s platform.Settings, way string, signals chan os.Signal) error {
	if mb := s.Resources.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * 7 / 10)
	}
	lg := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: os.Stderr}}
	lg.Context = log.NewContext(nil).Str("node", s.Name).Value()
	n := &platformNode{tomb: &tomb.Tomb{}, settings: s, log: lg}
	n.limits.Store(&config.Limits{})
	listeners, err := listenAll(s)
	if err != nil {
		return err
	}
	if n.daemon, err = daemon.Start(n.tomb, nodeSettings(s, &n.documents), lg); err != nil {
		n.tomb.Kill(nil)
		return err
	}
	n.daemon.Loop.Inspect(func(r *router.Router) { placement(r, way) })
	n.proxy = proxy.New(n.daemon.Loop, headers(), proxySettings(s), n.limitsNow, n.daemon.FrontendID)
	n.daemon.OnSnapshot(n.followLimits)
	n.serve(listeners)
	lg.Info().Str("zone", s.Zone).Bool("first", s.FirstStart).Msg("started")
	return n.supervise(file, signals)
}

// followLimits puts the limits of a configuration into force; kept connections follow beside the owner of control state, which must not wait.
func (n *platformNode) followLimits(p *config.Snapshot) {
	if former := n.limits.Swap(&p.Config.Limits); *former != p.Config.Limits {
		go n.proxy.LimitsChanged()
	}
}

func (n *platformNode) limitsNow() config.Limits { return *n.limits.Load() }

// serve serves each interface that the settings give the node.
func (n *platformNode) serve(listeners map[string]net.Listener) {
	if lis := listeners[frontInterface]; lis != nil {
		n.tomb.Go(func() error {
			awaitReady(n.tomb, n.daemon)
			proxy.Serve(n.tomb, lis, n.proxy, n.limitsNow)
			return nil
		})
	}
	if lis := listeners[readinessInterface]; lis != nil {
		serveOps(n.tomb, lis, platform.ReadinessHandler(func() string { return readiness(n.daemon, &n.retired) }), nil)
	}
	if lis := listeners[controlInterface]; lis != nil {
		serveOps(n.tomb, lis, n.controlRoutes(), n.daemon.Gate.ConnContext)
	}
}

func (n *platformNode) controlRoutes() *bunrouter.Router {
	routes := bunrouter.New()
	platform.AddRoutes(routes, daemon.Documents{Daemon: n.daemon}, &n.documents)
	operations := &httpapi.Operations{
		Control: n.daemon, Router: n.daemon.Loop, Clock: daemon.Clock,
		Extra: func() map[string]uint64 { return merged(daemonCounters(n.daemon), n.proxy.Counters.Map()) },
	}
	operations.Watch(routes)
	return routes
}

// proxySettings lets requests and answers hold a quarter of the memory at most.
func proxySettings(s platform.Settings) proxy.Settings {
	set := proxy.Defaults()
	if mb := s.Resources.MemoryMB; mb > 0 {
		set.BudgetBytes = min(set.BudgetBytes, mb<<20/4)
	}
	return set
}

// merged joins counters of different names.
func merged(all ...map[string]uint64) map[string]uint64 {
	one := map[string]uint64{}
	for _, c := range all {
		maps.Copy(one, c)
	}
	return one
}

// The interfaces of a node on the platform.
const (
	frontInterface     = "front"
	readinessInterface = "readiness"
	controlInterface   = "control"
)

// listenAll opens the addresses that the settings give, by interface.
func listenAll(s platform.Settings) (map[string]net.Listener, error) {
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

// serveOps serves probes and operators until the tomb dies; opened, where there is one, sees each new connection.
func serveOps(t *tomb.Tomb, lis net.Listener, h http.Handler, opened func(context.Context, net.Conn) context.Context) {
	srv := &http.Server{Handler: h, ConnContext: opened, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	t.Go(func() error { return served(srv.Serve(lis)) })
	t.Go(func() error {
		<-t.Dying()
		return srv.Close()
	})
}
