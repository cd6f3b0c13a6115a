package prefixindex

import "time"

// Config holds the index's constants.
type Config struct {
	// InitialTTL is how long predictions are trusted until MinSamples answers have been measured; then it is the Percentile of the last
	// Window answers and TTLMargin on top, within MinTTL and MaxTTL.
	InitialTTL, MinTTL, MaxTTL, TTLMargin time.Duration
	// OverdueAfter is how late an answer may be until no prediction about its replica is trusted.
	OverdueAfter time.Duration
	// ConfirmedTTL is how long a confirmed part counts without being seen again.
	ConfirmedTTL time.Duration
	Percentile   float64
	// Window and MinSamples count answers.
	Window, MinSamples int
	// MaxTTLStep is the largest change of the TTL a second, as a share of it.
	MaxTTLStep float64
	// AlertWindow is how often the counters that alerts look at move on. Alerts need MinAlertCount predictions and more expiries
	// than these shares of them.
	AlertWindow            time.Duration
	MinAlertCount          uint64
	EarlyAlert, StaleAlert float64
}

// Defaults are the constants that production nodes use.
func Defaults() Config {
	return Config{
		InitialTTL: 2 * time.Second, MinTTL: 200 * time.Millisecond, MaxTTL: 2 * time.Second,
		TTLMargin: 350 * time.Millisecond, OverdueAfter: 3 * time.Second, ConfirmedTTL: 10 * time.Minute,
		Percentile: 0.99, Window: 512, MinSamples: 64, MaxTTLStep: 0.05, AlertWindow: 30 * time.Second, MinAlertCount: 20, EarlyAlert: 0.02, StaleAlert: 0.05,
	}
}

// Counters count since the start: predictions recorded and confirmed, confirmed after their TTL (early expiry), never confirmed
// (stale expiry), evictions inferred from slow answers, and replicas forgotten whole.
type Counters struct {
	Recorded, Confirmed, EarlyExpiries, StaleExpiries, InferredEvictions, Resets uint64
}

// Index is what one router believes that each replica has cached. The scheduler owns it; it is not safe for concurrent use. Replicas
// are named by the index that Add gave, attempts by the scheduler's numbers.
type Index struct {
	cfg         Config
	holders     []*holder
	predictions map[uint64]*prediction
	ttl         ttl
	Counters
	// Disabled makes each look-up find nothing, for comparisons.
	Disabled bool

	// snapshots are the counters one and two alert windows ago.
	snapshots  [2]Counters
	snapshotAt time.Duration
}

// New gives an index without replicas.
func New(cfg Config) *Index {
	return &Index{cfg: cfg, predictions: map[uint64]*prediction{}, ttl: newTTL(cfg)}
}

// AddReplica appends a replica whose cache keeps that many tokens.
func (x *Index) AddReplica(keepTokens int) int {
	x.holders = append(x.holders, newHolder(keepTokens))
	return len(x.holders) - 1
}

// SetMaxTTL bounds the TTL, at most by MaxTTL.
func (x *Index) SetMaxTTL(stale time.Duration) { x.ttl.setCap(stale) }

// SetCapacity changes how many tokens a replica's cache keeps; the least recently used confirmed parts beyond are dropped.
func (x *Index) SetCapacity(replica, tokens int) {
	x.holders[replica].keepTokens = tokens
	x.trim(x.holders[replica])
}

// TTL is how long a prediction that is recorded now will be trusted.
func (x *Index) TTL() time.Duration { return x.ttl.now }

// Predict records that an attempt will have a replica cache these parts.
func (x *Index) Predict(now time.Duration, replica int, id uint64, parts []Block) {
	h := x.holders[replica]
	g := &prediction{replica: replica, at: now, until: now + x.ttl.now, parts: parts, open: true}
	x.predictions[id] = g
	x.addPrediction(h, id, g)
	x.Recorded++
}

func (*Index) addPrediction(h *holder, id uint64, g *prediction) {
	h.awaiting[id] = g.at
	for _, p := range g.parts {
		if h.predicted[p.Key] == nil {
			h.predicted[p.Key] = map[uint64]time.Duration{}
		}
		h.predicted[p.Key][id] = g.until
	}
}

// Confirm turns an attempt's prediction into confirmed parts; took is the time since Predict. It is not ok for attempts that are
// settled, forgotten or another replica's.
func (x *Index) Confirm(now time.Duration, replica int, id uint64) (time.Duration, bool) {
	g := x.predictions[id]
	if g == nil || g.replica != replica || !g.open {
		return 0, false
	}
	h := x.holders[replica]
	latency := now - g.at
	x.ttl.sample(latency)
	if now >= g.until && len(g.parts) > 0 {
		x.EarlyExpiries++
	}
	x.dropPrediction(h, id, g)
	delete(x.predictions, id)
	delete(h.awaiting, id)
	h.answeredAt = now
	for i := len(g.parts) - 1; i >= 0; i-- {
		x.addConfirmed(now, h, g.parts[i])
	}
	x.trim(h)
	x.Confirmed++
	return latency, true
}

