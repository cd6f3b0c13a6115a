package scheduler

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// place assigns a queued request to a replica. Its slot, its prefill work and its predicted prefix count from now on.
func (s *Scheduler) place(now time.Duration, id int, req *Request, c choice) {
	svc := &s.Services[req.Service]
	s.lastAttempt++
	req.State, req.Attempt = Placed, s.lastAttempt
	req.PlacedAt, req.SentAt, req.Answered = now, now, false
	req.Replica, req.PrefillReplica = c.replica, -1
	req.ConfirmedTokens, req.PredictedTokens = c.confirmed, c.predicted
	req.Estimate, req.BackoffOverridden = c.estimate, c.backoffOverridden
	req.OverrodeBackoff = req.OverrodeBackoff || c.backoffOverridden
	req.Placements++
	if svc.SplitRoles {
		req.PrefillReplica, req.ConfirmedTokens, req.PredictedTokens = s.choosePrefillReplica(now, req, svc)
	}
	s.Replicas[c.replica].attemptStarted(now)
	s.reserveWarmupStart(now, c.replica)
	priority := s.queuePrefill(now, req)
	s.Index.Predict(now, s.prefixReplica(req), req.Attempt, req.PrefixBlocks)
	s.nextDeadline = min(s.nextDeadline, req.Deadline)
	s.countPlacement(req)
	s.emit(Action{
		Kind: Place, Request: id, Attempt: req.Attempt, Replica: req.Replica, PrefillReplica: req.PrefillReplica,
		ConfirmedTokens: req.ConfirmedTokens, PredictedTokens: req.PredictedTokens, NeedsWitnesses: !req.needsNoWitnesses(s),
		SpareTime: max(req.FirstTokenDue-now-req.Estimate, 0), Deadline: req.Deadline, Resumes: req.Resume, Priority: priority, UncachedTokens: s.tokensToAnnounce(req),
	})
}

func (s *Scheduler) countPlacement(req *Request) {
	s.Counters.Placed++
	s.Counters.ConfirmedTokens += uint64(req.ConfirmedTokens)
	s.Counters.PredictedTokens += uint64(req.PredictedTokens)
	s.Counters.PrefixTokens += uint64(prefixindex.Tokens(req.PrefixBlocks))
}

// prefixReplica returns the replica that prefills the prompt and so has it in its cache afterwards.
func (*Scheduler) prefixReplica(req *Request) int {
	if req.PrefillReplica >= 0 {
		return req.PrefillReplica
	}
	return req.Replica
}

func (s *Scheduler) choosePrefillReplica(now time.Duration, req *Request, svc *Service) (replica, confirmed, predicted int) {
	replica = -1
	var minEstimate time.Duration
	for _, id := range svc.Replicas {
		if r := &s.Replicas[id]; r.Role != rolePrefill || !r.available(now) {
			continue
		}
		confirmedTokens, predictedTokens := s.Index.Lookup(now, id, req.PrefixBlocks)
		if estimate := s.estimate(now, req, id, confirmedTokens, predictedTokens); replica < 0 || estimate < minEstimate {
			replica, confirmed, predicted, minEstimate = id, confirmedTokens, predictedTokens, estimate
		}
	}
	return replica, confirmed, predicted
}

// requeue returns a request to the queue for another placement.
func (s *Scheduler) requeue(now time.Duration, id int, req *Request) {
	req.QueuedAt, req.leastWork = now, 0
	req.State, req.Replica, req.PrefillReplica, req.Attempt = Queued, -1, -1, 0
	req.WitnessesAgreed, req.BackoffOverridden = false, false
	s.queued = append(s.queued, id)
}

// release frees what the current attempt occupies at its replica.
func (s *Scheduler) release(now time.Duration, req *Request) {
	r := &s.Replicas[req.Replica]
	r.attemptEnded(now, req.PlacedAt)
	r.prefillQueue.remove(req.Attempt)
	s.Index.EndAttempt(req.Attempt)
}
