package scheduler

import (
	"testing"
	"time"
)

func TestSecondAttemptsOfRoutes(t *testing.T) {
	repeat, resume, single := stream, stream, stream
	repeat.Idempotent = true
	resume.Idempotent, resume.Resumable = true, true
	single.MaxAttempts, single.Idempotent = 1, true
	for _, c := range []secondAttempt{
		{"refused may go elsewhere though not repeatable", stream, false, Refused, 4, Place, false},
		{"refused without budget is denied", stream, false, Refused, 0, Reject, false},
		{"refused with one attempt is denied", single, false, Refused, 4, Reject, false},
		{"broken, not repeatable", stream, false, Failed, 4, Unknown, false},
		{"broken, repeatable", repeat, false, Failed, 4, Place, false},
		{"broken, repeatable, no budget", repeat, false, Failed, 0, Unknown, false},
		{"broken, one attempt", single, false, Failed, 4, Unknown, false},
		{"cut, not resumable", repeat, true, Failed, 4, Partial, false},
		{"cut, resumable", resume, true, Failed, 4, Place, true},
		{"cut, resumable, no budget", resume, true, Failed, 0, Partial, false},
		{"never sent needs no budget", stream, false, NotSent, 0, Place, false},
	} {
		t.Run(c.name, c.test)
	}
}

// secondAttempt is a case of what follows a first attempt: how it ended, what the retry budget held, and what the scheduler does.
type secondAttempt struct {
	name   string
	kind   RequestClass
	begun  bool
	end    AttemptResult
	budget float64
	act    ActionKind
	resume bool
}

func (c secondAttempt) test(t *testing.T) {
	m := queueing(8, c.kind)
	id, p := start(t, m, now)
	m.Services[0].retryBudget.tokens = c.budget
	if c.begun {
		m.ResponseStarted(now, id, p.Attempt)
		m.StreamStarted(id, p.Attempt)
	}
	m.EndAttempt(now, id, p.Attempt, c.end)
	acts := m.Tick(now)
	if len(acts) != 1 || acts[0].Kind != c.act || acts[0].Resumes != c.resume {
		t.Errorf("%+v", acts)
		return
	}
	if c.act == Reject && (acts[0].RetryAfter < minRetryAfter || acts[0].RetryAfter >= time.Second) {
		t.Errorf("retry after %v", acts[0].RetryAfter)
	}
	if c.act != Place {
		return
	}
	q := acts[0]
	if q.Replica == p.Replica {
		t.Error("on the same replica")
	}
	m.AuthorizeSend(now, id, q.Attempt)
	only(t, m.Tick(now), Send)
	if c.end == NotSent {
		return
	}
	m.EndAttempt(now, id, q.Attempt, Failed)
	want := Unknown
	if c.resume {
		want = Partial
	}
	only(t, m.Tick(now), want)
}

// TestRouteThatBecomesResumableLeavesRunningStreamsAlone: their bodies are gone.
func TestRouteThatBecomesResumableLeavesRunningStreamsAlone(t *testing.T) {
	resume := stream
	resume.Idempotent, resume.Resumable, resume.MaxAttempts = true, true, 5
	for name, c := range map[string]struct {
		first, later RequestClass
		begun        bool
		act          ActionKind
	}{
		"begun, becomes resumable":        {stream, resume, true, Partial},
		"sent, becomes repeatable":        {stream, resume, false, Unknown},
		"begun, no longer resumable":      {resume, stream, true, Place},
		"sent, may no longer be repeated": {resume, stream, false, Place},
	} {
		t.Run(name, func(t *testing.T) {
			m := queueing(8, c.first)
			id, p := start(t, m, now)
			m.Services[0].retryBudget.tokens = 4
			if c.begun {
				m.ResponseStarted(now, id, p.Attempt)
				m.StreamStarted(id, p.Attempt)
			}
			m.Services[0].Classes[0] = c.later
			m.EndAttempt(now, id, p.Attempt, Failed)
			if acts := m.Tick(now); len(acts) != 1 || acts[0].Kind != c.act {
				t.Errorf("%+v", acts)
			}
		})
	}
}

// TestShorterBoundLeavesRunningRequestsAlone guards against a request of the product's own interface that is cut at its replica because a
// later configuration gives its class a shorter bound.
func TestShorterBoundLeavesRunningRequestsAlone(t *testing.T) {
	patient := RequestClass{Value: 1, Urgency: 1, FirstTokenTarget: 20 * time.Second, Idempotent: true}
	m := market(1, patient)
	id, _ := start(t, m, now)
	m.Services[0].Classes[0].FirstTokenTarget = time.Second
	later := now + 30*time.Second
	m.RecordControlContact(later, "")
	only(t, m.Tick(later))
	if req := m.Requests.get(id); req == nil || req.State != Sent {
		t.Errorf("the request is %+v", req)
	}
}
