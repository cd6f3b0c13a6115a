package control

import (
	"maps"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

const (
	witnessCount       = 6
	witnessesPerDomain = 2
	witnessQuorum      = 4
	witnessResend      = 60 * time.Millisecond
	witnessMemory      = 10 * time.Minute
	witnessTimeout     = 200 * time.Millisecond
	witnessTimeoutMax  = 2500 * time.Millisecond
	rememberedMost     = 200000
)

// WitnessVerdict is the outcome of a Witness operation.
type WitnessVerdict uint8

const (
	// NotAskedBefore says that no witness knows of another router that asked.
	NotAskedBefore WitnessVerdict = iota
	// AskedBefore says that a witness knows of another router that asked.
	AskedBefore
	// TooFewReplies says that fewer witnesses than needed answered in time.
	TooFewReplies
)

// inquiry is a Witness operation under way. complete counts the replies of witnesses that have been up for all of witnessMemory.
type inquiry struct {
	command   uint64
	startedAt time.Duration
	sentAt    time.Duration
	msg       WitnessQuery
	addrs     []string
	pending   []string
	timeout   time.Duration
	replies   int
	needed    int
	complete  int
}

// rememberedRequest is the router that asked first about a request, and the number of its newest inquiry.
type rememberedRequest struct {
	by        string
	requestID uint64
	at        time.Duration
}

type witnessState struct {
	startedAt time.Duration
	seen      map[string]rememberedRequest
	order     []string
	inquiries map[uint64]*inquiry
	deadSince map[string]time.Duration
	forgotten map[string]bool
	requestID uint64
}

// WitnessOutcome is how an attempt ends by the witnesses' answer before it began; empty: the request may be sent.
func WitnessOutcome(a Answer) router.AttemptResult {
	switch {
	case a.Err != nil || a.WitnessVerdict == TooFewReplies:
		return router.NoWitnessQuorum
	case a.WitnessVerdict == AskedBefore:
		return router.Suppressed
	}
	return ""
}

func newWitness(now time.Duration) witnessState {
	return witnessState{startedAt: now, seen: map[string]rememberedRequest{}, inquiries: map[uint64]*inquiry{}, deadSince: map[string]time.Duration{}, forgotten: map[string]bool{}}
}

func (w *witnessState) remember(now time.Duration, m WitnessQuery) WitnessReply {
	for len(w.order) > 0 && (len(w.order) > rememberedMost || now-w.seen[w.order[0]].at > witnessMemory) {
		delete(w.seen, w.order[0])
		w.order = w.order[1:]
	}
	s, ok := w.seen[m.Request]
	if m.Peek {
		return WitnessReply{QueryID: m.QueryID, First: !ok || s.by == m.By, RecentlyStarted: now-w.startedAt < witnessMemory}
	}
	if !ok {
		w.order = append(w.order, m.Request)
		s = rememberedRequest{by: m.By, at: now}
	}
	if s.by == m.By {
		s.requestID = max(s.requestID, m.QueryID)
		w.seen[m.Request] = s
	}
	return WitnessReply{QueryID: m.QueryID, First: s.by == m.By, RecentlyStarted: now-w.startedAt < witnessMemory}
}

func (w *witnessState) forget(m WitnessForget) {
	s, ok := w.seen[m.Request]
	if !ok || s.by != m.By || s.requestID != m.QueryID {
		return
	}
	delete(w.seen, m.Request)
	w.order = slices.DeleteFunc(w.order, func(r string) bool { return r == m.Request })
}

func (w *witnessState) ask(now time.Duration, n *Node, id uint64, op Witness) {
	w.requestID++
	a := &inquiry{command: id, startedAt: now, msg: WitnessQuery{QueryID: w.requestID, Request: op.Request, By: n.proposer.ID, Peek: op.Peek}, timeout: min(max(op.SpareTime, witnessTimeout), witnessTimeoutMax)}
	for _, m := range n.witnesses(op.Request) {
		a.addrs = append(a.addrs, m.Addr)
		if m.Live() {
			a.pending = append(a.pending, m.Addr)
		}
	}
	a.needed = min(witnessQuorum, len(a.pending))
	w.inquiries[w.requestID] = a
	a.send(now, n)
}

func (a *inquiry) send(now time.Duration, n *Node) {
	a.sentAt = now
	for _, addr := range a.pending {
		n.send(addr, a.msg)
	}
}

// witnesses are the same for all routers that know the same members; the dead keep their place as long as they would have
// remembered, so that a death does not move the others'.
func (n *Node) witnesses(request string) []membership.Member {
	var names []string
	for _, m := range n.Members.Table.All() {
		if m.State != membership.Left && !n.witness.forgotten[m.Name] {
			names = append(names, m.Name)
		}
	}
	taken := map[string]int{}
	var ms []membership.Member
	for _, name := range scheduler.SortByWeight("once/"+request, names) {
		m, _ := n.Members.Table.Get(name)
		if len(ms) < witnessCount && taken[m.Zone] < witnessesPerDomain {
			taken[m.Zone]++
			ms = append(ms, m)
		}
	}
	return ms
}

func (w *witnessState) onReply(from string, m WitnessReply, n *Node) {
	a := w.inquiries[m.QueryID]
	if a == nil || !slices.Contains(a.pending, from) {
		return
	}
	a.pending = slices.DeleteFunc(a.pending, func(addr string) bool { return addr == from })
	a.replies++
	if !m.RecentlyStarted {
		a.complete++
	}
	switch {
	case !m.First:
		w.close(n, a, AskedBefore)
	case a.complete >= a.needed || len(a.pending) == 0:
		w.close(n, a, NotAskedBefore)
	}
}

func (w *witnessState) close(n *Node, a *inquiry, v WitnessVerdict) {
	delete(w.inquiries, a.msg.QueryID)
	n.answer(Answer{ID: a.command, WitnessVerdict: v})
	if v != TooFewReplies || a.msg.Peek {
		return
	}
	for _, addr := range a.addrs {
		n.send(addr, WitnessForget(a.msg))
	}
}

func (w *witnessState) tick(now time.Duration, n *Node) {
	w.trackDead(now, n)
	for _, requestID := range slices.Sorted(maps.Keys(w.inquiries)) {
		a := w.inquiries[requestID]
		waited := now - a.startedAt
		if waited >= witnessTimeout {
			a.dropDead(n)
		}
		switch {
		case waited >= witnessTimeout && a.replies >= a.needed:
			w.close(n, a, NotAskedBefore)
		case waited >= a.timeout:
			w.close(n, a, TooFewReplies)
		case now-a.sentAt >= witnessResend:
			a.send(now, n)
		}
	}
}

// dropDead no longer waits for witnesses that were found dead meanwhile.
func (a *inquiry) dropDead(n *Node) {
	a.pending = slices.DeleteFunc(a.pending, func(addr string) bool {
		return slices.ContainsFunc(n.Members.Table.All(), func(m membership.Member) bool { return m.Addr == addr && !m.Live() })
	})
	a.needed = min(witnessQuorum, a.replies+len(a.pending))
}

func (w *witnessState) trackDead(now time.Duration, n *Node) {
	for _, m := range n.Members.Table.All() {
		if m.State != membership.Dead {
			delete(w.deadSince, m.Name)
			delete(w.forgotten, m.Name)
			continue
		}
		if _, known := w.deadSince[m.Name]; !known {
			w.deadSince[m.Name] = now
		}
		if now-w.deadSince[m.Name] >= witnessMemory {
			w.forgotten[m.Name] = true
		}
	}
}
