package prefixindex

import (
	"container/list"
	"time"
)

type guess struct {
	rep       int
	at, until time.Duration
	parts     []Part
	open      bool
	expired   bool
}

type holding struct {
	part Part
	seen time.Duration
}

type holder struct {
	confirmed map[Key]*list.Element
	order     *list.List
	tokens    int
	keep      int
	guesses   map[Key]map[uint64]time.Duration
	awaiting  map[uint64]time.Duration
	heard     time.Duration
}

func newHolder(keep int) (h *holder) {
	return &holder{
		confirmed: map[Key]*list.Element{}, order: list.New(), keep: keep,
		guesses: map[Key]map[uint64]time.Duration{}, awaiting: map[uint64]time.Duration{},
	}
}

func (x *Index) drop(h *holder, id uint64, g *guess) {
	for _, p := range g.parts {
		delete(h.guesses[p.Key], id)
		if len(h.guesses[p.Key]) == 0 {
			delete(h.guesses, p.Key)
		}
	}
}

func (x *Index) hold(now time.Duration, h *holder, p Part) {
	if e := h.confirmed[p.Key]; e != nil {
		e.Value = holding{part: p, seen: now}
		h.order.MoveToFront(e)
		return
	}
	h.confirmed[p.Key] = h.order.PushFront(holding{part: p, seen: now})
	h.tokens += p.Tokens
}

func (x *Index) trim(h *holder) {
	for h.tokens > h.keep && h.order.Len() > 0 {
		x.evict(h, h.order.Back())
	}
}

func (x *Index) evict(h *holder, e *list.Element) {
	p := e.Value.(holding).part
	h.order.Remove(e)
	delete(h.confirmed, p.Key)
	h.tokens -= p.Tokens
}

func live(now time.Duration, gs map[uint64]time.Duration) (yes bool) {
	for _, until := range gs {
		if now < until {
			return true
		}
	}
	return false
}
