package scheduler

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

func batchingScheduler(t *testing.T) *Scheduler {
	t.Helper()
	s := queueingScheduler(128, routeClass)
	service := &s.Services[0]
	s.Replicas[1].SameZone, service.CrossZoneCost = true, 0
	service.BaseLatency, service.LatencyPerToken = 30*ms, 10*time.Microsecond
	service.SetBatching(true)
	return s
}

func sendPrompt(t *testing.T, s *Scheduler, at time.Duration, a Request) (int, Action) {
	t.Helper()
	id := s.Arrive(at, a)
	p := wantActions(t, s.Tick(at), Place)
	s.AuthorizeSend(at, id, p.Attempt)
	wantActions(t, s.Tick(at), Send)
	return id, p
}

func TestShortPromptsArePrefilledFirst(t *testing.T) {
	s := batchingScheduler(t)
	last := -1
	for _, tokens := range []int{500, 1000, 2000, 4000, 8000, 16000, 32000, 64000} {
		if _, p := sendPrompt(t, s, now, Request{TailTokens: tokens}); p.Priority <= last || p.Priority > 9 {
			t.Errorf("%d tokens have priority %d, the shorter prompt before has %d", tokens, p.Priority, last)
		} else {
			last = p.Priority
		}
	}
	if _, p := sendPrompt(t, queueingScheduler(8, routeClass), now, Request{TailTokens: 9000}); p.Priority != -1 {
		t.Errorf("priority %d where replicas do not batch", p.Priority)
	}
}

func TestPromptsAvoidReplicasInPrefill(t *testing.T) {
	s := batchingScheduler(t)
	long, p := sendPrompt(t, s, now, Request{TailTokens: 40000})
	for range 3 {
		if _, q := sendPrompt(t, s, now, Request{TailTokens: 1000}); q.Replica == p.Replica {
			t.Error("a short prompt waits behind a long one")
		}
	}
	_, q := sendPrompt(t, s, now+ms, Request{TailTokens: 20000})
	if q.Replica == p.Replica {
		t.Error("two long prompts at one replica")
	}
	s.ResponseStarted(now+2*ms, long, p.Attempt)
	if _, q = sendPrompt(t, s, now+2*ms, Request{TailTokens: 20000}); q.Replica != p.Replica {
		t.Error("a prompt that was prefilled still counts")
	}
}

func TestPrefillEstimatesExpire(t *testing.T) {
	s := batchingScheduler(t)
	r := &s.Replicas[0]
	r.prefillQueue.add(now, 10000, queuedPrefill{tokens: 10000, priority: 4})
	r.prefillQueue.add(now, 10000, queuedPrefill{attempt: 1, tokens: 10000, priority: 4})
	r.prefillQueue.add(now, 10000, queuedPrefill{attempt: 2, tokens: 1000, priority: 1})
	if n := r.prefillQueue.remaining(); n != 21000 {
		t.Errorf("%v tokens in the queue, want 21000", n)
	}
	r.prefillQueue.drain(now+60*ms, 10000)
	if n := r.prefillQueue.remaining(); n != 15000 {
		t.Errorf("%v tokens in the queue after 60 ms, want 15000", n)
	}
	r.prefillQueue.drain(now+time.Second, 10000)
	if len(r.prefillQueue.prompts) != 2 {
		t.Errorf("%+v: only prompts of this router must stay until their first event", r.prefillQueue.prompts)
	}
}

func TestPrefillSpeedIsLearnedFromFirstEvents(t *testing.T) {
	s := batchingScheduler(t)
	at := now
	for range 200 {
		at += time.Second
		s.RecordControlContact(at, "")
		id, p := sendPrompt(t, s, at, Request{TailTokens: 5000})
		s.ResponseStarted(at+130*ms, id, p.Attempt)
		s.EndAttempt(at+140*ms, id, p.Attempt, Completed)
		s.Tick(at + 140*ms)
	}
	a := Request{TailTokens: 5000, FirstTokenDue: at + time.Second}
	if estimate := s.estimate(at+time.Second, &a, 0, 0, 0); estimate < 115*ms || estimate > 145*ms {
		t.Errorf("estimate %v for what takes 130 ms", estimate)
	}
}

func TestSharedBlocksArePrefilledOnceUnlessTheWaitIsLong(t *testing.T) {
	s := batchingScheduler(t)
	blocks := []prefixindex.Block{{Key: 1, Tokens: 500}, {Key: 2, Tokens: 5000}, {Key: 3, Tokens: 100}}
	a := Request{PrefixBlocks: blocks}
	home := s.home(&a, &s.Services[0])
	s.Replicas[home].SameZone = false
	if _, p := sendPrompt(t, s, now, a); p.Replica != home {
		t.Error("not placed at its home replica")
	}
	s.Replicas[home].prefillQueue.add(now, 10000, queuedPrefill{tokens: 30000, priority: 0})
	if _, p := sendPrompt(t, s, now, a); p.Replica != home {
		t.Error("shared blocks are prefilled again to avoid a short wait")
	}
	s.Replicas[home].prefillQueue.add(now, 10000, queuedPrefill{tokens: 120000, priority: 0})
	if _, p := sendPrompt(t, s, now, a); p.Replica == home {
		t.Error("placed at its home replica although the first event is late there")
	}
}

