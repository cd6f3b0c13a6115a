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
	// controlTickInterval is the time between two ticks of the control loop.
	controlTickInterval = 50 * time.Millisecond
	maxRouterSleep      = router.MaxLoopSleep
	// isolatedControlTimeout is the scheduler's ControlTimeout on a node that may serve requests with an old snapshot while it is isolated. It is
	// long enough for the scheduler to keep serving after the machine was frozen.
	isolatedControlTimeout = time.Minute
)

// Daemon is one node, run by this process. Its exported fields are set by Start and not changed later.
type Daemon struct {
	Settings Settings
	// Tomb stops all goroutines of the daemon when it is killed.
	Tomb       *tomb.Tomb
	Log        *log.Logger
	RouterLoop *router.Loop
	Endpoint   *transport.Endpoint
	// FrontendID identifies this process in responses to clients. It consists of the name of the node and bootID.
	FrontendID string
	// PauseGuard rejects operator requests that may have waited while the process was paused.
	PauseGuard *PauseGuard

	// inputs, calls, subscribe, unsubscribe and prefills contain messages for the control loop.
	inputs chan control.Input
	calls  chan call
	// lastCallID is the ID of the last call.
	lastCallID atomic.Uint64
	// writes contains the entries to append to the journal. Sending to it does not block the control loop, because the node does not produce
	// further writes while control.MaxPendingReplies replies wait for the disk.
	writes      chan []control.LogWrite
	subscribe   chan *follower
	unsubscribe chan *follower
	// snapshots contains the latest snapshot for the replica watchers, reconnects the names of replicas to reconnect to at once.
	snapshots  chan *config.Snapshot
	reconnects chan string
	prefills   chan router.Prefill
	coalescer  *coalescer
	// node and onSnapshot are owned by the control loop.
	node *control.Node
	// journal is nil if the node has no disk.
	journal *control.Journal
	// bootID is a random ID that is new at each start of the process.
	bootID     string
	onSnapshot func(p *config.Snapshot)
}

func (d *Daemon) logPeerError(peer string, err error) {
	d.Log.Warn().Str("peer", peer).Err(err).Msg("connection closed")
}

// runControl is the control loop. It owns the control state: it passes inputs to control.Node.Step and performs the outputs.
func (d *Daemon) runControl() error {
	tick := time.NewTicker(controlTickInterval)
	defer tick.Stop()
	answers := map[uint64]chan control.Answer{}
	fs := newFollowers(d)
	first := time.After(0)
	for {
		var in control.Input
		select {
		case <-d.Tomb.Dying():
			return nil
		case <-first:
			first, in = nil, control.Tick{}
		case <-tick.C:
			in = control.Tick{}
		case m := <-d.Endpoint.Received:
			in = control.Received{From: m.From.Addr, Build: m.From.Build, Msg: m.Msg}
		case in = <-d.inputs:
		case p := <-d.prefills:
			in = d.collectPrefills(p)
		case f := <-d.subscribe:
			in = fs.add(f, d.node)
		case f := <-d.unsubscribe:
			in = fs.remove(f)
		case c := <-d.calls:
			if c.inspect != nil {
				c.inspect(d.node)
				c.answer <- control.Answer{}
				continue
			}
			if c.cancelled {
				in = control.Cancel{ID: c.id}
				break
			}
			answers[c.id] = c.answer
			in = control.Command{ID: c.id, Op: c.op, Deadline: c.deadline}
		}
		out := d.node.Step(Clock(), in)
		d.perform(out, fs)
		for _, a := range out.Answers {
			if answer := answers[a.ID]; answer != nil {
				delete(answers, a.ID)
				answer <- a
			}
		}
	}
}

// perform performs the outputs of one step.
func (d *Daemon) perform(out control.Output, fs *followers) {
	if len(out.Writes) > 0 {
		d.writes <- out.Writes
	}
	for _, s := range out.Sends {
		d.Endpoint.Send(s.To, s.Msg)
	}
	for _, ev := range out.Events {
		switch ev.(type) {
		case router.Prefill, router.QuotaDecided:
			d.RouterLoop.NotifyIfIdle(ev)
			continue
		}
		d.notify(ev)
		fs.publish(ev)
		if o, ok := ev.(router.SnapshotUpdate); ok {
			d.sendSnapshot(o.Snapshot)
			if d.onSnapshot != nil {
				d.onSnapshot(o.Snapshot)
			}
		}
	}
	for _, p := range out.Probes {
		d.Tomb.Go(func() error {
			d.probe(p)
			return nil
		})
	}
	if out.ReadReplicaList {
		d.Tomb.Go(d.readReplicaList)
	}
	d.reconnect(out.Reconnects)
	for _, c := range out.Changes {
		d.Log.Info().Str("what", string(c.What)).Str("detail", c.Detail).Msg("change")
	}
}
