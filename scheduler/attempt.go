package scheduler

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// AlreadyRan is the reason for rejecting a request that must not be repeated and has had its one attempt.
const AlreadyRan = "request had its one attempt"

// AttemptResult says how an attempt ended.
type AttemptResult uint8

// The results of attempts, as observed by the data path.
const (
	// Completed: the response is complete.
	Completed AttemptResult = iota + 1
	// Refused: the replica reported that it did not run the request.
	Refused
	// Failed: the connection or the response failed after bytes of the request may have been sent.
	Failed
	// NotSent: no byte of the request was sent.
	NotSent
	// ClientDisconnected: the client disconnected.
	ClientDisconnected
	// Suppressed: a witness reported that another router asked about the request first.
	Suppressed
	// NoWitnessQuorum: too few witnesses answered in time.
	NoWitnessQuorum
)

// currentAttempt returns the request if the attempt is its current one, or nil.
func (s *Scheduler) currentAttempt(id int, attempt uint64) *Request {
	req := s.Requests.get(id)
	if req == nil || req.Attempt != attempt || req.State == Queued {
		return nil
	}
	return req
}

// AuthorizeSend reports that an attempt's connection is open and asks for permission to send. The resulting action is
// Send, or CancelBeforeSend if the placement is no longer valid. A request that must not be repeated asks twice: before
// and after its witnesses are asked.
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
		// Only retries draw on the retry budget (RULES, BUDGET).
		req.Retry = req.Sends > 0
	}
	valid := s.NotServingReason(now) == "" && s.placementValid(now, req) && !class.Removed
	if valid && (afterWitnesses || !req.Retry || svc.retryBudget.spend()) {
		s.send(now, id, req, afterWitnesses)
		return
	}
	s.Counters.SendsWithdrawn++
	s.emit(Action{Kind: CancelBeforeSend, Request: id, Attempt: attempt, Replica: req.Replica})
	s.release(now, req)
	req.MayHaveRun = req.MayHaveRun || afterWitnesses
	if !valid {
		s.requeue(now, id, req)
		return
	}
	s.countRefusedRetry(svc)
	s.reject(now, id, "retry budget is spent", s.timeUntilRoom(now, req))
}

// RefuseSend rejects a request that is placed but not sent, for the reason given by the caller.
func (s *Scheduler) RefuseSend(now time.Duration, id int, attempt uint64, reason string, wait time.Duration) {
	req := s.currentAttempt(id, attempt)
	if req == nil || req.State != Placed {
		return
	}
	s.emit(Action{Kind: CancelBeforeSend, Request: id, Attempt: attempt, Replica: req.Replica})
	s.release(now, req)
	s.reject(now, id, reason, wait)
}

// placementValid repeats the checks of the placement just before the request is sent.
func (s *Scheduler) placementValid(now time.Duration, req *Request) bool {
	r := &s.Replicas[req.Replica]
	if req.State == Placed && s.warmupBlockedAtSending(now, req.Replica) {
		return false
	}
	if s.Services[req.Service].Queues {
		return r.eligible() && (req.BackoffOverridden || now >= r.BackoffUntil)
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

// ResponseStarted reports that the head of a successful response arrived, which confirms the predicted prefix.
func (s *Scheduler) ResponseStarted(now time.Duration, id int, attempt uint64) {
	req := s.currentAttempt(id, attempt)
	if req == nil || req.Answered {
		return
	}
	req.Answered = true
	elapsed, ok := s.Index.Confirm(now, s.prefixReplica(req), req.Attempt)
	if now <= req.FirstTokenDue && !req.Resume {
		s.Counters.FirstTokenInTime++
	}
	r := &s.Replicas[req.Replica]
	r.consecutiveFailures = 0
	r.prefillQueue.remove(req.Attempt)
	s.recordContact(now, req.Replica)
	if ok {
		s.updateLatencyFactor(req, r, elapsed)
	}
}

// ErrorResponseReceived reports that the replica responded with an error of its own. Such a response confirms no prefix,
// and its latency is not measured.
func (s *Scheduler) ErrorResponseReceived(now time.Duration, id int, attempt uint64) {
	req := s.currentAttempt(id, attempt)
	if req == nil || req.Answered {
		return
	}
	req.Answered = true
	r := &s.Replicas[req.Replica]
	r.prefillQueue.remove(req.Attempt)
	s.recordContact(now, req.Replica)
	s.backOff(now, r)
	s.recordFailure(now, r, 1)
}

// StreamStarted reports that part of the response reached the client. From then on the request cannot be restarted, only
// resumed.
func (s *Scheduler) StreamStarted(id int, attempt uint64) {
	if req := s.currentAttempt(id, attempt); req != nil {
		req.State = Streaming
	}
}

// updateLatencyFactor corrects the replica's latency factor by the time that a response took to start. If that time
// shows that the replica prefilled blocks that were thought to be cached, it drops them from the prefix index instead.
func (s *Scheduler) updateLatencyFactor(req *Request, r *Replica, elapsed time.Duration) {
	svc := &s.Services[req.Service]
	if svc.Batches {
		s.updatePrefillSpeed(req, r, elapsed)
		return
	}
	if svc.prefixEvicted(req, r, elapsed) {
		s.Index.DropBlocks(s.prefixReplica(req), req.PrefixBlocks)
		return
	}
	r.latencyFactor *= 1 + 0.05*(float64(elapsed)/float64(max(req.Estimate, time.Millisecond))-1)
	r.latencyFactor = min(max(r.latencyFactor, 0.25), 4)
}

// prefixEvicted reports whether a response that relied on confirmed blocks took as long as without them, although the
// replica was not busy.
func (svc *Service) prefixEvicted(req *Request, r *Replica, elapsed time.Duration) bool {
	if req.ConfirmedTokens == 0 || req.PredictedTokens > 0 || (svc.Queues && r.overHalfFull()) {
		return false
	}
	miss := svc.BaseLatency + time.Duration(req.TailTokens+prefixindex.Tokens(req.PrefixBlocks))*svc.LatencyPerToken
	hit := miss - time.Duration(req.ConfirmedTokens)*svc.LatencyPerToken
	if hit >= miss/2 {
		return false
	}
	return float64(elapsed) > 0.8*float64(miss)*r.latencyFactor && float64(elapsed) > 1.5*float64(req.Estimate)
}
