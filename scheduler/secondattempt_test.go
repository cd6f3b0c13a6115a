package scheduler

import (
	"testing"
	"time"
)

func TestSecondAttemptsOfRoutes(t *testing.T) {
	repeat, resume, single := routeClass, routeClass, routeClass
	repeat.Idempotent = true
	resume.Idempotent, resume.Resumable = true, true
	single.MaxAttempts, single.Idempotent = 1, true
	for _, c := range []secondAttempt{
		{"refused: retried although not idempotent", routeClass, false, Refused, 4, Place, false},
		{"refused, no budget: rejected", routeClass, false, Refused, 0, Reject, false},
		{"refused, one attempt: rejected", single, false, Refused, 4, Reject, false},
		{"failed, not idempotent", routeClass, false, Failed, 4, Unknown, false},
		{"failed, idempotent", repeat, false, Failed, 4, Place, false},
		{"failed, idempotent, no budget", repeat, false, Failed, 0, Unknown, false},
		{"failed, one attempt", single, false, Failed, 4, Unknown, false},
		{"stream broken off, not resumable", repeat, true, Failed, 4, Partial, false},
		{"stream broken off, resumable", resume, true, Failed, 4, Place, true},
		{"stream broken off, resumable, no budget", resume, true, Failed, 0, Partial, false},
		{"not sent: retried without budget", routeClass, false, NotSent, 0, Place, false},
	} {
		t.Run(c.name, c.test)
	}
}

// secondAttempt is a test case for what follows a first attempt: how that attempt ended, the tokens in the retry budget,
// and the expected action.
type secondAttempt struct {
	name    string
	class   RequestClass
	started bool
	end     AttemptResult
	budget  float64
	want    ActionKind
	resume  bool
}

func (c secondAttempt) test(t *testing.T) {
	s := queueingScheduler(8, c.class)
	id, p := sendRequest(t, s, now)
	s.Services[0].retryBudget.tokens = c.budget
	if c.started {
		s.ResponseStarted(now, id, p.Attempt)
		s.StreamStarted(id, p.Attempt)
	}
	s.EndAttempt(now, id, p.Attempt, c.end)
	actions := s.Tick(now)
	if len(actions) != 1 || actions[0].Kind != c.want || actions[0].Resumes != c.resume {
		t.Errorf("after the first attempt: %+v, want kind %v, resumes %v", actions, c.want, c.resume)
		return
	}
	if c.want == Reject && (actions[0].RetryAfter < MinRetryAfter || actions[0].RetryAfter >= time.Second) {
		t.Errorf("rejected with RetryAfter %v", actions[0].RetryAfter)
	}
	if c.want != Place {
		return
	}
	q := actions[0]
	if q.Replica == p.Replica {
		t.Error("placed at the same replica again")
	}
	s.AuthorizeSend(now, id, q.Attempt)
	wantActions(t, s.Tick(now), Send)
	if c.end == NotSent {
		return
	}
	s.EndAttempt(now, id, q.Attempt, Failed)
	want := Unknown
	if c.resume {
		want = Partial
	}
	wantActions(t, s.Tick(now), want)
}

// TestRouteThatBecomesResumableLeavesRunningStreamsAlone guards against retrying or resuming requests whose body was not
// kept, because their route allowed neither when they arrived.
func TestRouteThatBecomesResumableLeavesRunningStreamsAlone(t *testing.T) {
	resume := routeClass
	resume.Idempotent, resume.Resumable, resume.MaxAttempts = true, true, 5
	for name, c := range map[string]struct {
		first, later RequestClass
		started      bool
		want         ActionKind
	}{
		"streaming, becomes resumable":   {routeClass, resume, true, Partial},
		"sent, becomes idempotent":       {routeClass, resume, false, Unknown},
		"streaming, no longer resumable": {resume, routeClass, true, Place},
		"sent, no longer idempotent":     {resume, routeClass, false, Place},
	} {
		t.Run(name, func(t *testing.T) {
			s := queueingScheduler(8, c.first)
			id, p := sendRequest(t, s, now)
			s.Services[0].retryBudget.tokens = 4
			if c.started {
				s.ResponseStarted(now, id, p.Attempt)
				s.StreamStarted(id, p.Attempt)
			}
			s.Services[0].Classes[0] = c.later
			s.EndAttempt(now, id, p.Attempt, Failed)
			if actions := s.Tick(now); len(actions) != 1 || actions[0].Kind != c.want {
				t.Errorf("after the first attempt: %+v, want kind %v", actions, c.want)
			}
		})
	}
}

// TestShorterTargetLeavesRunningRequestsAlone guards against cancelling a running request that has no route because a
// later configuration sets a shorter first-token target for its class.
func TestShorterTargetLeavesRunningRequestsAlone(t *testing.T) {
	patient := RequestClass{Value: 1, Urgency: 1, FirstTokenTarget: 20 * time.Second, Idempotent: true}
	s := newTestScheduler(1, patient)
	id, _ := sendRequest(t, s, now)
	s.Services[0].Classes[0].FirstTokenTarget = time.Second
	later := now + 30*time.Second
	s.RecordControlContact(later, "")
	wantActions(t, s.Tick(later))
	if req := s.Requests.get(id); req == nil || req.State != Sent {
		t.Errorf("request %+v, want state Sent", req)
	}
}

// TestRequestThatWasNeverSentDrawsOnNoRetryBudget has a first attempt fail before it is sent, with the retry budget spent, on both
// interfaces. The next attempt is the first to be sent (RULES, BUDGET).
func TestRequestThatWasNeverSentDrawsOnNoRetryBudget(t *testing.T) {
	direct := RequestClass{Value: 1, Urgency: 1, FirstTokenTarget: 800 * ms, Idempotent: true}
	for _, class := range []RequestClass{direct, routeClass} {
		s := newTestScheduler(8, class)
		id := s.Arrive(now, Request{})
		first := wantActions(t, s.Tick(now), Place)
		s.EndAttempt(now, id, first.Attempt, NotSent)
		s.Services[0].retryBudget.tokens = 0
		second := wantActions(t, s.Tick(now), Place)
		s.AuthorizeSend(now, id, second.Attempt)
		wantActions(t, s.Tick(now), Send)
	}
}
