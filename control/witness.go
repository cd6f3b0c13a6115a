package control

import (
	"maps"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

const (
	witnesses    = 6
	perDomain    = 2
	vouchers     = 4
	witnessAgain = 60 * time.Millisecond
	witnessFor   = 10 * time.Minute
	witnessWait  = 200 * time.Millisecond
	witnessLast  = 2500 * time.Millisecond
	witnessMost  = 200000
)

type Verdict uint8

const (
	FirstAsked Verdict = iota
	AskedBefore
	TooFew
)

type asking struct {
	answer uint64
	born   time.Duration
	sent   time.Duration
	msg    WitnessAsk
	all    []string
	open   []string
	wait   time.Duration
	yes    int
	need   int
	old    int
}

type seen struct {
	by  string
	rid uint64
	at  time.Duration
}

type witness struct {
	born time.Duration
	seen map[string]seen
	line []string
	asks map[uint64]*asking
	dead map[string]time.Duration
	gone map[string]bool
	rid  uint64
}

// Vouch tells how a go ends by the witnesses' answer before it began, or nothing when it may leave.
func Vouch(a Answer) (how mallowbridge.How) {
	switch {
	case a.Err != nil || a.Verdict == TooFew:
		return mallowbridge.NoQuorumOfWitnesses
	case a.Verdict == AskedBefore:
		return mallowbridge.Withheld
	}
	return ""
}

func newWitness(now time.Duration) (w witness) {
	return witness{born: now, seen: map[string]seen{}, asks: map[uint64]*asking{}, dead: map[string]time.Duration{}, gone: map[string]bool{}}
}

func (w *witness) see(now time.Duration, m WitnessAsk) (say WitnessSay) {
	for len(w.line) > 0 && (len(w.line) > witnessMost || now-w.seen[w.line[0]].at > witnessFor) {
		delete(w.seen, w.line[0])
		w.line = w.line[1:]
	}
	s, ok := w.seen[m.Request]
	if m.Peek {
		return WitnessSay{Rid: m.Rid, First: !ok || s.by == m.By, Young: now-w.born < witnessFor}
	}
	if !ok {
		w.line = append(w.line, m.Request)
		s = seen{by: m.By, at: now}
	}
	if s.by == m.By {
		s.rid = max(s.rid, m.Rid)
		w.seen[m.Request] = s
	}
	return WitnessSay{Rid: m.Rid, First: s.by == m.By, Young: now-w.born < witnessFor}
}

func (w *witness) forget(m WitnessForget) {
	s, ok := w.seen[m.Request]
	if !ok || s.by != m.By || s.rid != m.Rid {
		return
	}
	delete(w.seen, m.Request)
	w.line = slices.DeleteFunc(w.line, func(r string) bool { return r == m.Request })
}

func (w *witness) ask(now time.Duration, n *Node, id uint64, op Witness) {
	w.rid++
	a := &asking{answer: id, born: now, msg: WitnessAsk{Rid: w.rid, Request: op.Request, By: n.proposer.By, Peek: op.Peek}, wait: min(max(op.Spare, witnessWait), witnessLast)}
	for _, m := range n.witnesses(op.Request) {
		a.all = append(a.all, m.Addr)
		if m.Live() {
			a.open = append(a.open, m.Addr)
		}
	}
	a.need = min(vouchers, len(a.open))
	w.asks[w.rid] = a
	a.send(now, n)
}

func (a *asking) send(now time.Duration, n *Node) {
	a.sent = now
	for _, addr := range a.open {
		n.send(addr, a.msg)
	}
}

// witnesses are the same for all routers that know the same members; the dead keep their place as long as they would have
// remembered, so that a death does not move the others'.
func (n *Node) witnesses(request string) (ms []membership.Member) {
	var names []string
	for _, m := range n.Members.Table.All() {
		if m.State != membership.Left && !n.witness.gone[m.Name] {
			names = append(names, m.Name)
		}
	}
	taken := map[string]int{}
	for _, name := range scheduler.Nearest("once/"+request, names) {
		m, _ := n.Members.Table.Get(name)
		if len(ms) < witnesses && taken[m.Domain] < perDomain {
			taken[m.Domain]++
			ms = append(ms, m)
		}
	}
	return ms
}

func (w *witness) said(from string, m WitnessSay, n *Node) {
	a := w.asks[m.Rid]
	if a == nil || !slices.Contains(a.open, from) {
		return
	}
	a.open = slices.DeleteFunc(a.open, func(addr string) bool { return addr == from })
	a.yes++
	if !m.Young {
		a.old++
	}
	switch {
	case !m.First:
		w.close(n, a, AskedBefore)
	case a.old >= a.need || len(a.open) == 0:
		w.close(n, a, FirstAsked)
	}
}

func (w *witness) close(n *Node, a *asking, v Verdict) {
	delete(w.asks, a.msg.Rid)
	n.out.Answers = append(n.out.Answers, Answer{ID: a.answer, Verdict: v})
	if v != TooFew || a.msg.Peek {
		return
	}
	for _, addr := range a.all {
		n.send(addr, WitnessForget(a.msg))
	}
}

func (w *witness) tick(now time.Duration, n *Node) {
	w.bury(now, n)
	for _, rid := range slices.Sorted(maps.Keys(w.asks)) {
		a := w.asks[rid]
		waited := now - a.born
		if waited >= witnessWait {
			a.lose(n)
		}
		switch {
		case waited >= witnessWait && a.yes >= a.need:
			w.close(n, a, FirstAsked)
		case waited >= a.wait:
			w.close(n, a, TooFew)
		case now-a.sent >= witnessAgain:
			a.send(now, n)
		}
	}
}

// lose gives up on witnesses that were found dead meanwhile.
func (a *asking) lose(n *Node) {
	a.open = slices.DeleteFunc(a.open, func(addr string) bool {
		return slices.ContainsFunc(n.Members.Table.All(), func(m membership.Member) bool { return m.Addr == addr && !m.Live() })
	})
	a.need = min(vouchers, a.yes+len(a.open))
}

func (w *witness) bury(now time.Duration, n *Node) {
	for _, m := range n.Members.Table.All() {
		if m.State != membership.Dead {
			delete(w.dead, m.Name)
			delete(w.gone, m.Name)
			continue
		}
		if _, known := w.dead[m.Name]; !known {
			w.dead[m.Name] = now
		}
		if now-w.dead[m.Name] >= witnessFor {
			w.gone[m.Name] = true
		}
	}
}
