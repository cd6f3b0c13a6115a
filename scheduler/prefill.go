package scheduler

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// A prefill is a prompt that a batching replica has not read whole, as far as this node knows.
type prefill struct {
	attempt uint64
	tokens  float64
	rank    int
}

// prefills are in the order in which the replica reads them; those of other nodes have no attempt.
type prefills struct {
	queue   []prefill
	drained time.Duration
}

const (
	ranks     = 10
	leastRank = 750
	// squared is the length at which attention makes a token twice as dear to read.
	squared = 110000
)

// rank makes replicas read short prompts first: each rank holds prompts twice as long as the one before.
func rank(tokens float64) (n int) {
	for most := float64(leastRank); tokens > most && n < ranks-1; most *= 2 {
		n++
	}
	return n
}

func work(tokens float64) (equivalent float64) { return tokens * (1 + tokens/squared) }

func (p *prefills) add(now time.Duration, pace float64, one prefill) {
	p.drain(now, pace)
	at := len(p.queue)
	for at > 0 && p.queue[at-1].rank > one.rank {
		at--
	}
	p.queue = slices.Insert(p.queue, at, one)
}

func (p *prefills) drain(now time.Duration, pace float64) {
	left := float64(now-p.drained) / pace
	p.drained = now
	for i := range p.queue {
		read := min(left, p.queue[i].tokens)
		p.queue[i].tokens -= read
		left -= read
	}
	p.queue = slices.DeleteFunc(p.queue, func(f prefill) bool { return f.attempt == 0 && f.tokens <= 0 })
}

func (p *prefills) remove(attempt uint64) {
	p.queue = slices.DeleteFunc(p.queue, func(f prefill) bool { return f.attempt == attempt })
}

// unread counts longer prompts as well: one that is being read is not put off by a shorter one.
func (p *prefills) unread() (tokens float64) {
	for _, f := range p.queue {
		tokens += f.tokens
	}
	return tokens
}

func (m *Market) pace(rep int) (perToken float64) {
	r := &m.Reps[rep]
	return m.Offers[r.Offer].pace * r.factor
}

func (m *Market) unread(a *Ask, conf, pred int) (tokens float64) {
	return float64(a.Tail+prefixindex.Tokens(a.Parts)) - float64(conf) - m.cfg.PredWeight*float64(pred)
}

func (m *Market) firstEvent(now time.Duration, a *Ask, rep, conf, pred int) (t time.Duration) {
	r := &m.Reps[rep]
	pace := m.pace(rep)
	r.prefills.drain(now, pace)
	tokens := m.unread(a, conf, pred)
	reading := (r.prefills.unread() + work(tokens)) * pace * (1 + m.fullness(now, rep))
	return m.Offers[r.Offer].Base + time.Duration(reading)
}

func (m *Market) reads(now time.Duration, a *Ask) (n int) {
	r := &m.Reps[a.Rep]
	if !m.Offers[a.Offer].Batches {
		return -1
	}
	tokens := m.unread(a, a.Conf, a.Pred)
	n = rank(tokens)
	a.Alone = len(r.prefills.queue) == 0
	r.prefills.add(now, m.pace(a.Rep), prefill{attempt: a.Go, tokens: work(tokens), rank: n})
	return n
}

const paceStep = 1.02

// paced learns from the first events of prompts that nothing known was ahead of; a step at a time, so that outliers weigh no more.
func (m *Market) paced(a *Ask, r *Replica, took time.Duration) {
	o := &m.Offers[a.Offer]
	if !a.Alone {
		return
	}
	if m.evicted(a, took) {
		m.Index.Evicted(m.keeper(a), a.Parts)
		return
	}
	if m.unread(a, a.Conf, a.Pred) < 2*leastRank {
		return
	}
	step := paceStep
	if took < a.Est {
		step = 1 / step
	}
	usual := float64(o.PerToken)
	o.pace = min(max(o.pace*step, usual/2), 4*usual)
	r.factor = min(max(r.factor*step, 0.7), 2)
}

// evicted tells that parts counted on as kept were read again: the answer took as long as without them.
func (m *Market) evicted(a *Ask, took time.Duration) (yes bool) {
	if a.Conf < 2*leastRank || a.Pred > 0 {
		return false
	}
	whole := time.Duration(work(m.unread(a, 0, 0)) * m.pace(a.Rep))
	reading := took - m.Offers[a.Offer].Base
	return a.Est-m.Offers[a.Offer].Base < whole/2 && reading > whole*4/5 && took > a.Est*3/2
}

// cost is in units of a late first event.
func (m *Market) cost(now time.Duration, a *Ask, c choice, home bool) (cost float64) {
	r, o := &m.Reps[c.rep], &m.Offers[a.Offer]
	bound := float64(o.Kinds[a.Kind].Bound)
	late := float64(c.est) / max(float64(a.Due-now), bound/8)
	cost = min(late*late*late, 64) + 0.1*float64(c.est)/bound + 0.5*m.fullness(now, c.rep)
	if shared := prefixindex.Tokens(a.Parts[:max(len(a.Parts)-1, 0)]) - c.conf - c.pred; shared > 0 && !home {
		cost += m.cfg.Reread * float64(shared) / 1000
	}
	if !r.Near {
		cost += m.cfg.Cross + m.cfg.CrossToken*float64(a.Tail+prefixindex.Tokens(a.Parts))/1000
	}
	return cost
}

// Batch says whether the offer's replicas batch; what was learned of their pace stays.
func (o *Offer) Batch(yes bool) {
	o.Batches = yes
	if o.pace == 0 {
		o.pace = float64(o.PerToken)
	}
}

// telling is how many unread tokens other routers should know of; 0: none.
func (m *Market) telling(a *Ask) (tokens int) {
	tokens = int(m.unread(a, a.Conf, a.Pred))
	if !m.Offers[a.Offer].Batches || tokens < max(m.cfg.Told, m.cfg.ToldEach*len(m.routers)) {
		return 0
	}
	return tokens
}

// Elsewhere takes in that another router sent a replica a prompt.
func (m *Market) Elsewhere(now time.Duration, rep int, tokens float64) {
	m.Reps[rep].prefills.add(now, m.pace(rep), prefill{tokens: work(tokens), rank: rank(tokens)})
}
