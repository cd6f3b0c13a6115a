package scheduler

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// place commits a waiting request to a replica: the slot, the prompt to be read and the predicted prefix count from now.
func (s *Scheduler) place(now time.Duration, id int, req *Request, c choice) {
	svc := &s.Services[req.Service]
	s.lastAttempt++
	req.State, req.Attempt = Placed, s.lastAttempt
	req.PlacedAt, req.SentAt, req.Answered = now, now, false
	req.Replica, req.PrefillReplica = c.replica, -1
	req.ConfirmedTokens, req.PredictedTokens = c.confirmed, c.predicted
	req.Estimate, req.BackoffOverridden = c.estimate, c.forced
	req.Placements++
	if svc.SplitRoles {
		req.PrefillReplica, req.ConfirmedTokens, req.PredictedTokens = s.choosePrefillReplica(now, req, svc)
	}
	s.Replicas[c.replica].attemptBegan(now)
	s.reserveWarmupStart(now, c.replica)
	rank := s.queuePrefill(now, req)
	s.Index.Predict(now, s.prefixHolder(req), req.Attempt, req.PrefixBlocks)
	s.nextDeadline = min(s.nextDeadline, req.Deadline)
	s.countPlacement(req)
	s.emit(Action{
		Kind: Place, Request: id, Attempt: req.Attempt, Replica: req.Replica, PrefillReplica: req.PrefillReplica,
		ConfirmedTokens: req.ConfirmedTokens, PredictedTokens: req.PredictedTokens, NeedsWitnesses: !req.needsNoWitnesses(s),
		SpareTime: max(req.FirstTokenDue-now-req.Estimate, 0), Deadline: req.Deadline, Resumes: req.Resume, Priority: rank, UncachedTokens: s.tokensToAnnounce(req),
	})
}

func (s *Scheduler) countPlacement(req *Request) {
	s.Counters.Placed++
	s.Counters.ConfirmedTokens += uint64(req.ConfirmedTokens)
	s.Counters.PredictedTokens += uint64(req.PredictedTokens)
	s.Counters.PrefixTokens += uint64(prefixindex.Tokens(req.PrefixBlocks))
}

// prefixHolder is the replica whose cache keeps the prompt: the one that reads it.
func (*Scheduler) prefixHolder(req *Request) int {
	if req.PrefillReplica >= 0 {
		return req.PrefillReplica
	}
	return req.Replica
}

func (s *Scheduler) choosePrefillReplica(now time.Duration, req *Request, svc *Service) (replica, confirmed, predicted int) {
	replica = -1
	var least time.Duration
	for _, id := range svc.Replicas {
		if r := &s.Replicas[id]; r.Role != rolePrefill || !r.available(now) {
			continue
		}
		conf, pred := s.Index.Lookup(now, id, req.PrefixBlocks)
		if estimate := s.estimate(now, req, id, conf, pred); replica < 0 || estimate < least {
			replica, confirmed, predicted, least = id, conf, pred, estimate
		}
	}
	return replica, confirmed, predicted
}

// requeue lets a request wait for another placement.
func (s *Scheduler) requeue(id int, req *Request) {
	req.State, req.Replica, req.PrefillReplica, req.Attempt = Queued, -1, -1, 0
	req.WitnessesAgreed, req.BackoffOverridden = false, false
	s.queued = append(s.queued, id)
}

// release gives back what the current attempt took at its replica.
func (s *Scheduler) release(now time.Duration, req *Request) {
	r := &s.Replicas[req.Replica]
	r.attemptEnded(now, req.PlacedAt)
	r.prefills.remove(req.Attempt)
	s.Index.EndAttempt(req.Attempt)
}
