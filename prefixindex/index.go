package prefixindex

import "time"

// Index is one router's belief about the prefix caches of all replicas. Replicas are addressed by the index that
// AddReplica returned, attempts by the scheduler's attempt numbers. Index is not safe for concurrent use.
type Index struct {
	cfg         Config
	replicas    []*replicaCache
	predictions map[uint64]*prediction
	ttl         ttl
	Counters
	// Disabled makes Lookup find nothing, as a baseline in comparisons.
	Disabled bool

	// counterSnapshots holds the last two snapshots of the counters, the older one first. They are at least AlertWindow
	// apart. snapshotAt is the time of the newer one.
	counterSnapshots [2]Counters
	snapshotAt       time.Duration
}

// New returns an index without replicas.
func New(cfg Config) *Index {
	return &Index{cfg: cfg, predictions: map[uint64]*prediction{}, ttl: newTTL(cfg)}
}

// AddReplica appends a replica whose cache holds capacity tokens and returns its index.
func (x *Index) AddReplica(capacity int) int {
	x.replicas = append(x.replicas, newReplicaCache(capacity))
	return len(x.replicas) - 1
}

// SetMaxTTL limits the TTL, in addition to Config.MaxTTL.
func (x *Index) SetMaxTTL(limit time.Duration) { x.ttl.setMax(limit) }

// SetCapacity sets the number of tokens that a replica's cache holds. Confirmed blocks beyond it are dropped, least
// recently used first.
func (x *Index) SetCapacity(replica, tokens int) {
	x.replicas[replica].capacity = tokens
	x.evictExcess(x.replicas[replica])
}

// TTL returns the TTL of a prediction recorded now.
func (x *Index) TTL() time.Duration { return x.ttl.current }

// Predict records that the attempt with the number id is expected to add these blocks to a replica's cache.
func (x *Index) Predict(now time.Duration, replica int, id uint64, blocks []Block) {
	c := x.replicas[replica]
	p := &prediction{replica: replica, at: now, until: now + x.ttl.current, blocks: blocks, open: true}
	x.predictions[id] = p
	x.addPrediction(c, id, p)
	x.Recorded++
}

func (*Index) addPrediction(c *replicaCache, id uint64, p *prediction) {
	c.awaiting[id] = p.at
	for _, block := range p.blocks {
		if c.predicted[block.Key] == nil {
			c.predicted[block.Key] = map[uint64]time.Duration{}
		}
		c.predicted[block.Key][id] = p.until
	}
}

// Confirm turns an attempt's prediction into confirmed blocks and returns the time since Predict. Its second result is
// false if the attempt has ended, is unknown, or belongs to another replica.
func (x *Index) Confirm(now time.Duration, replica int, id uint64) (time.Duration, bool) {
	p := x.predictions[id]
	if p == nil || p.replica != replica || !p.open {
		return 0, false
	}
	c := x.replicas[replica]
	latency := now - p.at
	x.ttl.sample(latency)
	if now >= p.until && len(p.blocks) > 0 {
		x.EarlyExpiries++
	}
	x.dropPrediction(c, id, p)
	delete(x.predictions, id)
	delete(c.awaiting, id)
	c.lastResponseAt = now
	for i := len(p.blocks) - 1; i >= 0; i-- {
		x.addConfirmed(now, c, p.blocks[i])
	}
	x.evictExcess(c)
	x.Confirmed++
	return latency, true
}

// EndAttempt records that an attempt ended. It can no longer be confirmed, but its prediction stays until its TTL ends.
func (x *Index) EndAttempt(id uint64) {
	p := x.predictions[id]
	if p == nil {
		return
	}
	p.open = false
	delete(x.replicas[p.replica].awaiting, id)
}

// DropBlocks drops confirmed blocks that the replica was observed to prefill again.
func (x *Index) DropBlocks(replica int, blocks []Block) {
	c := x.replicas[replica]
	for _, block := range blocks {
		if e := c.confirmed[block.Key]; e != nil {
			x.evict(c, e)
		}
	}
	x.InferredEvictions++
}

