package daemon

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/storage"
	"github.com/mallowbridge/mallowbridge/transport"
)

const (
	ticks     = 50 * time.Millisecond
	deskTicks = mallowbridge.Idle
	// cutOffFeed keeps the market open over a freeze, where serving by an old picture is allowed.
	cutOffFeed = time.Minute
)

type Daemon struct {
	S          Settings
	T          *tomb.Tomb
	Log        *log.Logger
	Desk       *mallowbridge.RouterLoop
	Net        *transport.Net
	in         chan control.In
	calls      chan call
	writes     chan []control.LogWrite
	joins      chan *follower
	leaves     chan *follower
	pics       chan *config.Snapshot
	looks      chan string
	coalescer  *coalescer
	node       *control.Node
	journal    *control.Journal
	boot       string
	Front      string
	onSnapshot func(p *config.Snapshot)
	// Gate keeps out orders that lay here while the process stood still.
	Gate *Gate

	prefills chan mallowbridge.Prefill
}

func seed() (n uint64) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.BigEndian.Uint64(b[:])
}

func diskID() (id string) {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return hex.EncodeToString(b[:])
}

func Start(t *tomb.Tomb, s Settings, lg *log.Logger) (h *Daemon, err error) {
	boot := strconv.FormatUint(seed(), 36)
	h = &Daemon{
		S: s, T: t, Log: lg, in: make(chan control.In, 1024), calls: make(chan call, 64), writes: make(chan []control.LogWrite, control.MaxHeld),
		joins: make(chan *follower), leaves: make(chan *follower), pics: make(chan *config.Snapshot, 1), looks: make(chan string, 64), boot: boot,
		prefills: make(chan mallowbridge.Prefill, prefillQueue), Gate: NewGate(Clock),
	}
	h.Front = s.Name + "." + h.boot
	cfg := control.Config{
		Name: s.Name, Addr: s.Listen, HTTP: s.HTTP, Domain: s.Domain, Seeds: s.Seeds, Boot: boot, Inc: control.Inc(time.Now(), seed()), Seed: seed(),
		Membership: membership.Defaults(), Gossip: gossip.Defaults(),
		Read: s.Host.Read, ListEvery: s.Host.ListEvery, Tolerate: s.Host.Tolerate, Founds: s.Host.Founds, ServesCutOff: s.Host.ServesCutOff,
	}
	if s.Data != "" {
		folder, err := storage.OpenFolder(s.Data)
		if err != nil {
			return nil, err
		}
		if h.journal, err = control.OpenJournal(folder, diskID()); err != nil {
			return nil, err
		}
		if what := h.journal.Repair(); what != "" {
			lg.Warn().Str("what", what).Msg("disk was repaired")
		}
		kept := h.journal.State()
		cfg.Disk = &kept
	}
	rc := mallowbridge.Defaults(s.Name, h.boot, s.Domain)
	rc.Scheduler.QueueLimit = s.Backlog
	if s.Host.ServesCutOff {
		rc.Scheduler.FeedTimeout = cutOffFeed
	}
	h.Desk = mallowbridge.NewRouterLoop(t, mallowbridge.New(rc), Clock, deskTicks)
	h.Desk.OnPrefill(h.placed)
	h.coalescer = newCoalescer(t, h.Desk.Tell)
	h.node = control.New(Clock(), cfg)
	self := transport.Hello{Build: transport.Build, Name: s.Name, Addr: s.Listen, Role: s.Role}
	if h.Net, err = transport.Listen(t, self, h.follow, h.fault); err != nil {
		return nil, err
	}
	if h.journal != nil {
		t.Go(h.persist)
	}
	t.Go(h.watch)
	t.Go(h.failures)
	t.Go(h.control)
	t.Go(h.tickGate)
	return h, nil
}

func (h *Daemon) fault(peer string, err error) {
	h.Log.Warn().Str("peer", peer).Err(err).Msg("connection closed")
}

func (h *Daemon) control() (err error) {
	tick := time.NewTicker(ticks)
	defer tick.Stop()
	replies := map[uint64]chan control.Answer{}
	fs := newFollowers(h)
	id := uint64(0)
	first := time.After(0)
	for {
		var in control.In
		select {
		case <-h.T.Dying():
			return nil
		case <-first:
			first, in = nil, control.Tick{}
		case <-tick.C:
			in = control.Tick{}
		case m := <-h.Net.In:
			in = control.Received{From: m.Hello.Addr, Build: m.Hello.Build, Msg: m.Msg}
		case in = <-h.in:
		case p := <-h.prefills:
			in = h.gather(p)
		case f := <-h.joins:
			in = fs.join(f, h.node)
		case f := <-h.leaves:
			in = fs.leave(f)
		case c := <-h.calls:
			if c.look != nil {
				c.look(h.node)
				c.reply <- control.Answer{}
				continue
			}
			id++
			replies[id] = c.reply
			in = control.Command{ID: id, Op: c.op, Deadline: c.deadline}
		}
		out := h.node.Step(Clock(), in)
		h.perform(out, fs)
		for _, a := range out.Answers {
			if r := replies[a.ID]; r != nil {
				delete(replies, a.ID)
				r <- a
			}
		}
	}
}

func (h *Daemon) perform(out control.Out, fs *followers) {
	if len(out.Writes) > 0 {
		h.writes <- out.Writes
	}
	for _, s := range out.Sends {
		h.Net.Send(s.To, s.Msg)
	}
	for _, ev := range out.Events {
		if p, is := ev.(mallowbridge.Prefill); is {
			h.Desk.TellIfIdle(p)
			continue
		}
		h.tell(ev)
		fs.tell(ev)
		if o, ok := ev.(mallowbridge.SnapshotUpdate); ok {
			h.watchSnapshot(o.Picture)
			if h.onSnapshot != nil {
				h.onSnapshot(o.Picture)
			}
		}
	}
	for _, p := range out.Probes {
		h.T.Go(func() error {
			h.probe(p)
			return nil
		})
	}
	if out.List {
		h.T.Go(h.list)
	}
	h.wake(out.Looks)
	for _, c := range out.Changes {
		h.Log.Info().Str("what", c.What).Str("detail", c.Detail).Msg("change")
	}
}
