package prefixindex

import (
	"container/list"
	"time"
)

// prediction is the set of blocks that one attempt is expected to add to its replica's cache. It is trusted until its
// TTL ends. open is true until the attempt ends, expired is true once the blocks were withdrawn.
type prediction struct {
	replica   int
	at, until time.Duration
	blocks    []Block
	open      bool
	expired   bool
}

// confirmedBlock is a block whose caching was confirmed, and the time of its last confirmation.
type confirmedBlock struct {
	block       Block
	confirmedAt time.Duration
}

// replicaCache is the believed content of one replica's prefix cache. order lists the confirmed blocks, most recently
// used first, and tokens is their total length. predicted maps a block to the attempts that predict it and the ends of
// their TTLs. awaiting maps unanswered attempts to the times of their predictions.
type replicaCache struct {
	confirmed      map[Key]*list.Element
	order          *list.List
	tokens         int
	capacity       int
	predicted      map[Key]map[uint64]time.Duration
	awaiting       map[uint64]time.Duration
	lastResponseAt time.Duration
}

func newReplicaCache(capacity int) *replicaCache {
	return &replicaCache{
		confirmed: map[Key]*list.Element{}, order: list.New(), capacity: capacity,
		predicted: map[Key]map[uint64]time.Duration{}, awaiting: map[uint64]time.Duration{},
	}
}

func (*Index) dropPrediction(c *replicaCache, id uint64, p *prediction) {
	for _, block := range p.blocks {
		delete(c.predicted[block.Key], id)
		if len(c.predicted[block.Key]) == 0 {
			delete(c.predicted, block.Key)
		}
	}
}

func (*Index) addConfirmed(now time.Duration, c *replicaCache, block Block) {
	if e := c.confirmed[block.Key]; e != nil {
		e.Value = confirmedBlock{block: block, confirmedAt: now}
		c.order.MoveToFront(e)
		return
	}
	c.confirmed[block.Key] = c.order.PushFront(confirmedBlock{block: block, confirmedAt: now})
	c.tokens += block.Tokens
}

func (x *Index) evictExcess(c *replicaCache) {
	for c.tokens > c.capacity && c.order.Len() > 0 {
		x.evict(c, c.order.Back())
	}
}

func (*Index) evict(c *replicaCache, e *list.Element) {
	block := e.Value.(confirmedBlock).block
	c.order.Remove(e)
	delete(c.confirmed, block.Key)
	c.tokens -= block.Tokens
}

func anyUnexpired(now time.Duration, ends map[uint64]time.Duration) bool {
	for _, until := range ends {
		if now < until {
			return true
		}
	}
	return false
}
