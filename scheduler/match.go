package scheduler

import (
	"math"
	"sort"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

func (m *Market) match(now time.Duration) {
	if len(m.waiting) == 0 {
		return
	}
	if why := m.stalled(now); why != "" {
		m.stall(now, why)
		return
	}
	m.price(now)
	capacity := m.capacity(now)
	kept := m.waiting[:0]
	ahead := make([]int, len(m.Offers))
	for _, id := range m.waiting {
		a := m.Asks.get(id)
		o := &m.Offers[a.Offer]
		if o.Kinds[a.Kind].Gone {
			m.deny(now, id, "kind is no longer offered", time.Second)
			continue
		}
		if o.Kinds[a.Kind].routed() {
			if m.admit(now, id, a, ahead[a.Offer], capacity[a.Offer], len(kept)) {
				ahead[a.Offer]++
				kept = append(kept, id)
			}
			continue
		}
		c, any := m.best(now, a)
		if c.rep >= 0 && now+c.est <= a.Due {
			m.place(now, id, a, c)
			continue
		}
		if c.rep >= 0 && a.Gos == 0 && a.At == now {
			m.deny(now, id, "cannot start in time", time.Second)
			continue
		}
		ahead[a.Offer]++
		wait := time.Duration(float64(ahead[a.Offer]) * float64(o.hold) / float64(max(capacity[a.Offer], 1)))
		if !any {
			wait = 0
		}
		if a.At == now {
			wait = time.Duration(float64(wait) * m.cfg.Doubt)
		}
		least := o.Base + time.Duration(a.Tail)*o.PerToken
		if a.At == now && any {
			least = max(least, c.least)
		}
		switch {
		case now+least+wait > a.Due && any:
			m.deny(now, id, "backlog is too long", wait)
		case now+least > a.Due:
			m.deny(now, id, "no replica in time", 2*time.Second)
		case len(kept) >= m.cfg.Backlog:
			m.deny(now, id, "backlog is full", wait)
		default:
			kept = append(kept, id)
			if !a.Peeked && !o.Kinds[a.Kind].Repeatable {
				a.Peeked = true
				m.do(Act{Kind: Peek, Ask: id, Rep: -1})
			}
		}
	}
	m.waiting = kept
}

func (m *Market) price(now time.Duration) {
	for _, id := range m.waiting {
		a := m.Asks.get(id)
		k := m.Offers[a.Offer].Kinds[a.Kind]
		slack := max(float64(a.Due-now)/float64(k.Bound), 0.05)
		a.price = k.Value * k.Urgency / slack
		if now-a.At > k.Bound/16 {
			a.price *= m.cfg.Kept
		}
	}
	sort.SliceStable(m.waiting, func(i, j int) bool {
		return m.Asks.rows[m.waiting[i]].price > m.Asks.rows[m.waiting[j]].price
	})
}

func (m *Market) capacity(now time.Duration) (rooms []int) {
	rooms = make([]int, len(m.Offers))
	m.N.Visited += uint64(len(m.Reps))
	for i := range m.Reps {
		r := &m.Reps[i]
		switch {
		case !r.fit(now):
		case m.Offers[r.Offer].Queues:
			rooms[r.Offer] += m.opening(now, i)
		default:
			m.free(now, i)
			rooms[r.Offer] += r.share
		}
	}
	for i := range rooms {
		if m.Offers[i].Queues && rooms[i] > 0 {
			rooms[i] = max(rooms[i]/max(len(m.routers), 1), 1)
		}
	}
	return rooms
}

func (m *Market) Roomless(now time.Duration) (why string) {
	for _, n := range m.capacity(now) {
		if n > 0 {
			return ""
		}
	}
	return "no replica has room for this node yet"
}

func (m *Market) place(now time.Duration, id int, a *Ask, c choice) {
	o := &m.Offers[a.Offer]
	m.goSeq++
	a.State, a.Go, a.Rep, a.Prefill, a.Began, a.Sent, a.Confirmed = Placed, m.goSeq, c.rep, -1, now, now, false
	a.Conf, a.Pred, a.Est, a.Forced = c.conf, c.pred, c.est, c.forced
	a.Gos++
	if o.Split {
		a.Prefill, a.Conf, a.Pred = m.prefill(now, a, o)
	}
	m.Reps[c.rep].began(now)
	m.reserve(now, c.rep)
	rank := m.reads(now, a)
	m.Index.Commit(now, m.keeper(a), a.Go, a.Parts)
	m.soonest = min(m.soonest, a.Deadline)
	m.N.Placed++
	m.N.ConfirmedTokens += uint64(a.Conf)
	m.N.PredictedTokens += uint64(a.Pred)
	m.N.PrefixTokens += uint64(prefixindex.Tokens(a.Parts))
	m.do(Act{Kind: Place, Ask: id, Go: a.Go, Rep: a.Rep, Pre: a.Prefill, Conf: a.Conf, Pred: a.Pred, Once: !a.settled(m), Spare: max(a.Due-now-a.Est, 0), Until: a.Deadline, Resumes: a.Resume, Rank: rank, Unread: m.telling(a)})
}

func (m *Market) keeper(a *Ask) (rep int) {
	if a.Prefill >= 0 {
		return a.Prefill
	}
	return a.Rep
}

func (m *Market) prefill(now time.Duration, a *Ask, o *Offer) (pre, conf, pred int) {
	pre = -1
	var low time.Duration
	for _, id := range o.Reps {
		if r := &m.Reps[id]; r.Role != "prefill" || !r.fit(now) {
			continue
		}
		cf, pd := m.Index.Look(now, id, a.Parts)
		if est := m.est(now, a, id, cf, pd); pre < 0 || est < low {
			pre, conf, pred, low = id, cf, pd, est
		}
	}
	return pre, conf, pred
}

func (m *Market) deny(now time.Duration, id int, why string, wait time.Duration) {
	a := m.Asks.get(id)
	if a.Resume {
		m.partial(id, a.Go, a.Rep)
		return
	}
	if a.MayRan {
		m.unknown(id, a, why)
		return
	}
	k := &m.Offers[a.Offer].Kinds[a.Kind]
	late := a.Gos > 0 || now-a.At > k.Bound/4
	if late {
		m.N.DeniedLate++
	} else {
		m.N.DeniedEarly++
	}
	after := max((wait + time.Second - 1).Truncate(time.Second), time.Second)
	if k.routed() {
		after = max(wait, leastAfter)
	}
	m.do(Act{Kind: Deny, Ask: id, Why: why, After: after, Late: late, Rep: -1})
	m.Asks.drop(id)
}

func (m *Market) silence(now time.Duration) {
	m.soonest = math.MaxInt64
	for id := range m.Asks.rows {
		a := &m.Asks.rows[id]
		if !a.live || a.State == Waiting {
			continue
		}
		if m.Offers[a.Offer].Kinds[a.Kind].routed() {
			m.expire(now, id, a)
			continue
		}
		if a.Confirmed {
			continue
		}
		if now-a.Sent < max(m.cfg.Silence, 2*m.Offers[a.Offer].Kinds[a.Kind].Bound) {
			continue
		}
		m.N.Silent++
		m.do(Act{Kind: Cancel, Ask: id, Go: a.Go, Rep: a.Rep, Why: "replica is silent"})
		m.finish(now, id, a, Broken)
	}
}
