package scheduler

import (
	"fmt"
	"testing"
)

// weightsCase is a test case for what follows when a started response breaks off. same is the number of the three other
// replicas that have the same weights as the first one.
type weightsCase struct {
	name         string
	same         int
	first, other string
	want         ActionKind
}

// TestStartedResponseIsResumedWithItsWeights breaks a response off while replicas are replaced by others with newer
// weights.
func TestStartedResponseIsResumedWithItsWeights(t *testing.T) {
	for _, c := range []weightsCase{
		{"one other replica has the same weights", 1, "7", "8", Place},
		{"no other replica has the same weights", 0, "7", "8", Partial},
		{"the first replica's weights are unknown", 0, "", "8", Place},
		{"the other replicas' weights are unknown", 0, "7", "", Place},
	} {
		t.Run(c.name, c.test)
	}
}

func (c weightsCase) test(t *testing.T) {
	resume := routeClass
	resume.Idempotent, resume.Resumable = true, true
	s := queueingScheduler(8, resume)
	s.Services[0].Replicas = nil
	for i := range 4 {
		s.Services[0].Replicas = append(s.Services[0].Replicas, s.AddReplica(Replica{Name: fmt.Sprint("w", i), Capacity: 8, Listed: true, Up: true, Warm: true}, 0))
	}
	s.Recompute(now)
	id, p := sendRequest(t, s, now)
	s.Services[0].retryBudget.tokens = 4
	c.setWeights(s, p.Replica)
	s.ResponseStarted(now, id, p.Attempt)
	s.StreamStarted(id, p.Attempt)
	s.EndAttempt(now, id, p.Attempt, Failed)
	s.Replicas[p.Replica].Up = false
	actions := s.Tick(now)
	if len(actions) != 1 || actions[0].Kind != c.want {
		t.Fatalf("after the response broke off: %+v, want kind %v", actions, c.want)
	}
	if c.same > 0 && s.Replicas[actions[0].Replica].WeightsRevision != c.first {
		t.Errorf("a response with weights %q is resumed with %q", c.first, s.Replicas[actions[0].Replica].WeightsRevision)
	}
}

func (c weightsCase) setWeights(s *Scheduler, first int) {
	s.Replicas[first].WeightsRevision = c.first
	same := c.same
	for _, id := range s.Services[0].Replicas {
		if id == first {
			continue
		}
		s.Replicas[id].WeightsRevision = c.other
		if same > 0 {
			s.Replicas[id].WeightsRevision = c.first
		}
		same--
	}
}
