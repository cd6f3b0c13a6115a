package daemon

import (
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/transport"
)

const (
	ticks       = 50 * time.Millisecond
	routerTicks = router.MaxLoopSleep
	// isolatedFeedTimeout keeps the scheduler serving over a freeze, where serving by an old snapshot is allowed.
	isolatedFeedTimeout = time.Minute
)

// Daemon is one node as a process. Its exported fields are set by Start and not changed later.
type Daemon struct {
	Settings Settings
	// Tomb ends all goroutines of the daemon.
	Tomb       *tomb.Tomb
	Log        *log.Logger
	RouterLoop *router.Loop
	Endpoint   *transport.Endpoint
	// FrontendID names this process of the node in answers to clients.
	FrontendID string
	// PauseGuard rejects orders that lay here while the process stood still.
	PauseGuard *PauseGuard

	in    chan control.Input
	calls chan call
	// calledIDs numbers the calls.
	calledIDs   atomic.Uint64
	writes      chan []control.LogWrite
	subscribe   chan *follower
	unsubscribe chan *follower
	snapshots   chan *config.Snapshot
	looks       chan string
	prefills    chan router.Prefill
	coalescer   *coalescer
	node        *control.Node
	journal     *control.Journal
	boot        string
	onSnapshot  func(p *config.Snapshot)
}

func (h *Daemon) logFault(peer string, err error) {
	h.Log.Warn().Str("peer", peer).Err(err).Msg("connection closed")
}

func (h *Daemon) control() error {
	tick := time.NewTicker(ticks)
	defer tick.Stop()
	replies := map[uint64]chan control.Answer{}
	fs := newFollowers(h)
	first := time.After(0)
	for {
		var in control.Input
		select {
		case <-h.Tomb.Dying():
			return nil
		case <-first:
			first, in = nil, control.Tick{}
		case <-tick.C:
			in = control.Tick{}
		case m := <-h.Endpoint.Received:
			in = control.Received{From: m.From.Addr, Build: m.From.Build, Msg: m.Msg}
		case in = <-h.in:
		case p := <-h.prefills:
			in = h.collectPrefills(p)
		case f := <-h.subscribe:
			in = fs.join(f, h.node)
		case f := <-h.unsubscribe:
			in = fs.leave(f)
		case c := <-h.calls:
			if c.look != nil {
				c.look(h.node)
				c.reply <- control.Answer{}
				continue
			}
			if c.cancelled {
				in = control.Cancel{ID: c.id}
				break
			}
			replies[c.id] = c.reply
			in = control.Command{ID: c.id, Op: c.op, Deadline: c.deadline}
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

func (h *Daemon) perform(out control.Output, fs *followers) {
	if len(out.Writes) > 0 {
		h.writes <- out.Writes
	}
	for _, s := range out.Sends {
		h.Endpoint.Send(s.To, s.Msg)
	}
	for _, ev := range out.Events {
		switch ev.(type) {
		case router.Prefill, router.QuotaDecided:
			h.RouterLoop.NotifyIfIdle(ev)
			continue
		}
		h.notify(ev)
		fs.tell(ev)
		if o, ok := ev.(router.SnapshotUpdate); ok {
			h.sendSnapshot(o.Snapshot)
			if h.onSnapshot != nil {
				h.onSnapshot(o.Snapshot)
			}
		}
	}
	for _, p := range out.Probes {
		h.Tomb.Go(func() error {
			h.probe(p)
			return nil
		})
	}
	if out.ReadReplicaList {
		h.Tomb.Go(h.readList)
	}
	h.lookNow(out.Reconnects)
	for _, c := range out.Changes {
		h.Log.Info().Str("what", string(c.What)).Str("detail", c.Detail).Msg("change")
	}
}
