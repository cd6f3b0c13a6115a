package scheduler

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

func batching(t *testing.T) *Scheduler {
	t.Helper()
	m := queueing(128, stream)
	o := &m.Services[0]
	m.Replicas[1].SameZone, o.CrossZoneCost = true, 0
	o.BaseLatency, o.LatencyPerToken = 30*ms, 10*time.Microsecond
	o.SetBatching(true)
	return m
}

func prompt(t *testing.T, m *Scheduler, at time.Duration, a Request) (int, Action) {
	t.Helper()
	id := m.Arrive(at, a)
	p := only(t, m.Tick(at), Place)
	m.AuthorizeSend(at, id, p.Attempt)
	only(t, m.Tick(at), Send)
	return id, p
}

func TestShortPromptsHaveTheSmallerRank(t *testing.T) {
	m := batching(t)
	last := -1
	for _, tokens := range []int{500, 1000, 2000, 4000, 8000, 16000, 32000, 64000} {
		if _, p := prompt(t, m, now, Request{TailTokens: tokens}); p.Priority <= last || p.Priority > 9 {
			t.Errorf("%d tokens have rank %d after %d", tokens, p.Priority, last)
		} else {
			last = p.Priority
		}
	}
	if _, p := prompt(t, queueing(8, stream), now, Request{TailTokens: 9000}); p.Priority != -1 {
		t.Errorf("rank %d where nothing is read", p.Priority)
	}
}

func TestPromptsAvoidReplicasInPrefill(t *testing.T) {
	m := batching(t)
	long, p := prompt(t, m, now, Request{TailTokens: 40000})
	for range 3 {
		if _, q := prompt(t, m, now, Request{TailTokens: 1000}); q.Replica == p.Replica {
			t.Error("a short prompt waits behind a long one")
		}
	}
	_, q := prompt(t, m, now+ms, Request{TailTokens: 20000})
	if q.Replica == p.Replica {
		t.Error("two long prompts at one replica")
	}
	m.ResponseStarted(now+2*ms, long, p.Attempt)
	if _, q = prompt(t, m, now+2*ms, Request{TailTokens: 20000}); q.Replica != p.Replica {
		t.Error("a prompt that was read still counts")
	}
}

func TestPrefillEstimatesExpire(t *testing.T) {
	m := batching(t)
	r := &m.Replicas[0]
	r.prefills.add(now, 10000, prefill{tokens: 10000, priority: 4})
	r.prefills.add(now, 10000, prefill{attempt: 1, tokens: 10000, priority: 4})
	r.prefills.add(now, 10000, prefill{attempt: 2, tokens: 1000, priority: 1})
	if n := r.prefills.unread(); n != 21000 {
		t.Errorf("%v tokens before a short prompt", n)
	}
	r.prefills.drain(now+60*ms, 10000)
	if n := r.prefills.unread(); n != 15000 {
		t.Errorf("%v tokens after 60 ms", n)
	}
	r.prefills.drain(now+time.Second, 10000)
	if len(r.prefills.queue) != 2 {
		t.Errorf("%+v: attempts of this node stay until their first event, others do not", r.prefills.queue)
	}
}

func TestPaceIsLearnedFromFirstEvents(t *testing.T) {
	m := batching(t)
	at := now
	for range 200 {
		at += time.Second
		m.RecordControlContact(at, "")
		id, p := prompt(t, m, at, Request{TailTokens: 5000})
		m.ResponseStarted(at+130*ms, id, p.Attempt)
		m.EndAttempt(at+140*ms, id, p.Attempt, Completed)
		m.Tick(at + 140*ms)
	}
	a := Request{TailTokens: 5000, FirstTokenDue: at + time.Second}
	if est := m.estimate(at+time.Second, &a, 0, 0, 0); est < 115*ms || est > 145*ms {
		t.Errorf("estimate %v for what takes 130 ms", est)
	}
}

