package prefixindex

import "time"

type Config struct {
	Start, Floor, Cap, Slack, Overdue, Keep time.Duration
	Percentile                              float64
	Window, Enough                          int
	Step                                    float64
	Watch                                   time.Duration
	Few                                     uint64
	EarlyAlert, StaleAlert                  float64
}

func Defaults() (c Config) {
	return Config{
		Start: 2 * time.Second, Floor: 200 * time.Millisecond, Cap: 2 * time.Second,
		Slack: 350 * time.Millisecond, Overdue: 3 * time.Second, Keep: 10 * time.Minute,
		Percentile: 0.99, Window: 512, Enough: 64, Step: 0.05, Watch: 30 * time.Second, Few: 20, EarlyAlert: 0.02, StaleAlert: 0.05,
	}
}

type Counters struct {
	Recorded, Confirmed, EarlyExpiry, StaleExpiry, Inferred, Resets uint64
}

type Index struct {
	cfg     Config
	holders []*holder
	gos     map[uint64]*guess
	ttl     ttl
	Counters
	Off bool

	marks  [2]Counters
	marked time.Duration
}

func New(cfg Config) (x *Index) {
	return &Index{cfg: cfg, gos: map[uint64]*guess{}, ttl: newTTL(cfg)}
}

func (x *Index) Add(keepTokens int) (rep int) {
	x.holders = append(x.holders, newHolder(keepTokens))
	return len(x.holders) - 1
}

func (x *Index) SetCap(stale time.Duration) { x.ttl.limit(stale) }

func (x *Index) SetKeep(rep, tokens int) {
	x.holders[rep].keep = tokens
	x.trim(x.holders[rep])
}

func (x *Index) T() (t time.Duration) { return x.ttl.now }

func (x *Index) Commit(now time.Duration, rep int, id uint64, parts []Part) {
	h := x.holders[rep]
	g := &guess{rep: rep, at: now, until: now + x.ttl.now, parts: parts, open: true}
	x.gos[id] = g
	x.guess(h, id, g)
	x.Recorded++
}

func (x *Index) guess(h *holder, id uint64, g *guess) {
	h.awaiting[id] = g.at
	for _, p := range g.parts {
		if h.guesses[p.Key] == nil {
			h.guesses[p.Key] = map[uint64]time.Duration{}
		}
		h.guesses[p.Key][id] = g.until
	}
}

func (x *Index) Confirm(now time.Duration, rep int, id uint64) (took time.Duration, ok bool) {
	g := x.gos[id]
	if g == nil || g.rep != rep || !g.open {
		return 0, false
	}
	h := x.holders[rep]
	took = now - g.at
	x.ttl.sample(took)
	if now >= g.until && len(g.parts) > 0 {
		x.EarlyExpiry++
	}
	x.drop(h, id, g)
	delete(x.gos, id)
	delete(h.awaiting, id)
	h.heard = now
	for i := len(g.parts) - 1; i >= 0; i-- {
		x.hold(now, h, g.parts[i])
	}
	x.trim(h)
	x.Confirmed++
	return took, true
}

func (x *Index) Settle(id uint64) {
	g := x.gos[id]
	if g == nil {
		return
	}
	g.open = false
	delete(x.holders[g.rep].awaiting, id)
}

func (x *Index) Evicted(rep int, parts []Part) {
	h := x.holders[rep]
	for _, p := range parts {
		if e := h.confirmed[p.Key]; e != nil {
			x.evict(h, e)
		}
	}
	x.Inferred++
}

func (x *Index) Reset(rep int, spared uint64) {
	old := x.holders[rep]
	h := newHolder(old.keep)
	x.holders[rep] = h
	for id, g := range x.gos {
		if g.rep == rep && id != spared {
			delete(x.gos, id)
		}
	}
	if g := x.gos[spared]; g != nil && g.rep == rep && g.open {
		x.guess(h, spared, g)
	}
	x.Resets++
}

func (x *Index) Paused(now time.Duration, rep int) (yes bool) {
	h := x.holders[rep]
	for _, at := range h.awaiting {
		if now-max(at, h.heard) > x.cfg.Overdue {
			return true
		}
	}
	return false
}

func (x *Index) Look(now time.Duration, rep int, parts []Part) (confirmed, predicted int) {
	if x.Off {
		return 0, 0
	}
	h := x.holders[rep]
	paused := len(h.awaiting) > 0 && x.Paused(now, rep)
	sure := true
	for _, p := range parts {
		if e := h.confirmed[p.Key]; e != nil && now-e.Value.(holding).seen < x.cfg.Keep {
			if sure {
				confirmed += p.Tokens
			} else {
				predicted += p.Tokens
			}
			continue
		}
		if paused || !live(now, h.guesses[p.Key]) {
			return confirmed, predicted
		}
		sure = false
		predicted += p.Tokens
	}
	return confirmed, predicted
}

func (x *Index) Open() (n int) { return len(x.gos) }

func (x *Index) Tick(now time.Duration) {
	x.ttl.adjust(now)
	x.watch(now)
	for id, g := range x.gos {
		if now < g.until {
			continue
		}
		h := x.holders[g.rep]
		if !g.expired {
			g.expired = true
			x.drop(h, id, g)
		}
		if !g.open || now >= g.until+4*x.cfg.Cap {
			if len(g.parts) > 0 {
				x.StaleExpiry++
			}
			delete(x.gos, id)
			delete(h.awaiting, id)
		}
	}
}

func (x *Index) watch(now time.Duration) {
	if now-x.marked >= x.cfg.Watch {
		x.marks[0], x.marks[1], x.marked = x.marks[1], x.Counters, now
	}
}

// Alerts look at the last one to two watches, so that they rise and clear.
func (x *Index) Alerts() (early, stale bool) {
	old := x.marks[0]
	n := x.Recorded - old.Recorded
	if n < x.cfg.Few {
		return false, false
	}
	over := func(count uint64, level float64) bool { return float64(count) > level*float64(n) }
	return over(x.EarlyExpiry-old.EarlyExpiry, x.cfg.EarlyAlert), over(x.StaleExpiry-old.StaleExpiry, x.cfg.StaleAlert)
}
