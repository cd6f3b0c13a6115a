package scheduler

import (
	"fmt"
	"testing"
)

// weightsCase is what follows a begun answer that breaks. Of the three other replicas, the first few have the weights of the first one.
type weightsCase struct {
	name         string
	same         int
	first, other string
	act          ActionKind
}

// TestBegunAnswerGoesOnWithItsWeights breaks an answer while replicas are replaced by others of newer weights.
func TestBegunAnswerGoesOnWithItsWeights(t *testing.T) {
	for _, c := range []weightsCase{
		{"one of the same", 1, "7", "8", Place},
		{"none of the same", 0, "7", "8", Partial},
		{"the first is not known", 0, "", "8", Place},
		{"the others are not known", 0, "7", "", Place},
	} {
		t.Run(c.name, c.test)
	}
}

func (c weightsCase) test(t *testing.T) {
	resume := stream
	resume.Idempotent, resume.Resumable = true, true
	m := queueing(8, resume)
	m.Services[0].Replicas = nil
	for i := range 4 {
		m.Services[0].Replicas = append(m.Services[0].Replicas, m.AddReplica(Replica{Name: fmt.Sprint("w", i), Capacity: 8, Listed: true, Up: true, Warm: true}, 0))
	}
	m.Recompute(now)
	id, p := start(t, m, now)
	m.Services[0].retryBudget.tokens = 4
	c.setWeights(m, p.Replica)
	m.ResponseStarted(now, id, p.Attempt)
	m.StreamStarted(id, p.Attempt)
	m.EndAttempt(now, id, p.Attempt, Failed)
	m.Replicas[p.Replica].Up = false
	acts := m.Tick(now)
	if len(acts) != 1 || acts[0].Kind != c.act {
		t.Fatalf("%+v", acts)
	}
	if c.same > 0 && m.Replicas[acts[0].Replica].WeightsRevision != c.first {
		t.Errorf("weights %q go on with %q", c.first, m.Replicas[acts[0].Replica].WeightsRevision)
	}
}

func (c weightsCase) setWeights(m *Scheduler, first int) {
	m.Replicas[first].WeightsRevision = c.first
	same := c.same
	for _, id := range m.Services[0].Replicas {
		if id == first {
			continue
		}
		m.Replicas[id].WeightsRevision = c.other
		if same > 0 {
			m.Replicas[id].WeightsRevision = c.first
		}
		same--
	}
}
