package prefixindex

import (
	"container/list"
	"time"
)

// prediction is what one attempt is expected to have its replica cache, until its TTL is over.
type prediction struct {
	replica   int
	at, until time.Duration
	parts     []Block
	open      bool
	expired   bool
}

// holding is a confirmed part and when it was seen last.
type holding struct {
	part Block
	seen time.Duration
}

// holder is one replica: its confirmed parts in the order of use, and what attempts under way predict.
type holder struct {
	confirmed  map[Key]*list.Element
	order      *list.List
	tokens     int
	keepTokens int
	predicted  map[Key]map[uint64]time.Duration
	awaiting   map[uint64]time.Duration
	answeredAt time.Duration
}

func newHolder(keep int) *holder {
	return &holder{
		confirmed: map[Key]*list.Element{}, order: list.New(), keepTokens: keep,
		predicted: map[Key]map[uint64]time.Duration{}, awaiting: map[uint64]time.Duration{},
	}
}

func (*Index) dropPrediction(h *holder, id uint64, g *prediction) {
	for _, p := range g.parts {
		delete(h.predicted[p.Key], id)
		if len(h.predicted[p.Key]) == 0 {
			delete(h.predicted, p.Key)
		}
	}
}

func (*Index) addConfirmed(now time.Duration, h *holder, p Block) {
	if e := h.confirmed[p.Key]; e != nil {
		e.Value = holding{part: p, seen: now}
		h.order.MoveToFront(e)
		return
	}
	h.confirmed[p.Key] = h.order.PushFront(holding{part: p, seen: now})
	h.tokens += p.Tokens
}

func (x *Index) trim(h *holder) {
	for h.tokens > h.keepTokens && h.order.Len() > 0 {
		x.evict(h, h.order.Back())
	}
}

func (*Index) evict(h *holder, e *list.Element) {
	p := e.Value.(holding).part
	h.order.Remove(e)
	delete(h.confirmed, p.Key)
	h.tokens -= p.Tokens
}

func anyLive(now time.Duration, gs map[uint64]time.Duration) bool {
	for _, until := range gs {
		if now < until {
			return true
		}
	}
	return false
}
