package scheduler

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// A prefill is a prompt that a batching replica has not read whole, as far as this node knows.
type prefill struct {
	attempt  uint64
	tokens   float64
	priority int
}

// prefills are in the order in which the replica reads them; those of other nodes have no attempt.
type prefills struct {
	queue   []prefill
	drained time.Duration
}

const (
	priorities     = 10
	shortestPrompt = 750
	// quadraticTokens is the length at which attention makes a token twice as dear to read.
	quadraticTokens = 110000
)

// prefillPriority makes replicas read short prompts first: each rank holds prompts twice as long as the one before.
func prefillPriority(tokens float64) int {
	var n int
	for most := float64(shortestPrompt); tokens > most && n < priorities-1; most *= 2 {
		n++
	}
	return n
}

// prefillWork weighs longer prompts more, since reading a token takes longer the more stand before it.
func prefillWork(tokens float64) float64 { return tokens * (1 + tokens/quadraticTokens) }

func (p *prefills) add(now time.Duration, pace float64, one prefill) {
	p.drain(now, pace)
	at := len(p.queue)
	for at > 0 && p.queue[at-1].priority > one.priority {
		at--
	}
	p.queue = slices.Insert(p.queue, at, one)
}

// drain takes off what the replica has read since, at that many nanoseconds a token.
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
func (p *prefills) unread() float64 {
	var tokens float64
	for _, f := range p.queue {
		tokens += f.tokens
	}
	return tokens
}

// pace is how many nanoseconds the replica is held to read a token in.
func (s *Scheduler) pace(replica int) float64 {
	r := &s.Replicas[replica]
	return s.Services[r.Service].pace * r.factor
}

// unreadTokens is how much of the prompt a replica has to read; predicted parts count in part.
func (s *Scheduler) unreadTokens(req *Request, conf, pred int) float64 {
	return float64(req.TailTokens+prefixindex.Tokens(req.PrefixBlocks)) - float64(conf) - s.cfg.PredictedWeight*float64(pred)
}

// firstEvent is how long the first event is expected to take at a replica that batches.
func (s *Scheduler) firstEvent(now time.Duration, req *Request, replica, conf, pred int) time.Duration {
	r := &s.Replicas[replica]
	pace := s.pace(replica)
	r.prefills.drain(now, pace)
	tokens := s.unreadTokens(req, conf, pred)
	reading := (r.prefills.unread() + prefillWork(tokens)) * pace * (1 + s.fullness(now, replica))
	return s.Services[r.Service].BaseLatency + time.Duration(reading)
}

// queuePrefill notes the prompt that a batching replica is to read and gives its rank there, -1 where replicas do not batch.
func (s *Scheduler) queuePrefill(now time.Duration, req *Request) int {
	r := &s.Replicas[req.Replica]
	if !s.Services[req.Service].Batches {
		return -1
	}
	tokens := s.unreadTokens(req, req.ConfirmedTokens, req.PredictedTokens)
	n := prefillPriority(tokens)
	req.PrefillQueueEmpty = len(r.prefills.queue) == 0
	r.prefills.add(now, s.pace(req.Replica), prefill{attempt: req.Attempt, tokens: prefillWork(tokens), priority: n})
	return n
}

const paceStep = 1.02

// learnPace learns from the first events of prompts that nothing known was ahead of; a step at a time, so that outliers weigh no more.
func (s *Scheduler) learnPace(req *Request, r *Replica, elapsed time.Duration) {
	svc := &s.Services[req.Service]
	if !req.PrefillQueueEmpty {
		return
	}
	if s.evicted(req, elapsed) {
		s.Index.DropBlocks(s.prefixHolder(req), req.PrefixBlocks)
		return
	}
	if s.unreadTokens(req, req.ConfirmedTokens, req.PredictedTokens) < 2*shortestPrompt {
		return
	}
	step := paceStep
	if elapsed < req.Estimate {
		step = 1 / step
	}
	usual := float64(svc.LatencyPerToken)
	svc.pace = min(max(svc.pace*step, usual/2), 4*usual)
	r.factor = min(max(r.factor*step, 0.7), 2)
}

// evicted tells that parts counted on as kept were read again: the answer took as long as without them.
func (s *Scheduler) evicted(req *Request, elapsed time.Duration) bool {
	if req.ConfirmedTokens < 2*shortestPrompt || req.PredictedTokens > 0 {
		return false
	}
	complete := time.Duration(prefillWork(s.unreadTokens(req, 0, 0)) * s.pace(req.Replica))
	reading := elapsed - s.Services[req.Service].BaseLatency
	return req.Estimate-s.Services[req.Service].BaseLatency < complete/2 && reading > complete*4/5 && elapsed > req.Estimate*3/2
}

// batchCost weighs a replica that batches, in units of a late first event.
func (s *Scheduler) batchCost(now time.Duration, req *Request, c choice, home bool) float64 {
	r, svc := &s.Replicas[c.replica], &s.Services[req.Service]
	bound := float64(svc.Classes[req.Class].FirstTokenTarget)
	lateness := float64(c.estimate) / max(float64(req.FirstTokenDue-now), bound/8)
	cost := min(lateness*lateness*lateness, 64) + 0.1*float64(c.estimate)/bound + 0.5*s.fullness(now, c.replica)
	if shared := prefixindex.Tokens(req.PrefixBlocks[:max(len(req.PrefixBlocks)-1, 0)]) - c.confirmed - c.predicted; shared > 0 && !home {
		cost += s.cfg.PrefixMissCost * float64(shared) / 1000
	}
	if !r.SameZone {
		cost += s.cfg.CrossZoneCost + s.cfg.CrossZoneTokenCost*float64(req.TailTokens+prefixindex.Tokens(req.PrefixBlocks))/1000
	}
	return cost
}

// tokensToAnnounce is how many unread tokens other routers should know of; 0: none.
func (s *Scheduler) tokensToAnnounce(req *Request) int {
	tokens := int(s.unreadTokens(req, req.ConfirmedTokens, req.PredictedTokens))
	if !s.Services[req.Service].Batches || tokens < max(s.cfg.AnnounceTokens, s.cfg.AnnounceTokensPerRouter*len(s.routers)) {
		return 0
	}
	return tokens
}

// ReportPrefill takes in that another router sent a replica a prompt.
func (s *Scheduler) ReportPrefill(now time.Duration, replica int, tokens float64) {
	s.Replicas[replica].prefills.add(now, s.pace(replica), prefill{tokens: prefillWork(tokens), priority: prefillPriority(tokens)})
}
