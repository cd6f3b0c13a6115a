package crux

import (
	"maps"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/bid"
)

const (
	witnesses    = 6
	perDomain    = 2
	witnessAgain = 60 * time.Millisecond
	witnessFor   = 10 * time.Minute
	witnessWait  = 200 * time.Millisecond
	witnessMost  = 200000
)

type asking struct {
	answer uint64
	born   time.Duration
	sent   time.Duration
	msg    WitnessAsk
	open   []string
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

// Vouch tells how a go ends by the witnesses' answer before it began, or nothing when it may leave.
func Vouch(a Answer) (how mallowbridge.How) {
	if a.Err == nil && !a.First {
		return mallowbridge.Withheld
	}
	return ""
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
	w.rid++
	a := &asking{answer: id, born: now, msg: WitnessAsk{Rid: w.rid, Request: request, By: n.prop.By}, open: n.witnesses(request)}
	w.asks[w.rid] = a
	a.send(now, n)
}

func (a *asking) send(now time.Duration, n *Node) {
	a.sent = now
	for _, addr := range a.open {
		n.send(addr, a.msg)
	}
}

func (n *Node) witnesses(request string) (addrs []string) {
	var names []string
	for _, m := range n.Kin.Table.All() {
		if m.Live() {
			names = append(names, m.Name)
		}
	}
	taken := map[string]int{}
	for _, name := range bid.Nearest("once/"+request, names) {
		m, _ := n.Kin.Table.Get(name)
		if len(addrs) < witnesses && taken[m.Domain] < perDomain {
			taken[m.Domain]++
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}

func (w *witness) said(from string, m WitnessSay, n *Node) {
	a := w.asks[m.Rid]
	if a == nil {
		return
	}
	a.open = slices.DeleteFunc(a.open, func(addr string) bool { return addr == from })
	if m.First && len(a.open) > 0 {
		return
	}
	delete(w.asks, m.Rid)
	n.out.Answers = append(n.out.Answers, Answer{ID: a.answer, First: m.First})
}

func (w *witness) tick(now time.Duration, n *Node) {
	for _, rid := range slices.Sorted(maps.Keys(w.asks)) {
		a := w.asks[rid]
		if now-a.born < witnessWait && now-a.sent >= witnessAgain {
			a.send(now, n)
		}
		if now-a.born >= witnessWait {
			delete(w.asks, rid)
			n.out.Answers = append(n.out.Answers, Answer{ID: a.answer, First: true})
		}
	}
}
