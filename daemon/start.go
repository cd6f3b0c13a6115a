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

func seed() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.BigEndian.Uint64(b[:])
}

func diskID() string {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return hex.EncodeToString(b[:])
}

// Start opens the disk, listens for other nodes and runs the node in goroutines of t. The settings must have passed Check. It fails where
// the disk can't be read or the address can't be bound.
func Start(t *tomb.Tomb, s Settings, lg *log.Logger) (*Daemon, error) {
	h := newDaemon(t, s, lg)
	cfg := h.controlConfig()
	var err error
	if cfg.Disk, err = h.openDisk(); err != nil {
		return nil, err
	}
	h.RouterLoop = router.NewLoop(t, router.New(h.routerConfig()), Clock, routerTicks)
	h.RouterLoop.OnPrefill(h.forwardPrefill)
	h.coalescer = newCoalescer(t, h.RouterLoop.Notify)
	h.node = control.New(Clock(), cfg)
	self := transport.Hello{Build: transport.Build, Name: s.Name, Addr: s.Listen, Role: s.Role}
	if h.Endpoint, err = transport.Listen(t, self, h.follow, h.logFault); err != nil {
		return nil, err
	}
	if h.journal != nil {
		t.Go(h.persist)
	}
	t.Go(h.watch)
	t.Go(h.forwardReports)
	t.Go(h.control)
	t.Go(h.tickGate)
	return h, nil
}

func newDaemon(t *tomb.Tomb, s Settings, lg *log.Logger) *Daemon {
	boot := strconv.FormatUint(seed(), 36)
	return &Daemon{
		Settings:    s,
		Tomb:        t,
		Log:         lg,
		FrontendID:  s.Name + "." + boot,
		PauseGuard:  NewPauseGuard(Clock),
		in:          make(chan control.Input, 1024),
		calls:       make(chan call, 64),
		writes:      make(chan []control.LogWrite, control.MaxPendingReplies),
		subscribe:   make(chan *follower),
		unsubscribe: make(chan *follower),
		snapshots:   make(chan *config.Snapshot, 1),
		looks:       make(chan string, 64),
		prefills:    make(chan router.Prefill, prefillQueue),
		boot:        boot,
	}
}

func (h *Daemon) controlConfig() control.Config {
	s := h.Settings
	return control.Config{
		Name:           s.Name,
		Addr:           s.Listen,
		HTTP:           s.HTTP,
		Zone:           s.Zone,
		Seeds:          s.Seeds,
		Boot:           h.boot,
		Incarnation:    control.FirstIncarnation(time.Now(), seed()),
		Seed:           seed(),
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

func (h *Daemon) routerConfig() router.Config {
	s := h.Settings
	cfg := router.Defaults(s.Name, h.boot, s.Zone)
	cfg.Scheduler.QueueLimit = s.Backlog
	if s.Platform.ServesIsolated {
		cfg.Scheduler.ControlTimeout = isolatedFeedTimeout
	}
	return cfg
}

// openDisk opens the journal and returns what it kept; nil where the node has no disk.
func (h *Daemon) openDisk() (*control.DiskState, error) {
	if h.Settings.DataDir == "" {
		return nil, nil
	}
	folder, err := storage.OpenFolder(h.Settings.DataDir)
	if err != nil {
		return nil, err
	}
	if h.journal, err = control.OpenJournal(folder, diskID()); err != nil {
		return nil, err
	}
	if what := h.journal.RepairReport(); what != "" {
		h.Log.Warn().Str("what", what).Msg("disk was repaired")
	}
	state := h.journal.State()
	return &state, nil
}
