package scheduler

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// queuedPrefill is a prompt that a batching replica has not prefilled completely, to this router's knowledge.
type queuedPrefill struct {
	attempt  uint64
	tokens   float64
	priority int
}

// prefillQueue holds queued prompts in the order in which the replica prefills them. Prompts of other routers have
// attempt 0.
type prefillQueue struct {
	prompts   []queuedPrefill
	drainedAt time.Duration
}

const (
	// prefillPriorities is the number of priorities, and shortestPrompt the maximum length in tokens of the first one.
	prefillPriorities = 10
	shortestPrompt    = 750
	// quadraticTokens is the prompt length at which the quadratic cost of attention doubles the average cost of a token.
	quadraticTokens = 110000
)

// prefillPriority returns a prompt's priority, 0 being the first to be prefilled. Each priority covers prompts up to
// twice as long as the one before: the prompt with the least work left goes first, because behind a long one it would
// outlast its client's time.
func prefillPriority(tokens float64) int {
	var priority int
	for maxTokens := float64(shortestPrompt); tokens > maxTokens && priority < prefillPriorities-1; maxTokens *= 2 {
		priority++
	}
	return priority
}

// prefillWork returns the cost of prefilling a prompt, in tokens of a short prompt. It grows faster than the length,
// since a token takes longer the more tokens precede it.
func prefillWork(tokens float64) float64 { return tokens * (1 + tokens/quadraticTokens) }

func (p *prefillQueue) add(now time.Duration, nanosPerToken float64, prompt queuedPrefill) {
	p.drain(now, nanosPerToken)
	at := len(p.prompts)
	for at > 0 && p.prompts[at-1].priority > prompt.priority {
		at--
	}
	p.prompts = slices.Insert(p.prompts, at, prompt)
}

// drain subtracts what the replica has prefilled since the last call, which takes nanosPerToken per token.
func (p *prefillQueue) drain(now time.Duration, nanosPerToken float64) {
	left := float64(now-p.drainedAt) / nanosPerToken
	p.drainedAt = now
	for i := range p.prompts {
		prefilled := min(left, p.prompts[i].tokens)
		p.prompts[i].tokens -= prefilled
		left -= prefilled
	}
	p.prompts = slices.DeleteFunc(p.prompts, func(f queuedPrefill) bool { return f.attempt == 0 && f.tokens <= 0 })
}

func (p *prefillQueue) remove(attempt uint64) {
	p.prompts = slices.DeleteFunc(p.prompts, func(f queuedPrefill) bool { return f.attempt == attempt })
}

// remaining returns the tokens left in the queue. It includes longer prompts, because a prompt whose prefill has started
// is not preempted by a shorter one.
func (p *prefillQueue) remaining() float64 {
	var tokens float64
	for _, f := range p.prompts {
		tokens += f.tokens
	}
	return tokens
}

// nanosPerToken is the estimated time in which the replica prefills a token, in nanoseconds.
func (s *Scheduler) nanosPerToken(replica int) float64 {
	r := &s.Replicas[replica]
	return s.Services[r.Service].nanosPerToken * r.latencyFactor
}

// uncachedTokens estimates how much of the prompt a replica must prefill. The tokens of predicted blocks
// count as cached in part, according to Config.PredictedWeight.
func (s *Scheduler) uncachedTokens(req *Request, confirmed, predicted int) float64 {
	return float64(req.TailTokens+prefixindex.Tokens(req.PrefixBlocks)) - float64(confirmed) - s.cfg.PredictedWeight*float64(predicted)
}

// firstEventEstimate returns the expected time to the first event at a replica that batches.
func (s *Scheduler) firstEventEstimate(now time.Duration, req *Request, replica, confirmed, predicted int) time.Duration {
	r := &s.Replicas[replica]
	nanosPerToken := s.nanosPerToken(replica)
	r.prefillQueue.drain(now, nanosPerToken)
	tokens := s.uncachedTokens(req, confirmed, predicted)
	prefillTime := (r.prefillQueue.remaining() + prefillWork(tokens)) * nanosPerToken * (1 + s.utilization(now, replica))
	return s.Services[r.Service].BaseLatency + time.Duration(prefillTime)
}

// queuePrefill adds the prompt to the prefill queue of a batching replica and returns its priority, or -1 where replicas
// do not batch.
func (s *Scheduler) queuePrefill(now time.Duration, req *Request) int {
	r := &s.Replicas[req.Replica]
	if !s.Services[req.Service].Batches {
		return -1
	}
	tokens := s.uncachedTokens(req, req.ConfirmedTokens, req.PredictedTokens)
	priority := prefillPriority(tokens)
	req.PrefillQueueEmpty = len(r.prefillQueue.prompts) == 0
	r.prefillQueue.add(now, s.nanosPerToken(req.Replica), queuedPrefill{attempt: req.Attempt, tokens: prefillWork(tokens), priority: priority})
	return priority
}

// prefillSpeedStep is the factor by which one response changes the measured prefill speed.
const prefillSpeedStep = 1.02

// updatePrefillSpeed adjusts the prefill speed by responses to prompts for which the prefill queue was empty, to this
// router's knowledge. Each response changes it by a fixed ratio, so that outliers weigh no more than others.
func (s *Scheduler) updatePrefillSpeed(req *Request, r *Replica, elapsed time.Duration) {
	svc := &s.Services[req.Service]
	if !req.PrefillQueueEmpty {
		return
	}
	if s.batchPrefixEvicted(req, elapsed) {
		s.Index.DropBlocks(s.prefixReplica(req), req.PrefixBlocks)
		return
	}
	if s.uncachedTokens(req, req.ConfirmedTokens, req.PredictedTokens) < 2*shortestPrompt {
		return
	}
	step := prefillSpeedStep
	if elapsed < req.Estimate {
		step = 1 / step
	}
	configured := float64(svc.LatencyPerToken)
	svc.nanosPerToken = min(max(svc.nanosPerToken*step, configured/2), 4*configured)
	r.latencyFactor = min(max(r.latencyFactor*step, 0.7), 2)
}

// batchPrefixEvicted reports whether blocks that were thought to be cached had to be prefilled again: the response took
// as long to start as without them.
func (s *Scheduler) batchPrefixEvicted(req *Request, elapsed time.Duration) bool {
	if req.ConfirmedTokens < 2*shortestPrompt || req.PredictedTokens > 0 {
		return false
	}
	uncachedTime := time.Duration(prefillWork(s.uncachedTokens(req, 0, 0)) * s.nanosPerToken(req.Replica))
	prefillTime := elapsed - s.Services[req.Service].BaseLatency
	return req.Estimate-s.Services[req.Service].BaseLatency < uncachedTime/2 && prefillTime > uncachedTime*4/5 && elapsed > req.Estimate*3/2
}

// tokensToAnnounce returns the number of uncached tokens that other routers should know of, 0 if none.
func (s *Scheduler) tokensToAnnounce(req *Request) int {
	tokens := int(s.uncachedTokens(req, req.ConfirmedTokens, req.PredictedTokens))
	if !s.Services[req.Service].Batches || tokens < max(s.cfg.AnnounceTokens, s.cfg.AnnounceTokensPerRouter*len(s.routers)) {
		return 0
	}
	return tokens
}

// ReportPrefill records that another router sent a prompt to the replica. tokens is the number of its uncached tokens.
func (s *Scheduler) ReportPrefill(now time.Duration, replica int, tokens float64) {
	s.Replicas[replica].prefillQueue.add(now, s.nanosPerToken(replica), queuedPrefill{tokens: prefillWork(tokens), priority: prefillPriority(tokens)})
}
