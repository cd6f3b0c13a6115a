package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/ledger"
)

type Scenario struct {
	Seed     uint64
	Shape    Shape
	Charter  []byte
	Load     Load
	Model    Model
	Lasts    time.Duration
	Faults   []Fault
	Loss     float64
	Dup      float64
	IndexOff bool
	RoundRob bool
	Resend   bool
	Builds   bool
	// Older has every other node be of the build before.
	Older bool
	Asks  []Ask
	From  time.Duration
	Tune  func(w *World)
	// Site is the platform that the nodes run on, if any; it takes the place of Shape, Charter, Load and Model.
	Site *SiteSpec
}

type World struct {
	queue
	S       Scenario
	rng     *rand.Rand
	Net     *Net
	Nodes   []*Node
	byAddr  map[string]*Node
	Reps    []*Rep
	byRep   map[string]*Rep
	byURL   map[string]*Rep
	whim    *rand.Rand
	trap    func(n *Node, what string)
	Ran     []ledger.Ran
	Got     []ledger.Got
	Audit   *Audit
	Report  Report
	Trace   []string
	answers map[uint64]func(a control.Answer)
	asks    uint64
	ready   map[string][]*Node
	expect  uint64
	lives   uint64
	site    *site
	tune    func(c *control.Config, r *mallowbridge.Config)
}

const (
	traceLines = 800
	Prompt     = "m1"
)

var Verbose bool

const tickEvery = 50 * time.Millisecond

func New(s Scenario) (w *World) {
	if s.Site != nil {
		s.Shape = s.Site.Shape
	}
	if s.Charter == nil {
		s.Charter = s.Shape.Charter
	}
	if s.Model.Room == 0 {
		s.Model = DefaultModel()
		s.Model.Room = 12
	}
	w = &World{
		S: s, rng: rand.New(rand.NewPCG(s.Seed, 31)), Net: newNet(s.Seed), byAddr: map[string]*Node{}, byRep: map[string]*Rep{},
		byURL: map[string]*Rep{}, whim: rand.New(rand.NewPCG(s.Seed, 47)),
		answers: map[uint64]func(a control.Answer){}, ready: map[string][]*Node{},
	}
	w.Net.Loss, w.Net.Dup = s.Loss, s.Dup
	w.Report.Kinds, w.Report.Whys = map[string]*KindReport{}, map[string]int{}
	w.Audit = newAudit(w)
	for i, ns := range s.Shape.Nodes {
		w.Nodes = append(w.Nodes, newNode(w, i, ns))
	}
	if s.Site != nil {
		w.openSite(*s.Site)
		return w
	}
	w.replicas()
	return w
}

func (w *World) Say(format string, args ...any) {
	w.Trace = append(w.Trace, fmt.Sprintf("%8.3fs ", w.now.Seconds())+fmt.Sprintf(format, args...))
	if len(w.Trace) > traceLines && !Verbose {
		w.Trace = w.Trace[len(w.Trace)-traceLines/2:]
	}
}

func (w *World) Now() (t time.Duration) { return w.now }

func (w *World) Node(name string) (n *Node) {
	for _, n := range w.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

func (w *World) Rep(name string) (r *Rep) { return w.byRep[name] }

func (w *World) Boot() {
	if w.site != nil {
		w.site.boot()
		return
	}
	for _, n := range w.Nodes {
		w.after(time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), func() { n.start() })
	}
	w.after(time.Second, func() { w.found() })
	w.platform()
	w.Audit.claims()
}

func (w *World) found() {
	w.Call(w.Node(w.S.Shape.Voters[0]), control.Bootstrap{Names: w.S.Shape.Voters}, func(a control.Answer) {
		if a.Err != nil {
			w.Say("found: %v", a.Err)
			w.after(300*time.Millisecond, w.found)
			return
		}
		w.Put(w.Node(w.S.Shape.Voters[0]), 0, w.S.Charter, func(a control.Answer) {
			if a.Err != nil {
				w.Say("first put: %v", a.Err)
			}
		})
	})
}

func (w *World) Call(n *Node, op control.Op, done func(a control.Answer)) {
	w.asks++
	id := w.asks
	w.answers[id] = done
	life := n.life
	n.step(control.Command{ID: id, Op: op})
	w.after(6*time.Second, func() {
		if w.answers[id] != nil && (n.life != life || !n.Alive) {
			delete(w.answers, id)
			done(control.Answer{ID: id, Err: &GoneError{Node: n.Name}})
		}
	})
}

type GoneError struct{ Node string }

func (e *GoneError) Error() (text string) { return e.Node + " went down with the answer" }

func (w *World) Put(n *Node, expect uint64, body []byte, done func(a control.Answer)) {
	w.asks++
	op := control.Put{ID: fmt.Sprintf("put-%d", w.asks), Expect: expect, Body: body}
	c := w.Audit.offered(expect, body)
	w.Call(n, op, func(a control.Answer) {
		c.answered(a)
		if a.Err == nil {
			w.Audit.accepted(n, a.Value)
		}
		done(a)
	})
}

func (w *World) Empty(n *Node, domain string, restore bool, done func(a control.Answer)) {
	w.asks++
	w.Call(n, control.Evacuate{ID: fmt.Sprintf("empty-%d", w.asks), Domain: domain, Restore: restore}, func(a control.Answer) {
		if a.Err == nil {
			w.Audit.accepted(n, a.Value)
			w.Audit.emptied(n, domain, !restore)
		}
		done(a)
	})
}

func (w *World) platform() {
	w.ready = map[string][]*Node{}
	for _, n := range w.Nodes {
		if n.Alive && !n.frozen && !n.retire && n.router.Ready(n.local()) == "" {
			w.ready[n.Domain] = append(w.ready[n.Domain], n)
		}
	}
	w.after(time.Second, w.platform)
}

func (w *World) pick(domain string) (n *Node) {
	ns := w.ready[domain]
	if len(ns) == 0 {
		for _, d := range w.S.Shape.Domains {
			ns = append(ns, w.ready[d]...)
		}
	}
	if len(ns) == 0 {
		return nil
	}
	return ns[w.rng.IntN(len(ns))]
}

func (w *World) Load(from, until time.Duration) {
	for _, a := range w.S.Asks {
		w.at(from+a.At, func() { w.submit(a, w.S.Shape.Domains[w.rng.IntN(len(w.S.Shape.Domains))], 0) })
	}
	if len(w.S.Asks) > 0 {
		return
	}
	src := NewSource(w.S.Load, w.S.Seed, fmt.Sprintf("q%d", w.S.Seed))
	var next func()
	next = func() {
		a := src.Next()
		if from+a.At >= until {
			return
		}
		w.at(from+a.At, func() {
			domain := w.S.Shape.Domains[w.rng.IntN(len(w.S.Shape.Domains))]
			w.submit(a, domain, 0)
			next()
		})
	}
	next()
}
