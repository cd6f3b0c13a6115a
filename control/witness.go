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
	// witnessCount is the number of witnesses of a request, witnessesPerZone the maximum number of them in one zone, and witnessQuorum
	// the number of replies that suffice, or fewer if fewer witnesses are live, but at least one.
	witnessCount     = 6
	witnessesPerZone = 2
	witnessQuorum    = 4
	// witnessResend is how long a query waits for a reply before it is sent again.
	witnessResend = 60 * time.Millisecond
	// witnessMemory is how long a witness remembers a request.
	witnessMemory = 10 * time.Minute
	// witnessTimeout is the minimum timeout of a query, and how long only replies from witnesses that have been up for all of witnessMemory
	// count towards the quorum; witnessTimeoutMax is the maximum timeout.
	witnessTimeout    = 200 * time.Millisecond
	witnessTimeoutMax = 2500 * time.Millisecond
	// maxRemembered is the maximum number of requests that a witness remembers.
	maxRemembered = 200000
)

// WitnessVerdict is the outcome of a Witness operation.
type WitnessVerdict uint8

const (
	// NotAskedBefore means that no witness knows of another router that asked.
	NotAskedBefore WitnessVerdict = iota
	// AskedBefore means that a witness knows of another router that asked.
	AskedBefore
	// TooFewReplies means that fewer witnesses than needed replied in time.
	TooFewReplies
)

// inquiry is a Witness operation in progress. pending are the addresses of the witnesses that have not replied, needed is the number of
// replies that suffice, and fullHistory counts the replies from witnesses that have been up for all of witnessMemory.
type inquiry struct {
	command     uint64
	startedAt   time.Duration
	sentAt      time.Duration
	msg         WitnessQuery
	addrs       []string
	pending     []string
	timeout     time.Duration
	replies     int
	needed      int
	fullHistory int
}

// rememberedRequest is the router that first asked about a request, when it did, and the number of its newest query.
type rememberedRequest struct {
	by      string
	queryID uint64
	at      time.Duration
}

// witnessState is a node's state as a witness (seen, oldestFirst) and as a node that asks witnesses (inquiries, lastQueryID). deadSince is
// when each dead member died as this node saw it; forgotten are the members that have been dead for witnessMemory.
type witnessState struct {
	startedAt   time.Duration
	seen        map[string]rememberedRequest
	oldestFirst []string
	inquiries   map[uint64]*inquiry
	deadSince   map[string]time.Duration
	forgotten   map[string]bool
	lastQueryID uint64
}

// WitnessOutcome returns the result with which an attempt ends before it is sent, given the witnesses' answer, or an empty string if the
// request may be sent.
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
	for len(w.oldestFirst) > 0 && (len(w.oldestFirst) > maxRemembered || now-w.seen[w.oldestFirst[0]].at > witnessMemory) {
		delete(w.seen, w.oldestFirst[0])
		w.oldestFirst = w.oldestFirst[1:]
	}
	s, ok := w.seen[m.Request]
	if m.Peek {
		return WitnessReply{QueryID: m.QueryID, First: !ok || s.by == m.By, RecentlyStarted: now-w.startedAt < witnessMemory}
	}
	if !ok {
		w.oldestFirst = append(w.oldestFirst, m.Request)
		s = rememberedRequest{by: m.By, at: now}
	}
	if s.by == m.By {
		s.queryID = max(s.queryID, m.QueryID)
		w.seen[m.Request] = s
	}
	return WitnessReply{QueryID: m.QueryID, First: s.by == m.By, RecentlyStarted: now-w.startedAt < witnessMemory}
}

func (w *witnessState) forget(m WitnessForget) {
	s, ok := w.seen[m.Request]
	if !ok || s.by != m.By || s.queryID != m.QueryID {
		return
	}
	delete(w.seen, m.Request)
	w.oldestFirst = slices.DeleteFunc(w.oldestFirst, func(r string) bool { return r == m.Request })
}

func (w *witnessState) ask(now time.Duration, n *Node, id uint64, op Witness) {
	w.lastQueryID++
	a := &inquiry{command: id, startedAt: now, msg: WitnessQuery{QueryID: w.lastQueryID, Request: op.Request, By: n.proposer.ID, Peek: op.Peek}, timeout: min(max(op.SpareTime, witnessTimeout), witnessTimeoutMax)}
	for _, m := range n.witnesses(op.Request) {
		a.addrs = append(a.addrs, m.Addr)
		if m.Live() {
			a.pending = append(a.pending, m.Addr)
		}
	}
	a.needed = min(witnessQuorum, len(a.pending))
	w.inquiries[w.lastQueryID] = a
	if len(a.pending) == 0 {
		w.finish(n, a, TooFewReplies)
		return
	}
	a.send(now, n)
}

func (a *inquiry) send(now time.Duration, n *Node) {
	a.sentAt = now
	for _, addr := range a.pending {
		n.send(addr, a.msg)
	}
}

// witnesses returns the witnesses of a request. They are the same for all routers that know the same members. A dead member keeps its place
// for witnessMemory, so that its death does not change which other members are witnesses.
func (n *Node) witnesses(request string) []membership.Member {
	var names []string
	for _, m := range n.Members.Table.All() {
		if m.State != membership.Left && !n.witness.forgotten[m.Name] {
			names = append(names, m.Name)
		}
	}
	inZone := map[string]int{}
	var ms []membership.Member
	for _, name := range scheduler.SortByWeight("once/"+request, names) {
		m, _ := n.Members.Table.Get(name)
		if len(ms) < witnessCount && inZone[m.Zone] < witnessesPerZone {
			inZone[m.Zone]++
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
		a.fullHistory++
	}
	switch {
	case !m.First:
		w.finish(n, a, AskedBefore)
	case a.fullHistory >= a.needed || len(a.pending) == 0:
		w.finish(n, a, NotAskedBefore)
	}
}

func (w *witnessState) finish(n *Node, a *inquiry, v WitnessVerdict) {
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
	for _, queryID := range slices.Sorted(maps.Keys(w.inquiries)) {
		a := w.inquiries[queryID]
		waited := now - a.startedAt
		if waited >= witnessTimeout {
			a.dropDead(n)
		}
		switch {
		case waited >= witnessTimeout && a.replies > 0 && a.replies >= a.needed:
			w.finish(n, a, NotAskedBefore)
		case waited >= a.timeout, waited >= witnessTimeout && a.replies+len(a.pending) == 0:
			w.finish(n, a, TooFewReplies)
		case now-a.sentAt >= witnessResend:
			a.send(now, n)
		}
	}
}

// dropDead stops waiting for witnesses that have died in the meantime.
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
