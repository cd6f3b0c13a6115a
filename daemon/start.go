package daemon

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/storage"
	"github.com/mallowbridge/mallowbridge/transport"
)

func randomUint64() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.BigEndian.Uint64(b[:])
}

// newDiskID returns a random ID for a disk that is used for the first time.
func newDiskID() string {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return hex.EncodeToString(b[:])
}

// Start opens the node's disk, listens for other nodes and runs the node in goroutines of t. The settings must have been returned by
// ValidateSettings. It returns an error if the disk cannot be read or the address cannot be bound.
func Start(t *tomb.Tomb, s Settings, lg *log.Logger) (*Daemon, error) {
	d := newDaemon(t, s, lg)
	cfg := d.controlConfig()
	var err error
	if cfg.Disk, err = d.openDisk(); err != nil {
		return nil, err
	}
	d.RouterLoop = router.NewLoop(t, router.New(d.routerConfig()), Clock, maxRouterSleep)
	d.RouterLoop.OnPrefill(d.forwardPrefill)
	d.coalescer = newCoalescer(t, d.RouterLoop.Notify)
	d.node = control.New(Clock(), cfg)
	self := transport.Hello{Build: transport.Build, Name: s.Name, Addr: s.Listen, Role: s.Role}
	if d.Endpoint, err = transport.Listen(t, self, d.serveFollower, d.logPeerError); err != nil {
		return nil, err
	}
	if d.journal != nil {
		t.Go(d.persist)
	}
	t.Go(d.watchReplicas)
	t.Go(d.forwardReports)
	t.Go(d.runControl)
	t.Go(d.tickPauseGuard)
	return d, nil
}

func newDaemon(t *tomb.Tomb, s Settings, lg *log.Logger) *Daemon {
	bootID := strconv.FormatUint(randomUint64(), 36)
	return &Daemon{
		Settings:    s,
		Tomb:        t,
		Log:         lg,
		FrontendID:  s.Name + "." + bootID,
		PauseGuard:  NewPauseGuard(Clock),
		inputs:      make(chan control.Input, 1024),
		calls:       make(chan call, 64),
		writes:      make(chan []control.LogWrite, control.MaxPendingReplies),
		subscribe:   make(chan *follower),
		unsubscribe: make(chan *follower),
		snapshots:   make(chan *config.Snapshot, 1),
		reconnects:  make(chan string, 64),
		prefills:    make(chan router.Prefill, prefillQueueLength),
		bootID:      bootID,
	}
}

func (d *Daemon) controlConfig() control.Config {
	s := d.Settings
	return control.Config{
		Name:           s.Name,
		Addr:           s.Listen,
		HTTP:           s.HTTP,
		Zone:           s.Zone,
		Seeds:          s.Seeds,
		BootID:         d.bootID,
		Incarnation:    control.FirstIncarnation(time.Now(), randomUint64()),
		Seed:           randomUint64(),
		Membership:     membership.Defaults(),
		Gossip:         gossip.Defaults(),
		Read:           s.Platform.ReadDocument,
		ListEvery:      s.Platform.ListInterval,
		FaultTolerance: s.Platform.FaultTolerance,
		Bootstraps:     s.Platform.Bootstraps,
		ServesIsolated: s.Platform.ServesIsolated,
		HidesDocument:  s.Platform.HidesDocument,
		Quota:          s.Platform.Quota,
	}
}

func (d *Daemon) routerConfig() router.Config {
	s := d.Settings
	cfg := router.Defaults(s.Name, d.bootID, s.Zone)
	cfg.Scheduler.QueueLimit = s.Backlog
	if s.Platform.ServesIsolated {
		cfg.Scheduler.ControlTimeout = isolatedControlTimeout
	}
	return cfg
}

// openDisk opens the journal and returns the state that it contains, or nil if the node has no disk.
func (d *Daemon) openDisk() (*control.DiskState, error) {
	if d.Settings.DataDir == "" {
		return nil, nil
	}
	folder, err := storage.OpenFolder(d.Settings.DataDir)
	if err != nil {
		return nil, err
	}
	if d.journal, err = control.OpenJournal(folder, newDiskID()); err != nil {
		return nil, err
	}
	if report := d.journal.RepairReport(); report != "" {
		d.Log.Warn().Str("what", report).Msg("disk was repaired")
	}
	state := d.journal.State()
	return &state, nil
}