// Reset drops everything about a replica except the open prediction of the attempt with the number spared. If spared is
// 0, it drops all predictions.
func (x *Index) Reset(replica int, spared uint64) {
	old := x.replicas[replica]
	c := newReplicaCache(old.capacity)
	x.replicas[replica] = c
	for id, p := range x.predictions {
		if p.replica == replica && id != spared {
			delete(x.predictions, id)
		}
	}
	if p := x.predictions[spared]; p != nil && p.replica == replica && p.open {
		x.addPrediction(c, spared, p)
	}
	x.Resets++
}

// ResponseOverdue reports whether the replica has let an attempt wait so long that predictions about it are not trusted.
func (x *Index) ResponseOverdue(now time.Duration, replica int) bool {
	c := x.replicas[replica]
	for _, at := range c.awaiting {
		if now-max(at, c.lastResponseAt) > x.cfg.OverdueAfter {
			return true
		}
	}
	return false
}

// Lookup returns how many tokens of a prefix the replica is believed to have cached. Blocks count as confirmed up to the
// first block that is only predicted, and as predicted from there on. The count ends at the first block that is neither
// confirmed nor predicted.
func (x *Index) Lookup(now time.Duration, replica int, blocks []Block) (confirmed, predicted int) {
	if x.Disabled {
		return 0, 0
	}
	c := x.replicas[replica]
	overdue := len(c.awaiting) > 0 && x.ResponseOverdue(now, replica)
	allConfirmed := true
	for _, block := range blocks {
		if e := c.confirmed[block.Key]; e != nil && now-e.Value.(confirmedBlock).confirmedAt < x.cfg.ConfirmedTTL {
			if allConfirmed {
				confirmed += block.Tokens
			} else {
				predicted += block.Tokens
			}
			continue
		}
		if overdue || !anyUnexpired(now, c.predicted[block.Key]) {
			return confirmed, predicted
		}
		allConfirmed = false
		predicted += block.Tokens
	}
	return confirmed, predicted
}

// OpenPredictions returns the number of predictions that have not been dropped.
func (x *Index) OpenPredictions() int { return len(x.predictions) }

// Tick expires predictions and adjusts the TTL.
func (x *Index) Tick(now time.Duration) {
	x.ttl.adjust(now)
	x.rotateCounters(now)
	for id, p := range x.predictions {
		if now >= p.until {
			x.expire(now, id, p)
		}
	}
}

// expire withdraws a prediction. While its attempt is open, it keeps the record for another 4*MaxTTL, so that a late
// response counts as an early expiry.
func (x *Index) expire(now time.Duration, id uint64, p *prediction) {
	c := x.replicas[p.replica]
	if !p.expired {
		p.expired = true
		x.dropPrediction(c, id, p)
	}
	if p.open && now < p.until+4*x.cfg.MaxTTL {
		return
	}
	if len(p.blocks) > 0 {
		x.StaleExpiries++
	}
	delete(x.predictions, id)
	delete(c.awaiting, id)
}

// rotateCounters takes a snapshot of the counters once per AlertWindow.
func (x *Index) rotateCounters(now time.Duration) {
	if now-x.snapshotAt >= x.cfg.AlertWindow {
		x.counterSnapshots[0], x.counterSnapshots[1], x.snapshotAt = x.counterSnapshots[1], x.Counters, now
	}
}

// Alerts reports whether too many predictions expired early or stale over the last one to two alert windows. An alert
// clears when that is no longer so.
func (x *Index) Alerts() (early, stale bool) {
	old := x.counterSnapshots[0]
	n := x.Recorded - old.Recorded
	if n < x.cfg.MinAlertCount {
		return false, false
	}
	over := func(count uint64, fraction float64) bool { return float64(count) > fraction*float64(n) }
	return over(x.EarlyExpiries-old.EarlyExpiries, x.cfg.EarlyAlert), over(x.StaleExpiries-old.StaleExpiries, x.cfg.StaleAlert)
}
