package crux

import (
	"time"

	"github.com/mallowbridge/mallowbridge/bid"
	"github.com/mallowbridge/mallowbridge/kin"
)

const (
	witnesses   = 2
	witnessFor  = 10 * time.Minute
	witnessWait = 200 * time.Millisecond
	witnessMost = 200000
)

type asking struct {
	answer uint64
	born   time.Duration
	open   int
}

type seen struct {
	by string
	at time.Duration
}

type witness struct {
	seen map[string]seen
	line []string
	asks map[uint64]*asking
	rid  uint64
}

func newWitness() (w witness) {
	return witness{seen: map[string]seen{}, asks: map[uint64]*asking{}}
}

func (w *witness) see(now time.Duration, m WitnessAsk) (say WitnessSay) {
	for len(w.line) > 0 && (len(w.line) > witnessMost || now-w.seen[w.line[0]].at > witnessFor) {
		delete(w.seen, w.line[0])
		w.line = w.line[1:]
	}
	s, ok := w.seen[m.Request]
	if !ok {
		w.seen[m.Request] = seen{by: m.By, at: now}
		w.line = append(w.line, m.Request)
	}
	return WitnessSay{Rid: m.Rid, First: !ok || s.by == m.By}
}

func (w *witness) ask(now time.Duration, n *Node, id uint64, request string) {
	var names []string
	addr := map[string]string{}
	for _, m := range n.Kin.Table.All() {
		if m.Domain == n.cfg.Domain && m.State == kin.Alive {
			names = append(names, m.Name)
			addr[m.Name] = m.Addr
		}
	}
	names = bid.Nearest("once/"+request, names)
	w.rid++
	a := &asking{answer: id, born: now}
	w.asks[w.rid] = a
	for _, name := range names[:min(witnesses, len(names))] {
		a.open++
		n.send(addr[name], WitnessAsk{Rid: w.rid, Request: request, By: n.prop.By})
	}
}

func (w *witness) said(m WitnessSay, n *Node) {
	a := w.asks[m.Rid]
	if a == nil {
		return
	}
	a.open--
	if m.First && a.open > 0 {
		return
	}
	delete(w.asks, m.Rid)
	n.out.Answers = append(n.out.Answers, Answer{ID: a.answer, First: m.First})
}

func (w *witness) tick(now time.Duration, n *Node) {
	for rid, a := range w.asks {
		if now-a.born >= witnessWait {
			delete(w.asks, rid)
			n.out.Answers = append(n.out.Answers, Answer{ID: a.answer, First: true})
		}
	}
}