// EndAttempt says that an attempt ended: it can no longer be confirmed, and its prediction stays until its TTL is over.
func (x *Index) EndAttempt(id uint64) {
	g := x.predictions[id]
	if g == nil {
		return
	}
	g.open = false
	delete(x.holders[g.replica].awaiting, id)
}

// DropBlocks forgets confirmed parts that the replica was seen to have read again.
func (x *Index) DropBlocks(replica int, parts []Block) {
	h := x.holders[replica]
	for _, p := range parts {
		if e := h.confirmed[p.Key]; e != nil {
			x.evict(h, e)
		}
	}
	x.InferredEvictions++
}

// Reset forgets a replica whole, but for the open prediction of the spared attempt (0: none).
func (x *Index) Reset(replica int, spared uint64) {
	old := x.holders[replica]
	h := newHolder(old.keepTokens)
	x.holders[replica] = h
	for id, g := range x.predictions {
		if g.replica == replica && id != spared {
			delete(x.predictions, id)
		}
	}
	if g := x.predictions[spared]; g != nil && g.replica == replica && g.open {
		x.addPrediction(h, spared, g)
	}
	x.Resets++
}

// ResponseOverdue tells whether an answer of the replica is so overdue that predictions about it are not trusted.
func (x *Index) ResponseOverdue(now time.Duration, replica int) bool {
	h := x.holders[replica]
	for _, at := range h.awaiting {
		if now-max(at, h.answeredAt) > x.cfg.OverdueAfter {
			return true
		}
	}
	return false
}

// Lookup gives how many tokens of a prefix the replica is held to have cached: confirmed ones up to the first part that is only
// predicted, and predicted ones from there. It ends at the first part that is neither.
func (x *Index) Lookup(now time.Duration, replica int, parts []Block) (confirmed, predicted int) {
	if x.Disabled {
		return 0, 0
	}
	h := x.holders[replica]
	paused := len(h.awaiting) > 0 && x.ResponseOverdue(now, replica)
	sure := true
	for _, p := range parts {
		if e := h.confirmed[p.Key]; e != nil && now-e.Value.(holding).seen < x.cfg.ConfirmedTTL {
			if sure {
				confirmed += p.Tokens
			} else {
				predicted += p.Tokens
			}
			continue
		}
		if paused || !anyLive(now, h.predicted[p.Key]) {
			return confirmed, predicted
		}
		sure = false
		predicted += p.Tokens
	}
	return confirmed, predicted
}

// OpenPredictions counts predictions that are not over.
func (x *Index) OpenPredictions() int { return len(x.predictions) }

// Tick expires predictions and moves the TTL.
func (x *Index) Tick(now time.Duration) {
	x.ttl.adjust(now)
	x.rotateCounters(now)
	for id, g := range x.predictions {
		if now >= g.until {
			x.expire(now, id, g)
		}
	}
}

// expire withdraws a prediction; while its attempt is open it is kept for some time, so that a late answer counts as early expiry.
func (x *Index) expire(now time.Duration, id uint64, g *prediction) {
	h := x.holders[g.replica]
	if !g.expired {
		g.expired = true
		x.dropPrediction(h, id, g)
	}
	if g.open && now < g.until+4*x.cfg.MaxTTL {
		return
	}
	if len(g.parts) > 0 {
		x.StaleExpiries++
	}
	delete(x.predictions, id)
	delete(h.awaiting, id)
}

func (x *Index) rotateCounters(now time.Duration) {
	if now-x.snapshotAt >= x.cfg.AlertWindow {
		x.snapshots[0], x.snapshots[1], x.snapshotAt = x.snapshots[1], x.Counters, now
	}
}

// Alerts tells whether too many predictions expired early or stale over the last one to two alert windows; they rise and clear.
func (x *Index) Alerts() (early, stale bool) {
	old := x.snapshots[0]
	n := x.Recorded - old.Recorded
	if n < x.cfg.MinAlertCount {
		return false, false
	}
	over := func(count uint64, level float64) bool { return float64(count) > level*float64(n) }
	return over(x.EarlyExpiries-old.EarlyExpiries, x.cfg.EarlyAlert), over(x.StaleExpiries-old.StaleExpiries, x.cfg.StaleAlert)
}
