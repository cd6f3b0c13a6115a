package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
)

const (
	lookAgain = 100 * time.Millisecond
	lookMost  = 5 * time.Second
	alive     = 2 * time.Second
)

func (r *Rep) report() control.Probed {
	running, lag := r.m.Usage(r.w.now)
	return control.Probed{Replica: r.Name, OK: true, InstanceID: r.m.Instance, Running: running, Draining: r.Leaving, Lag: lag}
}

func (n *Node) cutFrom(r *Rep) bool {
	return n.w.Net.blocked(n.Addr, r.addr()) || n.w.Net.blocked(r.addr(), n.Addr)
}

func (n *Node) watch(p *config.Snapshot) {
	for _, o := range p.Config.Services {
		for _, c := range o.Replicas {
			if r := n.w.byRep[c.Name]; r != nil && n.eyes[c.Name] == nil {
				n.eyes[c.Name] = &eye{n: n, r: r, life: n.life}
				n.eyes[c.Name].look(lookAgain)
			}
		}
	}
}

// An eye is one node's idle connection to one replica; turns tell its timers apart.
type eye struct {
	n    *Node
	r    *Rep
	life uint64
	turn int
	open bool
}

func (e *eye) after(d time.Duration, do func()) {
	e.turn++
	turn := e.turn
	e.n.w.after(d, func() {
		if e.turn == turn && e.n.life == e.life && e.n.Alive {
			do()
		}
	})
}

func (e *eye) look(nap time.Duration) {
	n, r := e.n, e.r
	again := func() { e.look(min(2*nap, lookMost)) }
	if n.cutFrom(r) || r.Dark {
		e.after(dialFor+nap, again)
		return
	}
	sight := control.Observation{State: control.Down, Probed: control.Probed{Replica: r.Name}}
	if r.Up {
		sight = control.Observation{State: control.Up, Probed: r.report()}
		e.open = true
		e.stare(r.lives)
	} else {
		e.after(nap, again)
	}
	n.later(2*n.w.Net.delay(n.Domain == r.Domain), func() { n.step(sight) })
}

// stare notices when the replica of that life is gone: at once by its reset, and by keep-alive where a cut held that back.
func (e *eye) stare(lives uint64) {
	n, r := e.n, e.r
	e.turn++
	if r.Up && r.lives == lives {
		r.eyes = append(r.eyes, func() {
			if n.life == e.life && n.Alive {
				e.gone()
			}
		})
	}
}

func (e *eye) gone() {
	n, r := e.n, e.r
	if n.cutFrom(r) {
		e.after(alive, e.gone)
		return
	}
	e.open = false
	n.later(n.w.Net.delay(n.Domain == r.Domain), func() {
		n.step(control.Observation{State: control.Closed, Probed: control.Probed{Replica: r.Name}})
		e.look(lookAgain)
	})
}

func (e *eye) poke() {
	if e != nil && !e.open {
		e.look(lookAgain)
	}
}

func (n *Node) probe(p control.Probe) {
	r := n.w.byRep[p.Replica]
	if r == nil || !r.Up || r.Dark || n.cutFrom(r) {
		n.later(400*time.Millisecond, func() { n.step(control.Probed{Replica: p.Replica, Local: p.Local}) })
		return
	}
	res := r.report()
	res.Local = p.Local
	n.later(2*n.w.Net.delay(n.Domain == r.Domain), func() { n.step(res) })
}
