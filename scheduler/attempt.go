package scheduler

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// AlreadyRan is the reason why a request that may not be repeated is not run again.
const AlreadyRan = "request had its one attempt"

// AttemptResult says how an attempt ended.
type AttemptResult uint8

// The ends of attempts, as the data path saw them.
const (
	// Completed: the answer came to its end.
	Completed AttemptResult = iota + 1
	// Refused: the replica said that it did not run the request.
	Refused
	// Failed: the connection or the answer failed after bytes may have left.
	Failed
	// NotSent: no byte left.
	NotSent
	// ClientDisconnected: the client disconnected.
	ClientDisconnected
	// Suppressed: a witness knows that another router was asked before.
	Suppressed
	// NoWitnessQuorum: too few witnesses answered in time.
	NoWitnessQuorum
)

// currentAttempt gives the request if that attempt is the one under way, or nil.
func (s *Scheduler) currentAttempt(id int, attempt uint64) *Request {
	req := s.Requests.get(id)
	if req == nil || req.Attempt != attempt || req.State == Queued {
		return nil
	}
	return req
}

// AuthorizeSend says that an attempt's connection is open and that its bytes could leave now. The answer is Send, or CancelBeforeSend where
// the placement no longer holds. A request that may not be repeated asks twice, before and after its witnesses.
func (s *Scheduler) AuthorizeSend(now time.Duration, id int, attempt uint64) {
	req := s.currentAttempt(id, attempt)
	if req == nil || (req.State != Placed && (req.State != Sent || req.needsNoWitnesses(s))) {
		s.emit(Action{Kind: CancelBeforeSend, Request: id, Attempt: attempt, Replica: -1})
		return
	}
	svc := &s.Services[req.Service]
	class := &svc.Classes[req.Class]
	afterWitnesses := req.State == Sent
	s.Replicas[req.Replica].attemptDelayed(req.PlacedAt, now)
	req.PlacedAt = now
	if class.routed() {
		req.Retry = req.Sends > 0
	}
	sound := s.NotServingReason(now) == "" && s.maySend(now, req) && !class.Removed
	if sound && (afterWitnesses || !req.Retry || svc.retryBudget.spend()) {
		s.send(now, id, req, afterWitnesses)
		return
	}
	s.Counters.SendsWithdrawn++
	s.emit(Action{Kind: CancelBeforeSend, Request: id, Attempt: attempt, Replica: req.Replica})
	s.release(now, req)
	req.MayHaveRun = req.MayHaveRun || afterWitnesses
	if !sound {
		s.requeue(id, req)
		return
	}
	s.countRefusedRetry(svc)
	s.reject(now, id, "retry budget is spent", 2*time.Second)
}

// RefuseSend ends a request whose attempt may not be sent, for a reason of the caller's.
func (s *Scheduler) RefuseSend(now time.Duration, id int, attempt uint64, why string, wait time.Duration) {
	req := s.currentAttempt(id, attempt)
	if req == nil || req.State != Placed {
		return
	}
	s.emit(Action{Kind: CancelBeforeSend, Request: id, Attempt: attempt, Replica: req.Replica})
	s.release(now, req)
	s.reject(now, id, why, wait)
}

// maySend checks the placement once more before the request is sent.
func (s *Scheduler) maySend(now time.Duration, req *Request) bool {
	r := &s.Replicas[req.Replica]
	if req.State == Placed && s.warmupBlockedAtSending(now, req.Replica) {
		return false
	}
	if s.Services[req.Service].Queues {
		return r.open() && (req.BackoffOverridden || now >= r.BackoffUntil)
	}
	return r.available(now) && s.freeSlots(now, req.Replica) >= 0
}

