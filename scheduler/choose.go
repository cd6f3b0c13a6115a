package scheduler

import (
	"math"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

func (m *Market) est(now time.Duration, a *Ask, rep, conf, pred int) (t time.Duration) {
	r := &m.Reps[rep]
	o := &m.Offers[r.Offer]
	if o.Batches {
		return m.firstEvent(now, a, rep, conf, pred)
	}
	uncached := float64(a.Tail+prefixindex.Tokens(a.Parts)) - float64(conf) - m.cfg.PredWeight*float64(pred)
	t = o.Base + time.Duration(uncached*float64(o.PerToken))
	t = time.Duration(float64(t) * r.factor * (1 + m.fullness(now, rep)) * (1 + r.coldness(now, o.ColdRamp)))
	if r.cold(now) {
		t *= 2
	}
	return t
}

const hopeless = 1e3

type choice struct {
	rep, conf, pred int
	est, least      time.Duration
	cost            float64
	forced          bool
}

func (m *Market) best(now time.Duration, a *Ask) (c choice, any bool) {
	o := &m.Offers[a.Offer]
	c = choice{rep: -1, cost: math.Inf(1), est: time.Duration(math.MaxInt64)}
	if m.cfg.RoundRobin {
		return m.next(now, a, o)
	}
	home, least := m.home(a, o), time.Duration(math.MaxInt64)
	m.N.Visited += uint64(len(o.Reps))
	for _, id := range o.Reps {
		r := &m.Reps[id]
		if !r.fit(now) || (o.Split && r.Role == "prefill") {
			continue
		}
		any = true
		conf, pred := m.Index.Look(now, id, a.Parts)
		est := m.est(now, a, id, conf, pred)
		least = min(least, est)
		if m.free(now, id) <= 0 {
			continue
		}
		if o.Batches {
			one := choice{rep: id, conf: conf, pred: pred, est: est}
			if one.cost = m.cost(now, a, one, id == home); one.cost < c.cost {
				c = one
			}
			continue
		}
		cost := float64(est)/float64(o.Kinds[a.Kind].Bound) + 0.5*m.fullness(now, id)
		if !r.Near {
			cost += o.CrossCost
			if o.Kinds[a.Kind].routed() {
				cost += m.cfg.Cross
			}
		}
		if id == home {
			unheld := prefixindex.Tokens(a.Parts) - conf - pred
			cost -= m.cfg.Home * float64(unheld) * float64(o.PerToken) / float64(o.Kinds[a.Kind].Bound)
		}
		if now+est > a.Due {
			cost += hopeless
		}
		if cost < c.cost {
			c = choice{rep: id, conf: conf, pred: pred, est: est, cost: cost}
		}
	}
	c.least = least
	return c, any
}

func (m *Market) RoundRobin() { m.cfg.RoundRobin = true }

func (m *Market) next(now time.Duration, a *Ask, o *Offer) (c choice, any bool) {
	c = choice{rep: -1}
	for i := range o.Reps {
		id := o.Reps[(m.turn+i)%len(o.Reps)]
		if !m.Reps[id].fit(now) {
			continue
		}
		any = true
		if m.free(now, id) > 0 {
			m.turn += i + 1
			conf, pred := m.Index.Look(now, id, a.Parts)
			return choice{rep: id, conf: conf, pred: pred, est: m.est(now, a, id, 0, 0)}, true
		}
	}
	return c, any
}