// TestPrefillIsRepeatedWhereItDelaysNobody lets a request choose between a replica that has its prompt cached, 200 ms
// later, and one that would prefill it at once. The choice depends on how many prompts wait at the latter, not on the
// target.
func TestPrefillIsRepeatedWhereItDelaysNobody(t *testing.T) {
	for _, target := range []time.Duration{600 * ms, 30 * time.Second} {
		for _, waiting := range []int{0, 3} {
			s := batchingScheduler(t)
			s.Services[0].Classes[0].FirstTokenTarget, s.Services[0].Classes[0].Timeout = target, time.Minute
			for i := range s.Replicas {
				s.Index.SetCapacity(i, 100000)
			}
			blocks := []prefixindex.Block{{Key: 1, Tokens: 9000}}
			id, first := sendPrompt(t, s, now, Request{PrefixBlocks: blocks})
			s.ResponseStarted(now+130*ms, id, first.Attempt)
			s.EndAttempt(now+140*ms, id, first.Attempt, Completed)
			s.Tick(now + 140*ms)
			s.Replicas[first.Replica].prefillQueue.add(now+150*ms, 10000, queuedPrefill{tokens: 20000})
			for range waiting {
				s.Replicas[1-first.Replica].prefillQueue.add(now+150*ms, 10000, queuedPrefill{tokens: 100})
			}
			_, second := sendPrompt(t, s, now+150*ms, Request{PrefixBlocks: blocks})
			if repeated := second.Replica != first.Replica; repeated != (waiting == 0) {
				t.Errorf("target %v, %d prompts waiting: prefilled again %v", target, waiting, repeated)
			}
		}
	}
}

func TestSameZoneReplicasArePreferredAtEqualLoad(t *testing.T) {
	s := queueingScheduler(6, routeClass)
	s.Replicas[0].SameZone = false
	s.Replicas[1].SameZone, s.Services[0].CrossZoneCost = true, 0
	_, p := sendRequest(t, s, now)
	_, q := sendRequest(t, s, now)
	if p.Replica != 1 || q.Replica != 0 {
		t.Errorf("placed at %d and %d, want the replica of the same zone (1) first, then the other (0)", p.Replica, q.Replica)
	}
}

// TestOperatorsSetWhatCrossingZonesIsWorth checks the setting against a prefill queue of 100 ms in the router's own zone.
func TestOperatorsSetWhatCrossingZonesIsWorth(t *testing.T) {
	for _, c := range []struct {
		wait, perToken time.Duration
		crosses        bool
	}{
		{0, 0, true},
		{50 * ms, 0, true},
		{200 * ms, 0, false},
		{0, 200 * time.Microsecond, false},
	} {
		s := batchingScheduler(t)
		s.Replicas[1].SameZone = false
		s.SetCrossZoneWait(c.wait, c.perToken)
		s.Replicas[0].prefillQueue.add(now, 10000, queuedPrefill{tokens: 10000})
		if _, p := sendPrompt(t, s, now, Request{TailTokens: 1000}); (p.Replica == 1) != c.crosses {
			t.Errorf("wait %v and %v per token: crosses zones %v, want %v", c.wait, c.perToken, p.Replica == 1, c.crosses)
		}
	}
}

func TestPromptsFromOtherRoutersCount(t *testing.T) {
	s := batchingScheduler(t)
	s.ReportPrefill(now, 0, 40000)
	for _, tokens := range []int{1000, 6000} {
		_, p := sendPrompt(t, s, now, Request{TailTokens: tokens})
		if p.Replica != 1 {
			t.Errorf("%d tokens placed behind another router's long prompt", tokens)
		}
		if announced := p.UncachedTokens > 0; announced != (tokens > 4000) {
			t.Errorf("%d tokens, %d announced to other routers", tokens, p.UncachedTokens)
		}
	}
	if _, p := sendPrompt(t, queueingScheduler(8, routeClass), now, Request{TailTokens: 9000}); p.UncachedTokens != 0 {
		t.Error("announced although replicas do not batch")
	}
}

func TestSlowResponseInfersEviction(t *testing.T) {
	s := batchingScheduler(t)
	s.Index.SetCapacity(0, 100000)
	s.Index.SetCapacity(1, 100000)
	blocks := []prefixindex.Block{{Key: 1, Tokens: 9000}, {Key: 2, Tokens: 50}}
	at, replica := now, 0
	for i, elapsed := range []time.Duration{130 * ms, 130 * ms, 32 * ms} {
		id, p := sendPrompt(t, s, at, Request{PrefixBlocks: blocks})
		if hit := p.ConfirmedTokens > 0; hit != (i == 1) {
			t.Errorf("request %d relies on %d cached tokens", i, p.ConfirmedTokens)
		}
		replica = p.Replica
		s.ResponseStarted(at+elapsed, id, p.Attempt)
		s.EndAttempt(at+elapsed, id, p.Attempt, Completed)
		s.Tick(at + elapsed)
		at += 200 * ms
	}
	if confirmed, _ := s.Index.Lookup(at, replica, blocks); confirmed != 9050 || s.Index.InferredEvictions != 1 {
		t.Errorf("%d tokens confirmed, %d evictions inferred", confirmed, s.Index.InferredEvictions)
	}
}

func TestLargeFleetsAnnounceLongerPromptsOnly(t *testing.T) {
	s := batchingScheduler(t)
	var routers []RouterZone
	for _, name := range []string{"n1", "n2"} {
		routers = append(routers, RouterZone{name, "a"})
	}
	for len(routers) < 88 {
		routers = append(routers, RouterZone{"o", "a"})
	}
	s.SetRouters(now, routers)
	for _, tokens := range []int{8000, 16000} {
		if _, p := sendPrompt(t, s, now, Request{TailTokens: tokens}); (p.UncachedTokens > 0) != (tokens == 16000) {
			t.Errorf("%d tokens, %d announced to other routers", tokens, p.UncachedTokens)
		}
	}
}