func (s *Scheduler) send(now time.Duration, id int, req *Request, afterWitnesses bool) {
	svc := &s.Services[req.Service]
	req.State, req.SentAt, req.WitnessesAgreed = Sent, now, afterWitnesses
	req.Sends++
	req.TimeoutCounted = false
	svc.arrivals.decay(now)
	svc.arrivals.count++
	s.recordSend(now, req.Replica)
	if !afterWitnesses {
		s.countSend(req, svc)
	}
	s.emit(Action{Kind: Send, Request: id, Attempt: req.Attempt, Replica: req.Replica})
}

func (s *Scheduler) countSend(req *Request, svc *Service) {
	if req.Retry {
		s.Counters.Retries++
		svc.Retries++
		return
	}
	if req.FirstCounted {
		return
	}
	req.FirstCounted = true
	s.Counters.FirstAttempts++
	svc.FirstAttempts++
	svc.retryBudget.earn()
}

func (s *Scheduler) countRefusedRetry(svc *Service) {
	s.Counters.RetriesRefused++
	svc.RetriesRefused++
}

// ResponseStarted says that the head of a successful answer came: it confirms the predicted prefix.
func (s *Scheduler) ResponseStarted(now time.Duration, id int, attempt uint64) {
	req := s.currentAttempt(id, attempt)
	if req == nil || req.Answered {
		return
	}
	req.Answered = true
	elapsed, ok := s.Index.Confirm(now, s.prefixHolder(req), req.Attempt)
	if now <= req.FirstTokenDue && !req.Resume {
		s.Counters.FirstTokenInTime++
	}
	r := &s.Replicas[req.Replica]
	r.consecutiveFailures = 0
	r.prefills.remove(req.Attempt)
	s.recordContact(now, req.Replica)
	if ok {
		s.learn(req, r, elapsed)
	}
}

// ErrorResponseReceived says that the replica answered with a failure of its own: that confirms nothing and teaches nothing about its speed.
func (s *Scheduler) ErrorResponseReceived(now time.Duration, id int, attempt uint64) {
	req := s.currentAttempt(id, attempt)
	if req == nil || req.Answered {
		return
	}
	req.Answered = true
	r := &s.Replicas[req.Replica]
	r.prefills.remove(req.Attempt)
	s.recordContact(now, req.Replica)
	s.backOff(now, r)
	s.recordFailure(now, r, 1)
}

// StreamStarted says that a part of the answer was passed on to the client: from here it cannot be started over.
func (s *Scheduler) StreamStarted(id int, attempt uint64) {
	if req := s.currentAttempt(id, attempt); req != nil {
		req.State = Streaming
	}
}

// learn corrects the replica's speed by how long a first answer took, or drops prefix parts that were evidently read again.
func (s *Scheduler) learn(req *Request, r *Replica, elapsed time.Duration) {
	svc := &s.Services[req.Service]
	if svc.Batches {
		s.learnPace(req, r, elapsed)
		return
	}
	if svc.rereadPrompt(req, r, elapsed) {
		s.Index.DropBlocks(s.prefixHolder(req), req.PrefixBlocks)
		return
	}
	r.factor *= 1 + 0.05*(float64(elapsed)/float64(max(req.Estimate, time.Millisecond))-1)
	r.factor = min(max(r.factor, 0.25), 4)
}

// rereadPrompt tells that an answer that counted on confirmed parts took as long as without them, at a replica that had time.
func (svc *Service) rereadPrompt(req *Request, r *Replica, elapsed time.Duration) bool {
	if req.ConfirmedTokens == 0 || req.PredictedTokens > 0 || (svc.Queues && r.overloaded()) {
		return false
	}
	miss := svc.BaseLatency + time.Duration(req.TailTokens+prefixindex.Tokens(req.PrefixBlocks))*svc.LatencyPerToken
	hit := miss - time.Duration(req.ConfirmedTokens)*svc.LatencyPerToken
	if hit >= miss/2 {
		return false
	}
	return float64(elapsed) > 0.8*float64(miss)*r.factor && float64(elapsed) > 1.5*float64(req.Estimate)
}
