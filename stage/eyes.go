package stage

import (
	"time"

	"github.com/mallowbridge/mallowbridge/charter"
	"github.com/mallowbridge/mallowbridge/crux"
)

const (
	lookAgain = 100 * time.Millisecond
	alive     = 2 * time.Second
)

func (r *Rep) report() (p crux.Probed) {
	running, lag := r.m.Usage(r.w.now)
	return crux.Probed{Replica: r.Name, OK: true, InstanceID: r.m.Instance, Running: running, Leaving: r.Leaving, Lag: lag}
}

func (n *Node) cutFrom(r *Rep) (yes bool) {
	return n.w.Net.blocked(n.Addr, r.addr()) || n.w.Net.blocked(r.addr(), n.Addr)
}

func (n *Node) watch(p *charter.Picture) {
	for _, o := range p.Charter.Offers {
		for _, c := range o.Replicas {
			if r := n.w.byRep[c.Name]; r != nil && !n.eyes[c.Name] {
				n.eyes[c.Name] = true
				n.look(r, n.life)
			}
		}
	}
}

func (n *Node) look(r *Rep, life uint64) {
	if n.life != life || !n.Alive {
		return
	}
	w := n.w
	if n.cutFrom(r) || r.Dark {
		w.after(dialFor, func() { n.look(r, life) })
		return
	}
	sight := crux.Sighted{State: crux.Down, Probed: crux.Probed{Replica: r.Name}}
	if r.Up {
		sight = crux.Sighted{State: crux.Up, Probed: r.report()}
		lives := r.lives
		w.after(lookAgain/20, func() { n.stare(r, lives, life) })
	} else {
		w.after(lookAgain, func() { n.look(r, life) })
	}
	n.later(2*w.Net.delay(n.Domain == r.Domain), func() { n.step(sight) })
}

// stare notices when the replica of that life is gone: at once by its reset, and by keep-alive where a cut held that back.
func (n *Node) stare(r *Rep, lives, life uint64) {
	if n.life != life || !n.Alive {
		return
	}
	gone := func() {
		n.step(crux.Sighted{State: crux.Shut, Probed: crux.Probed{Replica: r.Name}})
		n.look(r, life)
	}
	if r.Up && r.lives == lives {
		r.eyes = append(r.eyes, func() {
			if n.cutFrom(r) {
				n.w.after(alive, func() { n.stare(r, lives, life) })
				return
			}
			n.later(n.w.Net.delay(n.Domain == r.Domain), gone)
		})
		return
	}
	if n.cutFrom(r) {
		n.w.after(alive, func() { n.stare(r, lives, life) })
		return
	}
	n.later(n.w.Net.delay(n.Domain == r.Domain), gone)
}

func (n *Node) probe(p crux.Probe) {
	r := n.w.byRep[p.Replica]
	if r == nil || !r.Up || r.Dark || n.cutFrom(r) {
		n.later(400*time.Millisecond, func() { n.step(crux.Probed{Replica: p.Replica, Own: p.Own}) })
		return
	}
	res := r.report()
	res.Own = p.Own
	n.later(2*n.w.Net.delay(n.Domain == r.Domain), func() { n.step(res) })
}