func TestSharedPartsAreReadOnceUnlessTheWaitIsLong(t *testing.T) {
	m := batching(t)
	parts := []prefixindex.Block{{Key: 1, Tokens: 500}, {Key: 2, Tokens: 5000}, {Key: 3, Tokens: 100}}
	a := Request{PrefixBlocks: parts}
	home := m.home(&a, &m.Services[0])
	m.Replicas[home].SameZone = false
	if _, p := prompt(t, m, now, a); p.Replica != home {
		t.Error("away from home")
	}
	m.Replicas[home].prefills.add(now, 10000, prefill{tokens: 30000, priority: 0})
	if _, p := prompt(t, m, now, a); p.Replica != home {
		t.Error("shared parts are read again for a short wait")
	}
	m.Replicas[home].prefills.add(now, 10000, prefill{tokens: 120000, priority: 0})
	if _, p := prompt(t, m, now, a); p.Replica == home {
		t.Error("the first event is late for shared parts")
	}
}

func TestNearReplicasGoFirstAtEqualLoad(t *testing.T) {
	m := queueing(6, stream)
	m.Replicas[0].SameZone = false
	m.Replicas[1].SameZone, m.Services[0].CrossZoneCost = true, 0
	_, p := start(t, m, now)
	_, q := start(t, m, now)
	if p.Replica != 1 || q.Replica != 0 {
		t.Errorf("placed at %d and %d", p.Replica, q.Replica)
	}
}

func TestPromptsFromOtherRoutersCount(t *testing.T) {
	m := batching(t)
	m.ReportPrefill(now, 0, 40000)
	for _, tokens := range []int{1000, 6000} {
		_, p := prompt(t, m, now, Request{TailTokens: tokens})
		if p.Replica != 1 {
			t.Errorf("%d tokens behind another router's long prompt", tokens)
		}
		if announced := p.UncachedTokens > 0; announced != (tokens > 4000) {
			t.Errorf("%d tokens, others are told %d", tokens, p.UncachedTokens)
		}
	}
	if _, p := prompt(t, queueing(8, stream), now, Request{TailTokens: 9000}); p.UncachedTokens != 0 {
		t.Error("told where replicas do not batch")
	}
}

func TestSlowAnswerInfersEviction(t *testing.T) {
	m := batching(t)
	m.Index.SetCapacity(0, 100000)
	m.Index.SetCapacity(1, 100000)
	parts := []prefixindex.Block{{Key: 1, Tokens: 9000}, {Key: 2, Tokens: 50}}
	at, replica := now, 0
	for i, elapsed := range []time.Duration{130 * ms, 130 * ms, 32 * ms} {
		id, p := prompt(t, m, at, Request{PrefixBlocks: parts})
		if hit := p.ConfirmedTokens > 0; hit != (i == 1) {
			t.Errorf("request %d counts on %d tokens", i, p.ConfirmedTokens)
		}
		replica = p.Replica
		m.ResponseStarted(at+elapsed, id, p.Attempt)
		m.EndAttempt(at+elapsed, id, p.Attempt, Completed)
		m.Tick(at + elapsed)
		at += 200 * ms
	}
	if conf, _ := m.Index.Lookup(at, replica, parts); conf != 9050 || m.Index.InferredEvictions != 1 {
		t.Errorf("%d tokens held, %d evictions inferred", conf, m.Index.InferredEvictions)
	}
}

func TestLargeFleetsAnnounceLongerPromptsOnly(t *testing.T) {
	m := batching(t)
	var rs []RouterZone
	for _, name := range []string{"n1", "n2"} {
		rs = append(rs, RouterZone{name, "a"})
	}
	for len(rs) < 88 {
		rs = append(rs, RouterZone{"o", "a"})
	}
	m.SetRouters(now, rs)
	for _, tokens := range []int{8000, 16000} {
		if _, p := prompt(t, m, now, Request{TailTokens: tokens}); (p.UncachedTokens > 0) != (tokens == 16000) {
			t.Errorf("%d tokens, others are told %d", tokens, p.UncachedTokens)
		}
	}
}
