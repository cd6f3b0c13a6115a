package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
)

const (
	watchRetryAfter = 100 * time.Millisecond
	lookMost        = 5 * time.Second
	alive           = 2 * time.Second
)

func (r *FleetReplica) report() control.Probed {
	running, lag := r.model.Usage(r.w.Now)
	return control.Probed{Replica: r.Name, OK: true, InstanceID: r.model.Instance, Running: running, Draining: r.Draining, Lag: lag}
}

func (n *Node) cutFrom(r *FleetReplica) bool {
	return n.w.Net.Blocked(n.Addr, r.addr()) || n.w.Net.Blocked(r.addr(), n.Addr)
}

func (n *Node) watch(p *config.Snapshot) {
	for _, o := range p.Config.Services {
		for _, c := range o.Replicas {
			if r := n.w.replicasByName[c.Name]; r != nil && n.watchers[c.Name] == nil {
				n.watchers[c.Name] = &watcher{n: n, r: r, incarnation: n.incarnation}
				n.watchers[c.Name].look(watchRetryAfter)
			}
		}
	}
}

// An eye is one node's idle connection to one replica; turns tell its timers apart.
type watcher struct {
	n           *Node
	r           *FleetReplica
	incarnation uint64
	turn        int
	open        bool
}

func (e *watcher) after(d time.Duration, do func()) {
	e.turn++
	turn := e.turn
	e.n.w.After(d, func() {
		if e.turn == turn && e.n.incarnation == e.incarnation && e.n.Alive {
			do()
		}
	})
}

func (e *watcher) look(nap time.Duration) {
	n, r := e.n, e.r
	repeated := func() { e.look(min(2*nap, lookMost)) }
	if n.cutFrom(r) || r.Unreachable {
		e.after(dialFor+nap, repeated)
		return
	}
	sight := control.ConnectionChange{State: control.ConnectionRefused, Probed: control.Probed{Replica: r.Name}}
	if r.Up {
		sight = control.ConnectionChange{State: control.ConnectionUp, Probed: r.report()}
		e.open = true
		e.stare(r.incarnations)
	} else {
		e.after(nap, repeated)
	}
	n.later(2*n.w.Net.Delay(n.Zone == r.Zone), func() { n.step(sight) })
}

// stare notices when the replica of that life is gone: at once by its reset, and by keep-alive where a cut held that back.
func (e *watcher) stare(lives uint64) {
	n, r := e.n, e.r
	e.turn++
	if r.Up && r.incarnations == lives {
		r.watchers = append(r.watchers, func() {
			if n.incarnation == e.incarnation && n.Alive {
				e.gone()
			}
		})
	}
}

func (e *watcher) gone() {
	n, r := e.n, e.r
	if n.cutFrom(r) {
		e.after(alive, e.gone)
		return
	}
	e.open = false
	n.later(n.w.Net.Delay(n.Zone == r.Zone), func() {
		n.step(control.ConnectionChange{State: control.ConnectionClosed, Probed: control.Probed{Replica: r.Name}})
		e.look(watchRetryAfter)
	})
}

func (e *watcher) poke() {
	if e != nil && !e.open {
		e.look(watchRetryAfter)
	}
}

func (n *Node) probe(p control.Probe) {
	r := n.w.replicasByName[p.Replica]
	if r == nil || !r.Up || r.Unreachable || n.cutFrom(r) {
		n.later(400*time.Millisecond, func() { n.step(control.Probed{Replica: p.Replica, Local: p.Local}) })
		return
	}
	res := r.report()
	res.Local = p.Local
	n.later(2*n.w.Net.Delay(n.Zone == r.Zone), func() { n.step(res) })
}
