package stage

import (
	"errors"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/crux"
	"github.com/mallowbridge/mallowbridge/pact"
)

type Fault struct {
	At   time.Duration `json:"at"`
	Kind string        `json:"kind"`
	On   []string      `json:"on"`
	For  time.Duration `json:"for"`
	Body []byte        `json:"-"`
}

const (
	Kill       = "kill"
	Power      = "power"
	Freeze     = "freeze"
	CutNode    = "cut"
	CutOneWay  = "cut one way"
	CutDomain  = "cut domain"
	SplitCore  = "split core"
	Wipe       = "wipe"
	Move       = "move"
	SlowDisk   = "slow disk"
	StallDisk  = "stall disk"
	FullDisk   = "full disk"
	BadDisk    = "bad disk"
	RepCrash   = "replica crash"
	RepDark    = "replica dark"
	Release    = "release"
	Empty      = "empty"
	PutStorm   = "put storm"
	Race       = "race"
	SwapVoters = "swap voters"
	AllDown    = "all down"
)

func (w *World) nodes(names []string) (ns []*Node) {
	for _, name := range names {
		if n := w.Node(name); n != nil {
			ns = append(ns, n)
		}
	}
	return ns
}

func (w *World) inDomain(domain string) (names []string) {
	for _, n := range w.Nodes {
		if n.Domain == domain {
			names = append(names, n.Name)
		}
	}
	return names
}

func (w *World) Break(f Fault) {
	w.Say("fault %s %v for %s", f.Kind, f.On, f.For)
	ns := w.nodes(f.On)
	switch f.Kind {
	case Kill, Power, Wipe, Move, AllDown:
		w.down(f, ns)
	case Freeze:
		for _, n := range ns {
			life := n.life
			n.freeze()
			w.after(f.For, func() {
				if n.life == life {
					n.thaw()
				}
			})
		}
	case CutNode:
		w.isolate(ns, f.For, true)
	case CutOneWay:
		w.isolate(ns, f.For, false)
	case CutDomain:
		w.isolate(w.nodes(w.inDomain(f.On[0])), f.For, true, f.On[0])
	case SplitCore:
		w.split(ns, f.For)
	case SlowDisk, StallDisk, FullDisk, BadDisk:
		w.ail(f, ns)
	case RepCrash, RepDark:
		w.breakReplicas(f)
	case Release:
		w.release(f.On, 3*time.Second)
	default:
		w.order(f, ns)
	}
}

func (w *World) down(f Fault, ns []*Node) {
	if f.Kind == AllDown {
		ns = w.Nodes
	}
	for _, n := range ns {
		n.kill()
		if n.Disk != nil && f.Kind != Kill {
			n.Disk.PowerCut()
		}
		if n.Disk != nil && (f.Kind == Wipe || f.Kind == Move) {
			n.Disk.Wipe()
		}
		n.stall, n.slow = false, 0
		if f.Kind == Move {
			delete(w.byAddr, n.Addr)
			n.Addr += "9"
			w.byAddr[n.Addr] = n
		}
		if f.For >= 0 {
			w.after(f.For, func() { n.start() })
		}
	}
}

func (w *World) isolate(ns []*Node, d time.Duration, both bool, domain ...string) {
	in := func(addr string) bool {
		if len(addr) > 4 && addr[:4] == "rep/" {
			return len(domain) > 0 && w.byRep[addr[4:]].Domain == domain[0]
		}
		return slices.ContainsFunc(ns, func(n *Node) bool { return n.Addr == addr })
	}
	replica := func(addr string) bool { return len(addr) > 4 && addr[:4] == "rep/" }
	heal := w.Net.cut(func(from, to string) bool {
		if len(domain) == 0 && (replica(from) || replica(to)) {
			return false
		}
		a, b := in(from), in(to)
		return a != b && (both || a)
	})
	for _, n := range ns {
		w.Audit.away[n.Name] = max(w.Audit.away[n.Name], w.now+d+3*time.Second)
	}
	w.after(d, func() {
		w.Say("cut heals")
		heal()
	})
}

func (w *World) split(ns []*Node, d time.Duration) {
	in := func(addr string) bool {
		return slices.ContainsFunc(ns, func(n *Node) bool { return n.Addr == addr })
	}
	heal := w.Net.cut(func(from, to string) bool { return in(from) && in(to) })
	w.after(d, heal)
}

func (w *World) ail(f Fault, ns []*Node) {
	for _, n := range ns {
		if n.Disk == nil {
			continue
		}
		switch f.Kind {
		case SlowDisk:
			n.slow = 400 * time.Millisecond
		case StallDisk:
			n.stall = true
		case FullDisk:
			n.Disk.Full = true
		case BadDisk:
			n.Disk.BadSync = true
		}
		w.after(f.For, func() {
			n.slow, n.stall = 0, false
			n.Disk.Full, n.Disk.BadSync = false, false
			if f.Kind == FullDisk || f.Kind == BadDisk {
				n.kill()
				n.start()
				return
			}
			if n.Alive {
				n.save()
			}
		})
	}
}

func (w *World) breakReplicas(f Fault) {
	for _, name := range f.On {
		r := w.byRep[name]
		if f.Kind == RepDark {
			r.Dark = true
			w.after(f.For, func() {
				r.Dark = false
				r.crash()
				r.start(w.now)
			})
			continue
		}
		r.crash()
		if f.For >= 0 {
			w.after(f.For, func() { r.start(w.now) })
		}
	}
}

func (w *World) order(f Fault, ns []*Node) {
	switch f.Kind {
	case Empty:
		n := w.someNode()
		w.Empty(n, f.On[0], false, func(crux.Answer) {})
		w.after(f.For, func() { w.Empty(w.someNode(), f.On[0], true, func(crux.Answer) {}) })
	case SwapVoters:
		w.Call(w.someNode(), crux.Swap{ID: "swap" + f.At.String(), Names: f.On}, func(a crux.Answer) { w.Say("swap: %v", a.Err) })
	case PutStorm, Race:
		end := w.now + f.For
		var again func()
		again = func() {
			if w.now >= end {
				return
			}
			for range map[string]int{PutStorm: 1, Race: 4}[f.Kind] {
				n := w.someNode()
				w.Put(n, w.expect, w.varied(), func(a crux.Answer) {
					if a.Err != nil {
						w.Report.PutsDenied++
						w.learn(a.Err)
						return
					}
					w.Report.PutsTaken++
					w.expect = max(w.expect, a.Value.Mark)
				})
			}
			w.after(120*time.Millisecond, again)
		}
		again()
	}
}

func (w *World) learn(err error) {
	var c *pact.ConflictError
	if errors.As(err, &c) {
		w.expect = max(w.expect, c.Mark)
	}
}

func (w *World) someNode() (n *Node) {
	for {
		n = w.Nodes[w.rng.IntN(len(w.Nodes))]
		if n.Alive && !n.frozen {
			return n
		}
		if !slices.ContainsFunc(w.Nodes, func(o *Node) bool { return o.Alive && !o.frozen }) {
			return w.Nodes[0]
		}
	}
}
